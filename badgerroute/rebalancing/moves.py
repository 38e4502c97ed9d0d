"""Moves running tasks: stops tasks that save checkpoints so that a waiting job can start on their machines.

A move obeys the preemption rules: it stops only tasks that the waiting job is allowed to preempt. Unlike a preemption,
a move requires that each stopped task can restart on another machine. As this makes a move cheaper than a preemption,
tasks are moved for a job once it has waited HEARTBEATS_BEFORE_MOVE heartbeat intervals, whereas other tasks are
preempted for it only after a third of its slack (see `scheduling.preemption`).
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
HEARTBEATS_PER_MOVE = 2  # one to send the stop command, one to confirm that the task no longer runs
HEARTBEATS_BEFORE_MOVE = 2  # how long a job waits, in heartbeat intervals, before tasks are moved for it
RESERVATION_AFTER_SAVE = timedelta(seconds=5)  # a machine stays reserved for the job this long after the expected stop
MAX_CANDIDATES = 64  # maximum number of machines from which moves are considered for one job
MAX_DESTINATIONS = 64  # maximum number of machines to which moves are considered for one job
MAX_JOBS_PER_ROUND = 16  # maximum number of waiting jobs for which moves are planned in one round


@dataclass(frozen=True, slots=True)
class MoveOption:
    """A machine, and the tasks (`victims`) that could be moved off it so that one waiting task fits there.

    `loss` is the expected cost of the moves in CPU-seconds.
    """

    machine: Machine
    victims: list[Placement]
    wait_without_move: timedelta  # expected time until all victims end if none is moved
    loss: float


class MovePlanner:
    """Plans and starts moves within one shard."""

    def __init__(
        self, shard: Shard, planner: Planner, settings: Rebalancing, heartbeat: timedelta, guidance: Guidance
    ) -> None:
        self._shard, self._planner, self._settings, self._heartbeat = shard, planner, settings, heartbeat
        self._guidance = guidance
        self.ledger = MoveLedger(settings.move_period, settings.move_rest, settings.moves_per_period)

    def start_moves(self, now: timedelta, out_of_time: Callable[[], bool]) -> int:
        """Start moves for waiting jobs, in scheduling order, until `out_of_time` returns true or a limit is reached.

        Return the number of tasks that are moved.
        """
        moved = examined = 0
        if not self._shard.reconciled:
            return 0
        for job in self._planner.waiting_jobs(now):
            if out_of_time() or examined >= MAX_JOBS_PER_ROUND or self.ledger.remaining_moves(now) <= 0:
                break
            if not self._could_benefit(job, now):
                continue
            examined += 1
            moved += self._move_for(job, now)
        return moved

    def _could_benefit(self, job: Job, now: timedelta) -> bool:
        """Return whether a job has waited long enough for a move, and nothing but a lack of free capacity delays it."""
        if (
            job.failing
            or now - job.waiting_since < HEARTBEATS_BEFORE_MOVE * self._heartbeat
            or self._shard.waits_for_quota(job)
        ):
            return False
        needed = self._tasks_at_once(job)
        if job.placements and job.gang:
            return False
        if any(machine.reserved_for == job.ref for machine in self._shard.machines.values()):
            return False  # a reserved machine will be free soon
        free = sum(
            machine.free.count_fitting(job.task_resources) for machine in self._planner.candidates(job, now, free=True)
        )
        return needed > 0 and free < needed

    @staticmethod
    def _tasks_at_once(job: Job) -> int:
        return job.startable if job.gang else min(1, job.startable)

    def _move_for(self, job: Job, now: timedelta) -> int:
        needed = self._tasks_at_once(job)
        options = self._move_options(job, now)
        chosen = self._choose_machines(job, options, needed)
        victims = sum(len(option.victims) for option in chosen)
        if not chosen or victims > self.ledger.remaining_moves(now):
            return 0
        # The job needs `needed` machines. Without moves it would start once the victims have ended on that many.
        waits_without_move = sorted(option.wait_without_move for option in options)
        wait_avoided = waits_without_move[needed - 1] - self._longest_stop_time(chosen)
        gain = wait_avoided.total_seconds() * max(job.task_resources.cpus, job.task_resources.accelerators) * needed
        loss = sum(option.loss for option in chosen)
        if gain <= self._settings.move_gain * loss:
            return 0
        for option in chosen:
            self._start_move(option, job, now)
        return victims

    def _move_options(self, job: Job, now: timedelta) -> list[MoveOption]:
        """Return the machines from which tasks could be moved so that a task of the job can start there.

        To limit the computing time, tasks are moved only from the MAX_CANDIDATES candidate machines with the most free
        CPUs, and only to the MAX_DESTINATIONS usable machines with the most free CPUs.
        """
        free = [
            machine
            for machine in self._shard.machines.values()
            if machine.usable
            and machine.reserved_for is None
            and machine.avoid_until <= now
            and machine.free.cpus > EPSILON
        ]
        destinations = heapq.nlargest(MAX_DESTINATIONS, free, key=lambda machine: machine.free.cpus)
        free_resources = {machine.name: machine.free.copy() for machine in destinations}
        candidates = [machine for machine in self._planner.candidates(job, now) if machine.reserved_for is None]
        options = []
        for machine in heapq.nlargest(MAX_CANDIDATES, candidates, key=lambda machine: machine.free.cpus):
            option = self._move_option(job, machine, free_resources, now)
            if option is not None:
                options.append(option)
        return options

    def _move_option(
        self, job: Job, machine: Machine, free_resources: dict[str, Resources], now: timedelta
    ) -> MoveOption | None:
        """Return tasks to move off a machine so that one task of the job fits, or None if no such tasks are found.

        Tasks that are cheaper to move are chosen first. Each chosen task needs a destination with enough free capacity;
        that capacity is subtracted from the destination's entry in `free_resources`.
        """
        available = machine.free.copy()
        victims: list[Placement] = []
        claimed: list[tuple[Machine, Resources]] = []
        loss = 0.0
        for placement in sorted(machine.placements.values(), key=self._min_loss):
            if available.holds(job.task_resources):
                break
            if not self._may_move(placement, job, now):
                continue
            destination = self._destination(placement, machine, free_resources, now)
            if destination is None:
                continue
            free_resources[destination.name].subtract(placement.job.task_resources)
            claimed.append((destination, placement.job.task_resources))
            victims.append(placement)
            available.add(placement.job.task_resources)
            loss += self._loss(placement, destination)
        if not victims or not available.holds(job.task_resources):
            for destination, taken in claimed:
                free_resources[destination.name].add(taken)
            return None
        wait_without_move = max(self._remaining(victim, now) for victim in victims)
        return MoveOption(machine, victims, wait_without_move, loss)

    def _may_move(self, placement: Placement, job: Job, now: timedelta) -> bool:
        """Return whether a task is allowed to be moved to make space for the job.

        The task must run, save checkpoints, belong to no gang, be preemptible by the job, and not have been moved
        within the ledger's `rest_time`.
        """
        victim = placement.job
        return (
            placement.running_since is not None
            and not placement.stopping
            and not victim.gang
            and victim.spec.checkpoint_s > 0
            and not self.ledger.is_resting(placement, now)
            and self._planner.may_stop(victim, job)
        )

    def _destination(
        self, placement: Placement, machine: Machine, free_resources: dict[str, Resources], now: timedelta
    ) -> Machine | None:
        """Return a machine on which the task could restart, or None. Prefer machines that cache the task's image."""
        job = placement.job
        fallback: Machine | None = None
        for name, free in free_resources.items():
            candidate = self._shard.machines[name]
            if candidate is machine or not free.holds(job.task_resources):
                continue
            if name in job.failed_on or job.no_return_until.get(name, ZERO) > now:
                continue
            if not allows(job.spec, candidate.machine_type.name, candidate.zone, candidate.spot):
                continue
            if job.spec.together and candidate.zone != machine.zone:
                continue
            if job.spec.spread and not PlacementRules.zone_allowed(job, candidate.zone, 1):
                continue
            if job.spec.image in candidate.fetched_images:
                return candidate
            fallback = fallback or candidate
        return fallback

    def _remaining(self, placement: Placement, now: timedelta) -> timedelta:
        started_at = placement.running_since if placement.running_since is not None else now
        return max(ZERO, self._planner.run_time(placement.job) - (now - started_at))

    def _min_loss(self, placement: Placement) -> float:
        """Return the cost of moving a task to a machine that already caches its image, in CPU-seconds."""
        pause = save_time(placement.job) + HEARTBEATS_PER_MOVE * self._heartbeat
        return pause.total_seconds() * max(placement.job.task_resources.cpus, placement.job.task_resources.accelerators)

    def _loss(self, placement: Placement, destination: Machine) -> float:
        job = placement.job
        loss = self._min_loss(placement)
        if job.spec.image not in destination.fetched_images:
            fetch = self._guidance.fetch_time(job, destination)
            loss += fetch.total_seconds() * max(job.task_resources.cpus, job.task_resources.accelerators)
        return loss

    def _longest_stop_time(self, options: list[MoveOption]) -> timedelta:
        saves = [save_time(victim.job) for option in options for victim in option.victims]
        return max(saves, default=ZERO) + HEARTBEATS_PER_MOVE * self._heartbeat

    @staticmethod
    def _choose_machines(job: Job, options: list[MoveOption], needed: int) -> list[MoveOption]:
        """Return the options with the lowest loss, as many as `needed`, or an empty list if there are fewer.

        If the job's tasks must run in one zone, all returned options are in the first zone (by name) that suffices.
        """
        ordered = sorted(options, key=lambda option: (option.loss, option.machine.name))
        if not job.spec.together:
            return ordered[:needed] if len(ordered) >= needed else []
        for zone in sorted({option.machine.zone for option in ordered}):
            in_zone = [option for option in ordered if option.machine.zone == zone]
            if len(in_zone) >= needed and PlacementRules.zone_allowed(job, zone, needed):
                return in_zone[:needed]
        return []

    def _start_move(self, option: MoveOption, job: Job, now: timedelta) -> None:
        """Stop the option's victims, with enough time to save their work, and reserve its machine for the job."""
        machine = option.machine
        longest_save = max(save_time(victim.job) for victim in option.victims)
        reserved_until = now + longest_save + HEARTBEATS_PER_MOVE * self._heartbeat + RESERVATION_AFTER_SAVE
        machine.reserve(job.ref, reserved_until)
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
