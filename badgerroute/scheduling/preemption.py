"""Preemption: stopping tasks for jobs that precede them, and reserving the capacity that this frees.

An addition to the paper, whose fair scheduler never stops tasks (docs/design.md).
"""

import logging
from collections import Counter
from collections.abc import Callable
from datetime import timedelta

from badgerroute.scheduling.delay_scheduling import LocalityLevel, locality_of
from badgerroute.scheduling.draining import save_time
from badgerroute.scheduling.evictions import Eviction, EvictionPlanner
from badgerroute.scheduling.model import ZERO, Job, Placement
from badgerroute.scheduling.objectives import Objectives
from badgerroute.scheduling.placement_constraints import max_tasks_per_zone
from badgerroute.scheduling.placement_rules import PlacementRules
from badgerroute.scheduling.service_order import ServiceOrder
from badgerroute.scheduling.shard import Shard
from badgerroute.storage.bitset import lowest_bit

log = logging.getLogger(__name__)
ARRAY_RESERVATION = timedelta(seconds=6)  # how long capacity freed for an array stays reserved
# How long capacity stays reserved for a gang: capacity freed for it, or a machine that another shard gave it. This is
# longer than for an array, since the gang can't start before all the stopped tasks have saved their work.
GANG_RESERVATION = timedelta(seconds=30)
HEARTBEATS_UNTIL_START = 3  # heartbeat periods from the decision to stop tasks until others start in their place
SLACK_DIVISOR = 3  # a job may preempt once it has waited for its slack divided by this; see `wait_before_preemption`
MAX_STOPS_PER_ROUND = 64  # at most this many tasks are stopped for arrays in one round


class Preemption:
    """Stops tasks of one shard for jobs that come earlier in the order of service."""

    def __init__(
        self,
        shard: Shard,
        *,
        order: ServiceOrder,
        rules: PlacementRules,
        evictions: EvictionPlanner,
        objectives: Objectives,
        heartbeat: timedelta,
    ) -> None:
        self._shard, self._order, self._rules, self._evictions = shard, order, rules, evictions
        self._objectives, self._heartbeat = objectives, heartbeat
        self._cursor = 0  # position of the job at which the next round resumes
        self.overrun_rounds = 0  # rounds that ran out of time

    def wait_before_preemption(self, job: Job) -> timedelta:
        """How long a job waits before other tasks are preempted for it: a third of its slack.

        The slack is the time within which it should start, less the heartbeat periods until the stop and the start
        commands have arrived, and less the time to fetch its image.
        """
        start_delay = HEARTBEATS_UNTIL_START * self._heartbeat
        slack = self._objectives.start_within(job) - start_delay - self._shard.min_fetch_time(job)
        return max(ZERO, slack / SLACK_DIVISOR)

    # -- gangs

    def preempt_for_gang(self, job: Job, tasks: int, now: timedelta) -> None:
        """Make room for a gang with the evictions of least loss, if it has waited at least `wait_before_preemption`."""
        if now - job.waiting_since < self.wait_before_preemption(job):
            return
        options: list[Eviction] = []
        for machine in self._evictions.candidates(job, now):
            if machine.reserved_for not in (None, job.ref):
                continue
            eviction = self._evictions.cheapest(machine, job, now)
            if eviction is not None:
                options.append(eviction)
        self.evict_for_gang(job, tasks, options, now)

    def evict_for_gang(self, job: Job, tasks: int, options: list[Eviction], now: timedelta) -> bool:
        """Carry out the cheapest evictions, on as many machines as the gang has tasks. Return False if too few exist.

        Machines already reserved for the gang come first. Otherwise each round could reserve further machines, until
        more were reserved than the gang can use.
        """
        options.sort(key=lambda option: (option.machine.reserved_for != job.ref, option.loss, option.machine.name))
        if job.spec.together:
            options = self._cheapest_zone(options, tasks)
        elif job.spec.spread:
            options = self._spread_over_zones(options, max_tasks_per_zone(job.spec))
        if len(options) < tasks:
            return False
        for option in options[:tasks]:
            self._evict(option, job, now + GANG_RESERVATION)
        return True

    @staticmethod
    def _cheapest_zone(options: list[Eviction], tasks: int) -> list[Eviction]:
        """The cheapest evictions within one zone that make room for all tasks, or an empty list if there are none."""
        by_zone: dict[str, list[Eviction]] = {}
        for option in options:
            by_zone.setdefault(option.machine.zone, []).append(option)
        sufficient = [group[:tasks] for group in by_zone.values() if len(group) >= tasks]
        return min(sufficient, key=lambda group: sum(option.loss for option in group)) if sufficient else []

    @staticmethod
    def _spread_over_zones(options: list[Eviction], max_per_zone: int) -> list[Eviction]:
        """The cheapest evictions, at most `max_per_zone` in each zone. `options` are sorted, cheapest first."""
        per_zone: Counter[str] = Counter()
        chosen: list[Eviction] = []
        for option in options:
            zone = option.machine.zone
            if per_zone[zone] < max_per_zone:
                per_zone[zone] += 1
                chosen.append(option)
        return chosen

    # -- arrays

    def preempt_for_arrays(self, now: timedelta, out_of_time: Callable[[], bool]) -> None:
        """Stop tasks for arrays that have a higher priority level or are within their team's guarantee.

        `out_of_time` returns true when the round must end; the next round then resumes at the same job. Rounds are
        limited because a pass over thousands of jobs takes seconds, during which no heartbeat is answered.
        """
        if not self._shard.reconciled:
            return
        self._order.refresh(now)
        stopping = sum(machine.stopping_count for machine in self._shard.machines.values())
        stops_left = MAX_STOPS_PER_ROUND
        jobs = self._order.jobs
        for position in range(min(self._cursor, len(jobs)), len(jobs)):
            if out_of_time():
                self._cursor = position
                self.overrun_rounds += 1
                return
            wanted = self._array_tasks_without_capacity(jobs[position], stops_left, now)
            if wanted > stopping:
                stopped = self._preempt_for_array(jobs[position], wanted - stopping, now)
                stops_left -= stopped
                stopping += stopped
            if stops_left <= 0:
                break
        self._cursor = 0

    def _array_tasks_without_capacity(self, job: Job, limit: int, now: timedelta) -> int:
        """How many tasks of an array fit in no free capacity, at most `limit`.

        The result is 0 if the array may not preempt, for example because it has not waited long enough.
        """
        if not self._may_preempt_for_array(job, now):
            return 0
        wanted = min(job.waiting_bits.bit_count(), limit)
        within_quota = self._shard.tasks_within_quota(job, wanted)
        if within_quota < wanted:
            # Where no capacity is free, placement never finds out that quota is missing as well.
            slots = self._slots_after_preemption(job, wanted, now)
            if slots:
                self._rules.record_shortfall(job, slots)
        wanted = within_quota
        for machine in self._evictions.candidates(job, now, with_free_cpus=True):
            if wanted <= 0:
                break
            wanted -= machine.free.count_fitting(job.task_resources)
        return wanted

    def _may_preempt_for_array(self, job: Job, now: timedelta) -> bool:
        """Whether tasks may be stopped for an array now, if it lacks capacity: it has waited long enough."""
        min_wait = self.wait_before_preemption(job)
        if job.gang or job.failing or now - job.waiting_since < min_wait or self._order.yields_to_gang(job):
            return False
        waiting = job.waiting_bits
        return bool(waiting) and now - min(job.requeued.get(lowest_bit(waiting), job.waiting_since), now) >= min_wait

    def _slots_after_preemption(self, job: Job, tasks: int, now: timedelta) -> int:
        """How many of `tasks` tasks of a job would fit if all tasks of lower levels were stopped."""
        slots = 0
        for machine in self._evictions.candidates(job, now):
            slots += machine.reclaimable(job.level).count_fitting(job.task_resources)
            if slots >= tasks:
                return tasks
        return slots

    def startable_array_tasks(self, job: Job, now: timedelta) -> int:
        """How many tasks of an array could start if only quota counted: on free capacity, or after preemption."""
        wanted = job.startable
        fitting = min(wanted, self._shard.count_free_slots(job))
        if fitting < wanted and self._may_preempt_for_array(job, now):
            return max(fitting, self._slots_after_preemption(job, wanted, now))
        return fitting

    def _preempt_for_array(self, job: Job, wanted: int, now: timedelta) -> int:
        """Make room for one task on each of up to `wanted` machines, first on those that cache the image.

        Return the number of machines.
        """
        options: list[tuple[bool, Eviction]] = []
        for machine in self._evictions.candidates(job, now):
            if machine.reserved_for is not None:
                continue
            eviction = self._evictions.cheapest(machine, job, now)
            if eviction is not None and eviction.victims:
                uncached = locality_of(job, machine, self._order.images) is not LocalityLevel.CACHED
                options.append((uncached, eviction))
        options.sort(key=lambda option: (option[0], option[1].loss, option[1].machine.name))
        for _, eviction in options[:wanted]:
            self._evict(eviction, job, now + ARRAY_RESERVATION)
        return min(wanted, len(options))

    # -- gangs and arrays

    def _evict(self, eviction: Eviction, job: Job, reserved_until: timedelta) -> None:
        """Stop the victims, and reserve their machine for the job so that the victims are not started on it again."""
        eviction.machine.reserve(job.ref, reserved_until)
        for victim in eviction.victims:
            self._preempt(victim, job)

    def _preempt(self, victim: Placement, job: Job) -> None:
        """Stop a task, or its whole gang, with the grace period that it needs to save its work."""
        grace = save_time(victim.job)
        log.debug(
            "event=task_preempted task=%s/%d machine=%s for=%s",
            victim.job.ref,
            victim.index,
            victim.machine.name,
            job.ref,
        )
        if victim.job.gang:
            victim.job.preemption_count += 1
            self._shard.stop_gang(victim.job, grace)
        else:
            self._shard.stop(victim, grace)

    def release_reservations(self, now: timedelta) -> None:
        """Release reservations that have expired, or whose job was placed or moved and no longer waits in this shard.

        A machine that stayed reserved would remain idle and never be returned to the cloud.
        """
        for machine in self._shard.machines.values():
            if machine.reserved_for is not None:
                job = self._shard.jobs.get(machine.reserved_for)
                if now > machine.reserved_until or job is None or not job.waiting_bits:
                    machine.end_reservation()
