"""Placement of gangs: all tasks of a gang are placed in one round or none, near cached copies of their image.

An addition to the paper, whose tasks start one by one (docs/design.md). As for arrays, delay scheduling decides how far
from their image tasks may start.
"""

import logging
from collections import Counter, defaultdict
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from badgerroute.scheduling.delay_scheduling import LocalityLevel, fetch_time, locality_of
from badgerroute.scheduling.evictions import Eviction, EvictionPlanner
from badgerroute.scheduling.model import ZERO, Job, Machine
from badgerroute.scheduling.objectives import Objectives
from badgerroute.scheduling.placement_constraints import gang_fits, max_tasks_per_zone
from badgerroute.scheduling.placement_rules import SLOW_FETCH_FACTOR, PlacementRules
from badgerroute.scheduling.preemption import Preemption
from badgerroute.scheduling.service_order import ServiceOrder
from badgerroute.scheduling.shard import Shard
from badgerroute.scheduling.task_phase import Phase
from badgerroute.storage.bitset import lowest_bit

log = logging.getLogger(__name__)
FETCHING_PENALTY = 1000.0  # exceeds the number of images on any machine, so machines that already fetch sort last


class _Option(NamedTuple):
    """A machine on which a gang's task fits. Options are sorted by their fields, in this order, then by name."""

    locality: LocalityLevel
    fetch_penalty: float
    free_cpus: float
    # Machines with older last messages come first: their next heartbeat comes sooner, and its response carries the
    # start command.
    last_message_s: float
    machine: Machine


class GangPlacement:
    """Places the gangs of one shard: on each heartbeat of a machine, and in periodic rounds over all gangs."""

    def __init__(
        self,
        shard: Shard,
        *,
        order: ServiceOrder,
        rules: PlacementRules,
        evictions: EvictionPlanner,
        preemption: Preemption,
        objectives: Objectives,
        heartbeat: timedelta,
    ) -> None:
        self._shard, self._order, self._rules = shard, order, rules
        self._evictions, self._preemption = evictions, preemption
        self._objectives, self._heartbeat = objectives, heartbeat
        self._cursor = 0  # position of the gang at which the next round resumes
        self.overrun_rounds = 0  # rounds that ran out of time

    def place_on(self, machine: Machine, now: timedelta, out_of_time: Callable[[], bool]) -> int:
        """Place gangs that may have waited only for capacity on this machine. Return how many were placed.

        Preempts tasks only for a gang whose image fetch would take too long.

        `out_of_time` returns true when the round must end.
        """
        if not self._shard.reconciled or not machine.usable:
            return 0
        self._order.refresh(now)
        placed = 0
        for job in self._order.jobs:
            if job.gang and not job.placements and machine.free.holds(job.task_resources) and job.waiting_bits:
                if machine.reserved_for not in (None, job.ref):
                    continue
                if out_of_time():
                    self.overrun_rounds += 1
                    return placed
                placed += self._place_gang(job, now, preempt=False)
        return placed

    def place(self, now: timedelta, out_of_time: Callable[[], bool]) -> int:
        """Place waiting gangs, and preempt tasks for those that have waited long. Return how many were placed."""
        if not self._shard.reconciled:
            return 0
        self._order.refresh(now)
        waiting = [job for job in self._order.jobs if job.gang and not job.placements and job.waiting_bits]
        if self._cursor >= len(waiting):
            self._cursor = 0
        placed = 0
        for position in range(self._cursor, len(waiting)):
            if out_of_time():
                self.overrun_rounds += 1
                self._cursor = position
                return placed
            placed += self._place_gang(waiting[position], now, preempt=True)
        self._cursor = 0
        return placed

    def _place_gang(self, job: Job, now: timedelta, preempt: bool) -> bool:
        tasks = job.waiting_bits.bit_count()
        if self._lacks_quota(job, tasks):
            self._rules.record_shortfall(job, tasks)
            return False
        wait = now - job.waiting_since
        options, blocked_by_locality = self._find_options(job, wait, now)
        chosen = self._choose_machines(job, tasks, options)
        if chosen is None:
            if preempt and not blocked_by_locality and not job.failing:
                self._preemption.preempt_for_gang(job, tasks, now)
            return False
        if not job.failing and self._preempt_on_caching_machines(job, tasks, chosen, wait, now):
            return False
        self._start(job, chosen, wait, now)
        return True

    def _find_options(self, job: Job, wait: timedelta, now: timedelta) -> tuple[list[_Option], bool]:
        """The machines on which a task may start now, and whether delay scheduling alone excludes some others."""
        options: list[_Option] = []
        blocked_by_locality = False
        for machine in self._evictions.candidates(job, now, with_free_cpus=True):
            if not machine.free.holds(job.task_resources) or machine.reserved_for not in (None, job.ref):
                continue
            locality = locality_of(job, machine, self._order.images)
            if locality > self._rules.allowed_locality(job, machine, wait):
                blocked_by_locality = True
                continue
            last_message_s = machine.last_message_at.total_seconds() if machine.last_message_at is not None else 0.0
            penalty = self._fetch_penalty(machine, locality)
            options.append(_Option(locality, penalty, machine.free.cpus, last_message_s, machine))
        return options, blocked_by_locality

    @staticmethod
    def _fetch_penalty(machine: Machine, locality: LocalityLevel) -> float:
        """How unsuitable a machine is for a fetch: it may evict cached images, and other fetches may slow it down."""
        if locality is LocalityLevel.CACHED:
            return 0.0
        return len(machine.images) + (FETCHING_PENALTY if machine.awaits_image() else 0.0)

    def _start(self, job: Job, machines: list[Machine], wait: timedelta, now: timedelta) -> None:
        """Place all tasks of a gang, one for each entry of `machines`, and release the gang's reservations."""
        attempt = self._shard.next_attempt()
        log.debug(
            "event=gang_placed job=%s machines=%s waited=%.1f cached=%d",
            job.ref,
            ",".join(machine.name for machine in machines),
            wait.total_seconds(),
            sum(job.spec.image in machine.images for machine in machines),
        )
        job.gang_attempt = attempt
        waiting = job.waiting_bits
        for machine in machines:
            index = lowest_bit(waiting)
            waiting &= waiting - 1
            self._shard.place(job, index, attempt, machine, now, Phase.RESERVED)
        for machine in self._shard.machines.values():
            if machine.reserved_for == job.ref:
                machine.end_reservation()

    def _choose_machines(self, job: Job, tasks: int, options: list[_Option]) -> list[Machine] | None:
        """Choose machines for all tasks, in the order that `_Option` describes. Return None if there are too few."""
        options = sorted(options, key=lambda option: (*option[:4], option.machine.name))
        if not job.spec.together:
            return self._first_fitting(job, tasks, [option.machine for option in options])
        for zone in dict.fromkeys(option.machine.zone for option in options):
            chosen = self._first_fitting(
                job, tasks, [option.machine for option in options if option.machine.zone == zone]
            )
            if chosen is not None:
                return chosen
        return None

    @staticmethod
    def _first_fitting(job: Job, tasks: int, machines: list[Machine]) -> list[Machine] | None:
        """The first machines that hold all tasks, each listed once per task on it, or None if there are too few.

        At most half of a spread gang's tasks, rounded up, are placed in one zone.
        """
        chosen: list[Machine] = []
        per_zone: dict[str, int] = {}
        max_per_zone = max_tasks_per_zone(job.spec)
        for machine in machines:
            for _ in range(machine.free.count_fitting(job.task_resources)):
                if len(chosen) == tasks:
                    return chosen
                if per_zone.get(machine.zone, 0) >= max_per_zone:
                    break
                per_zone[machine.zone] = per_zone.get(machine.zone, 0) + 1
                chosen.append(machine)
        return chosen if len(chosen) == tasks else None

    def _preempt_on_caching_machines(
        self, job: Job, tasks: int, chosen: list[Machine], wait: timedelta, now: timedelta
    ) -> bool:
        """Preempt tasks on machines that cache the image if fetching it on the chosen machines would take too long.

        A machine is used only if the work lost by preemption on it is at most the processor time that a task of the
        gang would spend waiting for the fetch. Return whether enough machines were found; the gang then
        waits until they have room.
        """
        fetch = max(
            (fetch_time(job, machine) for machine in chosen if job.spec.image not in machine.images), default=ZERO
        )
        # A gang starts when its last task does, after the slowest fetch; the start command is sent in the response to
        # the machine's next heartbeat.
        if fetch == ZERO or wait + self._heartbeat + fetch * SLOW_FETCH_FACTOR <= self._objectives.start_within(job):
            return False
        options: list[Eviction] = []
        for machine in self._evictions.candidates(job, now):
            if job.spec.image in machine.images and machine.reserved_for in (None, job.ref):
                eviction = self._evictions.cheapest(machine, job, now)
                if eviction is not None and eviction.loss <= job.task_resources.cpus * fetch.total_seconds():
                    options.append(eviction)
        return self._preemption.evict_for_gang(job, tasks, options, now)

    def unplaceable_gangs(self, now: timedelta) -> list[Job]:
        """Gangs that have waited long enough to preempt, but for which this shard could not free enough capacity.

        A gang is not among them while enough capacity for all its tasks is reserved for it. Less than that is no reason
        to expect that the gang will start here. Nor is a gang among them that lacks quota and would fit: with quota it
        would start here.
        """
        reserved = self._reserved_slots()
        return [
            job
            for job in self._order.jobs
            if job.gang
            and not job.placements
            and not job.failing
            and job.waiting_bits
            and not gang_fits(job.spec, reserved[job.ref])
            and now - job.waiting_since >= self._preemption.wait_before_preemption(job)
            and not (self._lacks_quota(job, job.spec.tasks) and self._order.has_room(job))
        ]

    def _reserved_slots(self) -> defaultdict[str, Counter[str]]:
        """How many tasks of each job fit in each zone on machines that are reserved for the job."""
        slots: defaultdict[str, Counter[str]] = defaultdict(Counter)
        for machine in self._shard.machines.values():
            job = self._shard.jobs.get(machine.reserved_for) if machine.reserved_for is not None else None
            if job is not None:
                slots[job.ref][machine.zone] += machine.reserved_slots(job)
        return slots

    def _lacks_quota(self, job: Job, tasks: int) -> bool:
        return self._shard.tasks_within_quota(job, tasks) < tasks
