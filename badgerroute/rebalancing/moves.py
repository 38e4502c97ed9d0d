"""Moving running work: tasks that save are stopped where their going lets others start, and start again elsewhere.

A move obeys the preemption rules: it only ever stops what the order of service lets the waiting job stop. It differs
from preemption in that each stopped task has a machine to go to, so the job need not wait as long before it.
"""

import heapq
import logging
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from badgerroute.rebalancing.move_ledger import MoveLedger
from badgerroute.scheduling.draining import save_time
from badgerroute.scheduling.guidance import Guidance
from badgerroute.scheduling.model import ZERO, Job, Machine, Placement
from badgerroute.scheduling.placement_constraints import allows
from badgerroute.scheduling.placement_rules import PlacementRules
from badgerroute.scheduling.planner import Planner
from badgerroute.scheduling.resources import EPSILON, Resources
from badgerroute.scheduling.shard import Shard
from badgerroute.settings import Rebalancing

log = logging.getLogger(__name__)
HEARTBEATS_PER_MOVE = 2  # one carries the stop, another shows that the task is gone
HEARTBEATS_BEFORE_MOVE = 2  # that a job waits before work is moved for it
RESERVATION_AFTER_SAVE = timedelta(seconds=5)  # how long the machine stays reserved once the moved work is gone
MAX_CANDIDATES = 64  # machines that are looked at for one job
MAX_DESTINATIONS = 64  # machines to which work could go
MAX_JOBS_LOOKED_AT = 16  # in one round, of those that fit nowhere


@dataclass(frozen=True, slots=True)
class MoveOption:
    """One machine that could be cleared for a task, and what that costs and gains in processor-seconds."""

    machine: Machine
    victims: list[Placement]
    natural_wait: timedelta  # until the victims end by themselves
    loss: float


class MovePlanner:
    """Chooses and begins moves within one shard."""

    def __init__(
        self, shard: Shard, planner: Planner, settings: Rebalancing, heartbeat: timedelta, guidance: Guidance
    ) -> None:
        self._shard, self._planner, self._settings, self._heartbeat = shard, planner, settings, heartbeat
        self._guidance = guidance
        self.ledger = MoveLedger(settings.move_period, settings.move_rest, settings.moves_per_period)

    def round(self, now: timedelta, over: Callable[[], bool]) -> int:
        """Begin moves for jobs that wait, in the order of service; how many tasks are moved."""
        moved = looked = 0
        if not self._shard.reconciled:
            return 0
        for job in self._planner.waiting_jobs(now):
            if over() or looked >= MAX_JOBS_LOOKED_AT or self.ledger.left(now) <= 0:
                break
            if not self._may_gain(job, now):
                continue
            looked += 1
            moved += self._move_for(job, now)
        return moved

    def _may_gain(self, job: Job, now: timedelta) -> bool:
        """Whether a job has waited long enough, and lacks capacity and nothing else."""
        if job.failing or now - job.since < HEARTBEATS_BEFORE_MOVE * self._heartbeat or self._shard.short_of_quota(job):
            return False
        needed = self._tasks_at_once(job)
        if job.placed and job.gang:
            return False
        if any(machine.reserved_for == job.ref for machine in self._shard.machines.values()):
            return False  # capacity is on its way
        free = sum(machine.free.times(job.need) for machine in self._planner.candidates(job, now, free=True))
        return needed > 0 and free < needed

    @staticmethod
    def _tasks_at_once(job: Job) -> int:
        return job.startable if job.gang else min(1, job.startable)

    def _move_for(self, job: Job, now: timedelta) -> int:
        needed = self._tasks_at_once(job)
        options = self._options(job, now)
        chosen = self._choose(job, options, needed)
        victims = sum(len(option.victims) for option in chosen)
        if not chosen or victims > self.ledger.left(now):
            return 0
        # What would be there without a move: as many machines free by themselves as the job needs.
        waits = sorted(option.natural_wait for option in options)
        avoided = waits[needed - 1] - self._slowest_stop(chosen)
        gain = avoided.total_seconds() * max(job.need.cpus, job.need.accelerators) * needed
        loss = sum(option.loss for option in chosen)
        if gain <= self._settings.move_gain * loss:
            return 0
        for option in chosen:
            self._begin(option, job, now)
        return victims

    def _options(self, job: Job, now: timedelta) -> list[MoveOption]:
        """Machines that could be cleared. Of thousands, only those with most free processors are looked at."""
        free = [
            machine
            for machine in self._shard.machines.values()
            if machine.usable
            and machine.reserved_for is None
            and machine.avoid_until <= now
            and machine.free.cpus > EPSILON
        ]
        destinations = heapq.nlargest(MAX_DESTINATIONS, free, key=lambda machine: machine.free.cpus)
        free_on = {machine.name: machine.free.copy() for machine in destinations}
        candidates = [machine for machine in self._planner.candidates(job, now) if machine.reserved_for is None]
        options = []
        for machine in heapq.nlargest(MAX_CANDIDATES, candidates, key=lambda machine: machine.free.cpus):
            option = self._option(job, machine, free_on, now)
            if option is not None:
                options.append(option)
        return options

    def _option(self, job: Job, machine: Machine, free_on: dict[str, Resources], now: timedelta) -> MoveOption | None:
        """The cheapest tasks to move off a machine so that the job fits, each with a place to go to; if there are."""
        available = machine.free.copy()
        victims: list[Placement] = []
        taken_from: list[tuple[Machine, Resources]] = []
        loss = 0.0
        for placement in sorted(machine.placements.values(), key=self._loss_at_least):
            if available.holds(job.need):
                break
            if not self._movable(placement, job, now):
                continue
            destination = self._destination(placement, machine, free_on, now)
            if destination is None:
                continue
            free_on[destination.name].take(placement.job.need)
            taken_from.append((destination, placement.job.need))
            victims.append(placement)
            available.add(placement.job.need)
            loss += self._loss(placement, destination)
        if not victims or not available.holds(job.need):
            for destination, taken in taken_from:
                free_on[destination.name].add(taken)
            return None
        natural = max(self._remaining(victim, now) for victim in victims)
        return MoveOption(machine, victims, natural, loss)

    def _movable(self, placement: Placement, job: Job, now: timedelta) -> bool:
        """Running array tasks that save, that the waiting job may stop, and that were not moved lately."""
        victim = placement.job
        return (
            placement.running_since is not None
            and not placement.stopping
            and not victim.gang
            and victim.spec.checkpoint_s > 0
            and not self.ledger.resting(placement, now)
            and self._planner.may_stop(victim, job)
        )

    def _destination(
        self, placement: Placement, machine: Machine, free_on: dict[str, Resources], now: timedelta
    ) -> Machine | None:
        """Where a task could start again, on a machine that caches its image if possible."""
        job = placement.job
        best: Machine | None = None
        for name, free in free_on.items():
            other = self._shard.machines[name]
            if other is machine or not free.holds(job.need):
                continue
            if name in job.failed_on or job.no_return_until.get(name, ZERO) > now:
                continue
            if not allows(job.spec, other.kind.name, other.zone, other.spot):
                continue
            if job.spec.together and other.zone != machine.zone:
                continue
            if job.spec.spread and not PlacementRules.zone_allowed(job, other.zone, 1):
                continue
            if job.spec.image in other.fetched_images:
                return other
            best = best or other
        return best

    def _remaining(self, placement: Placement, now: timedelta) -> timedelta:
        began = placement.running_since if placement.running_since is not None else now
        return max(ZERO, self._planner.run_time(placement.job) - (now - began))

    def _loss_at_least(self, placement: Placement) -> float:
        """Processor-seconds of a move to a machine that caches the image."""
        pause = save_time(placement.job) + HEARTBEATS_PER_MOVE * self._heartbeat
        return pause.total_seconds() * max(placement.job.need.cpus, placement.job.need.accelerators)

    def _loss(self, placement: Placement, destination: Machine) -> float:
        job = placement.job
        loss = self._loss_at_least(placement)
        if job.spec.image not in destination.fetched_images:
            fetch = self._guidance.fetch_time(job, destination)
            loss += fetch.total_seconds() * max(job.need.cpus, job.need.accelerators)
        return loss

    def _slowest_stop(self, options: list[MoveOption]) -> timedelta:
        saves = [save_time(victim.job) for option in options for victim in option.victims]
        return max(saves, default=ZERO) + HEARTBEATS_PER_MOVE * self._heartbeat

    @staticmethod
    def _choose(job: Job, options: list[MoveOption], needed: int) -> list[MoveOption]:
        """The cheapest machines, as many as are needed; in one zone if the job's tasks must lie together."""
        ordered = sorted(options, key=lambda option: (option.loss, option.machine.name))
        if not job.spec.together:
            return ordered[:needed] if len(ordered) >= needed else []
        for zone in sorted({option.machine.zone for option in ordered}):
            in_zone = [option for option in ordered if option.machine.zone == zone]
            if len(in_zone) >= needed and PlacementRules.zone_allowed(job, zone, needed):
                return in_zone[:needed]
        return []

    def _begin(self, option: MoveOption, job: Job, now: timedelta) -> None:
        """Stop the victims with time to save; the machine is reserved for the job that they make way for."""
        machine = option.machine
        longest_save = max(save_time(victim.job) for victim in option.victims)
        machine.reserved_for = job.ref
        machine.reserved_until = now + longest_save + HEARTBEATS_PER_MOVE * self._heartbeat + RESERVATION_AFTER_SAVE
        for victim in option.victims:
            self.ledger.record(victim, option.loss / len(option.victims), now)
            self._shard.stop(victim, save_time(victim.job))
            log.info(
                "event=task_moved shard=%d task=%s/%d machine=%s for=%s loss=%.0f",
                self._shard.number,
                victim.job.ref,
                victim.index,
                machine.name,
                job.ref,
                option.loss,
            )
