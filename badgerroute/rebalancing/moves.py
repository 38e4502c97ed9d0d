"""Moving running work: tasks that save are stopped where their going lets others start, and start again elsewhere.

A move obeys the preemption rules: it only ever stops what the order of service lets the waiting job stop. It differs
from making room by force in that each stopped task has a place to go to, so it need not wait until patience ends.
"""

import heapq
import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

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
HELD_AFTER_SAVE = timedelta(seconds=5)  # how long the room is kept for the waiting job once the moved work is gone
MAX_CANDIDATES = 64  # machines that are looked at for one job
MAX_LANDINGS = 64  # machines to which work could go
MAX_JOBS_LOOKED_AT = 16  # in one round, of those that find no room

TaskKey = tuple[str, int]


@dataclass(frozen=True, slots=True)
class MoveOption:
    """One machine that could be cleared for a task, and what that costs and gains in processor-seconds."""

    machine: Machine
    victims: list[Placement]
    natural_wait: timedelta  # until the victims end by themselves
    loss: float


@dataclass(slots=True)
class MoveLedger:
    """What was moved lately, so that nothing is moved to and fro and no period sees too many moves."""

    period: timedelta
    rest: timedelta
    most: int  # moves in a period
    moved: dict[TaskKey, timedelta] = field(default_factory=dict)
    _recent: list[timedelta] = field(default_factory=list)
    count: int = 0  # since the shard was taken over
    cost: float = 0.0  # processor-seconds that the moves were expected to cost

    def left(self, now: timedelta) -> int:
        """How many moves this period still allows."""
        self._recent = [at for at in self._recent if now - at < self.period]
        return self.most - len(self._recent)

    def resting(self, placement: Placement, now: timedelta) -> bool:
        """Whether a task was moved so lately that it must not be moved again."""
        moved_at = self.moved.get(placement.key)
        return moved_at is not None and now - moved_at < self.rest

    def record(self, placement: Placement, loss: float, now: timedelta) -> None:
        """A task is moved; its job does not go back to that machine before it has rested."""
        self.moved = {key: at for key, at in self.moved.items() if now - at < self.rest}
        self.moved[placement.key] = now
        self._recent.append(now)
        self.count += 1
        self.cost += loss
        job = placement.job
        job.no_return_until = {name: until for name, until in job.no_return_until.items() if until > now}
        job.no_return_until[placement.machine.name] = now + self.rest


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
        """Whether a job has waited long enough for want of room, and of nothing else."""
        if job.failing or now - job.since < HEARTBEATS_BEFORE_MOVE * self._heartbeat or self._shard.short_of_quota(job):
            return False
        needed = self._tasks_at_once(job)
        if job.placed and job.gang:
            return False
        if any(machine.reserved_for == job.ref for machine in self._shard.machines.values()):
            return False  # room is on its way
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
        """Each pair of machines can't be looked at where there are thousands: those with most free room come first."""
        free = [
            machine
            for machine in self._shard.machines.values()
            if machine.usable
            and machine.reserved_for is None
            and machine.avoid_until <= now
            and machine.free.cpus > EPSILON
        ]
        landings = heapq.nlargest(MAX_LANDINGS, free, key=lambda machine: machine.free.cpus)
        rooms = {machine.name: machine.free.copy() for machine in landings}
        candidates = [machine for machine in self._planner.candidates(job, now) if machine.reserved_for is None]
        options = []
        for machine in heapq.nlargest(MAX_CANDIDATES, candidates, key=lambda machine: machine.free.cpus):
            option = self._option(job, machine, rooms, now)
            if option is not None:
                options.append(option)
        return options

    def _option(self, job: Job, machine: Machine, rooms: dict[str, Resources], now: timedelta) -> MoveOption | None:
        """The cheapest tasks to move off a machine so that the job fits, each with a place to go to; if there are."""
        room = machine.free.copy()
        victims: list[Placement] = []
        landing_rooms: list[tuple[Machine, Resources]] = []
        loss = 0.0
        for placement in sorted(machine.placements.values(), key=self._loss_at_least):
            if room.holds(job.need):
                break
            if not self._movable(placement, job, now):
                continue
            landing = self._landing(placement, machine, rooms, now)
            if landing is None:
                continue
            rooms[landing.name].take(placement.job.need)
            landing_rooms.append((landing, placement.job.need))
            victims.append(placement)
            room.add(placement.job.need)
            loss += self._loss(placement, landing)
        if not victims or not room.holds(job.need):
            for landing, taken in landing_rooms:
                rooms[landing.name].add(taken)
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

    def _landing(
        self, placement: Placement, machine: Machine, rooms: dict[str, Resources], now: timedelta
    ) -> Machine | None:
        """Where a task could start again, beside its image if possible."""
        job = placement.job
        best: Machine | None = None
        for name, room in rooms.items():
            other = self._shard.machines[name]
            if other is machine or not room.holds(job.need):
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

    def _loss(self, placement: Placement, landing: Machine) -> float:
        job = placement.job
        loss = self._loss_at_least(placement)
        if job.spec.image not in landing.fetched_images:
            fetch = self._guidance.fetch_time(job, landing)
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
        """Stop the victims with time to save; the room is kept for the job that they make way for."""
        machine = option.machine
        longest_save = max(save_time(victim.job) for victim in option.victims)
        machine.reserved_for = job.ref
        machine.reserved_until = now + longest_save + HEARTBEATS_PER_MOVE * self._heartbeat + HELD_AFTER_SAVE
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
