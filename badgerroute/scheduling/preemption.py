"""Preemption: stopping work for work that comes before it, and reserving the capacity that becomes free.

An addition to the paper, whose fair scheduler stops nothing (docs/design.md).
"""

import logging
from collections.abc import Callable
from datetime import timedelta

from badgerroute.scheduling.delay_scheduling import LocalityLevel, locality_of
from badgerroute.scheduling.draining import save_time
from badgerroute.scheduling.evictions import Eviction, EvictionPlanner
from badgerroute.scheduling.model import ZERO, Job, Placement
from badgerroute.scheduling.objectives import Objectives
from badgerroute.scheduling.service_order import ServiceOrder
from badgerroute.scheduling.shard import Shard
from badgerroute.storage.bitset import lowest

log = logging.getLogger(__name__)
ARRAY_RESERVATION = timedelta(seconds=6)  # how long capacity that was freed for an array waits for its tasks
GANG_RESERVATION = timedelta(seconds=30)  # and for a gang, whose victims save their work before they end
HEARTBEATS_UNTIL_START = 3  # heartbeats that pass between the decision to stop tasks and the start in their place
SLACK_DIVISOR = 3  # preemption begins after the slack divided by this
MAX_STOPS_PER_ROUND = 64  # tasks that are stopped for arrays


class Preemption:
    """Stops work of one shard for other work that comes before it in the order of service."""

    def __init__(
        self,
        shard: Shard,
        *,
        order: ServiceOrder,
        evictions: EvictionPlanner,
        objectives: Objectives,
        heartbeat: timedelta,
    ) -> None:
        self._shard, self._order, self._evictions = shard, order, evictions
        self._objectives, self._heartbeat = objectives, heartbeat
        self._cursor = 0  # position of the job with which the next round goes on
        self.overrun_rounds = 0  # rounds that ran out of time

    def wait_before_preemption(self, job: Job) -> timedelta:
        """How long a job waits before others are stopped for it: a third of its slack.

        The slack is the time in which it should start, less the heartbeats until a stop and a start arrive, and less
        the fetch of its image.
        """
        start_delay = HEARTBEATS_UNTIL_START * self._heartbeat
        slack = self._objectives.start_within(job) - start_delay - self._shard.least_fetch(job)
        return max(ZERO, slack / SLACK_DIVISOR)

    # -- gangs

    def preempt_for_gang(self, job: Job, tasks: int, now: timedelta) -> None:
        """Stop what is cheapest so that a gang which has waited long enough fits."""
        if now - job.since < self.wait_before_preemption(job):
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
        """Carry out the cheapest evictions on as many machines as a gang needs; False: there are too few.

        Machines that are reserved for it already come first: else every round would reserve others, and more than the
        gang has use for.
        """
        options.sort(key=lambda option: (option.machine.reserved_for != job.ref, option.loss, option.machine.name))
        if job.spec.together and options:
            options = self._cheapest_zone(options, tasks)
        if len(options) < tasks:
            return False
        for option in options[:tasks]:
            self._evict(option, job, now + GANG_RESERVATION)
        return True

    @staticmethod
    def _cheapest_zone(options: list[Eviction], tasks: int) -> list[Eviction]:
        """The cheapest evictions that lie in one zone; none if no zone has enough."""
        by_zone: dict[str, list[Eviction]] = {}
        for option in options:
            by_zone.setdefault(option.machine.zone, []).append(option)
        sufficient = [group[:tasks] for group in by_zone.values() if len(group) >= tasks]
        return min(sufficient, key=lambda group: sum(option.loss for option in group)) if sufficient else []

    # -- arrays

    def preempt_for_arrays(self, now: timedelta, out_of_time: Callable[[], bool]) -> None:
        """Give a team its guarantee, and higher levels their place, at the cost of work that may be stopped.

        `over` tells when the round's time is up; the next round goes on with the next job. No heartbeat is answered
        meanwhile, and a pass over thousands of jobs takes seconds.
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
        """How many tasks of an array have waited long enough for others to be stopped, and fit on no machine."""
        min_wait = self.wait_before_preemption(job)
        if job.gang or job.failing or now - job.since < min_wait or self._order.yields_to_gang(job):
            return 0
        waiting = job.waiting_bits
        if not waiting or now - min(job.requeued.get(lowest(waiting), job.since), now) < min_wait:
            return 0
        wanted = min(waiting.bit_count(), self._shard.fits_quota(job, limit), limit)
        for machine in self._evictions.candidates(job, now, with_free_cpus=True):
            if wanted <= 0:
                break
            wanted -= machine.free.times(job.need)
        return wanted

    def _preempt_for_array(self, job: Job, wanted: int, now: timedelta) -> int:
        """Make one task of an array fit on each of up to `wanted` machines; on how many. Cached images come first."""
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

    # -- both

    def _evict(self, eviction: Eviction, job: Job, reserved_until: timedelta) -> None:
        """Stop the victims, and reserve the machine: else the capacity would go back to them."""
        eviction.machine.reserved_for = job.ref
        eviction.machine.reserved_until = reserved_until
        for victim in eviction.victims:
            self._preempt(victim, job)

    def _preempt(self, victim: Placement, job: Job) -> None:
        """Stop a task, with the time that it needs to save; of a gang, all tasks."""
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
        """Give up reservations that are too old, or whose job has no use for them: it may have moved or be placed.

        A machine that stays reserved would stay idle and never be returned.
        """
        for machine in self._shard.machines.values():
            if machine.reserved_for is not None:
                job = self._shard.jobs.get(machine.reserved_for)
                expired = machine.reserved_until is not None and now > machine.reserved_until
                if expired or job is None or not job.waiting_bits:
                    machine.reserved_for = machine.reserved_until = None
