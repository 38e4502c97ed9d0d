"""Array tasks: started on every heartbeat of a machine, in its free room, by delay scheduling and the jobs' desires."""

import heapq
import logging
from collections.abc import Callable
from datetime import timedelta
from itertools import groupby

from badgerroute.scheduling import delay_scheduling, utilization_feedback
from badgerroute.scheduling.model import Job, Machine
from badgerroute.scheduling.placement_constraints import allows
from badgerroute.scheduling.placement_rules import PlacementRules
from badgerroute.scheduling.preemption import Preemption
from badgerroute.scheduling.service_order import ServiceOrder
from badgerroute.scheduling.shard import Shard
from badgerroute.scheduling.task_phase import Phase
from badgerroute.storage.records import lowest

log = logging.getLogger(__name__)
BESIDE = timedelta(seconds=6)  # how long a small task passes by an empty machine for one in use


class ArrayPlacement:
    """Fills machines of one shard with array tasks."""

    def __init__(self, shard: Shard, order: ServiceOrder, rules: PlacementRules, preemption: Preemption) -> None:
        self._shard, self._order, self._rules, self._preemption = shard, order, rules, preemption
        self._cursor = 0
        self.cut_short = 0  # rounds that ran out of time

    def fill(self, machine: Machine, now: timedelta, over: Callable[[], bool]) -> int:
        """Start array tasks in a machine's free room. `over` tells when the round's time is up."""
        shard = self._shard
        if not shard.reconciled or not machine.usable or machine.avoid_until > now:
            return 0
        self._order.refresh(now)
        if not machine.free.holds(self._order.least_need):
            return 0
        spared = self._room_beside(machine) if not machine.placements and machine.reserved_for is None else None
        order = (
            self._order.jobs[self._cursor :] + self._order.jobs[: self._cursor] if self._cursor else self._order.jobs
        )
        started, looked = 0, 0
        for beyond in (False, True):  # first within the jobs' desires; what is then left over, to any
            for _, members in groupby(order, key=self._order.group):
                if not machine.free.holds(self._order.least_need):
                    self._cursor = 0
                    return started
                jobs = [job for job in members if not job.gang and job.waiting_bits]
                if over():
                    self.cut_short += 1
                    self._cursor = (self._cursor + looked) % max(1, len(self._order.jobs))
                    return started
                looked += len(jobs)
                if machine.reserved_for is not None:
                    jobs = self._outranking(machine, jobs, now)
                if spared is not None:
                    jobs = [job for job in jobs if not self._fits_beside(job, spared, now)]
                started += self._fill_class(machine, jobs, now, beyond)
        self._cursor = 0
        return started

    def _room_beside(self, machine: Machine) -> list[Machine]:
        """Machines in use with room left. Small tasks go there first, so that whole machines stay free for gangs."""
        return [
            other
            for other in self._shard.machines.values()
            if other.placements and other.usable and other.reserved_for is None and other.zone == machine.zone
        ]

    def _fits_beside(self, job: Job, machines: list[Machine], now: timedelta) -> bool:
        """Whether all that waits of a job would fit on machines in use, at its heartbeat or the one after."""
        bits = job.waiting_bits
        if not bits or now - job.requeued.get(lowest(bits), job.since) > BESIDE:
            return False
        left = bits.bit_count()
        for machine in machines:
            if allows(job.spec, machine.kind.name, machine.zone, machine.spot):
                if (
                    delay_scheduling.locality_of(job, machine, self._order.images)
                    is delay_scheduling.LocalityLevel.CACHED
                ):
                    left -= machine.free.times(job.need)
                    if left <= 0:
                        return True
        return False

    def _outranking(self, machine: Machine, jobs: list[Job], now: timedelta) -> list[Job]:
        """A machine that room was made on for a job takes only that job, and what outranks it.

        Else the room would go back to the work that was just stopped, and be made again, for ever.
        """
        holder = self._shard.jobs.get(machine.reserved_for or "")
        if holder is None or not holder.waiting_bits:
            return jobs
        return [job for job in jobs if job is holder or not self._preemption.may_stop(job, holder)]

    def _fill_class(self, machine: Machine, jobs: list[Job], now: timedelta, beyond: bool) -> int:
        started = 0
        for locality in delay_scheduling.LocalityLevel:
            queue: list[tuple[tuple[float, float], int, Job]] = []
            for number, job in enumerate(jobs):
                if self._eligible(job, machine, locality, now, beyond):
                    queue.append((self._order.turn(job), number, job))
            heapq.heapify(queue)
            while queue:
                _, number, job = heapq.heappop(queue)
                if not self._start_one(job, machine, now, beyond):
                    continue
                started += 1
                heapq.heappush(queue, (self._order.turn(job), number, job))
        return started

    def _eligible(
        self, job: Job, machine: Machine, locality: delay_scheduling.LocalityLevel, now: timedelta, beyond: bool
    ) -> bool:
        spec = job.spec
        if not machine.free.holds(job.need) or not allows(spec, machine.kind.name, machine.zone, machine.spot):
            return False
        if job.failing and job.placed:
            return False
        if machine.name in job.no_return_until and job.no_return_until[machine.name] > now:
            return False
        if (
            machine.name in job.failed_on
            or delay_scheduling.locality_of(job, machine, self._order.images) is not locality
        ):
            return False
        if locality is not delay_scheduling.LocalityLevel.CACHED and machine.fetches(gangs_only=True):
            # Two fetches share the rate, and a whole gang would wait for it: on a machine that a gang all but fills,
            # one small task's image made its start come twice as late.
            return False
        if locality is not delay_scheduling.LocalityLevel.CACHED and machine.reserved_for != job.ref:
            bits = job.waiting_bits
            if not bits:
                return False
            wait = job.waited(lowest(bits), now)
            if self._rules.allowed(job, machine, wait) < locality:
                return False
        if job.desire < 1.0:
            self._begin_desire(job, now)
        return beyond or self._below_desire(job)

    def _below_desire(self, job: Job) -> bool:
        return len(job.placed) < job.desire or self._shard.guidance.may_exceed_desire(job)

    def _begin_desire(self, job: Job, now: timedelta) -> None:
        utilization_feedback.begin(job, now, job.waiting_bits.bit_count(), self._shard.room_for(job))

    def _start_one(self, job: Job, machine: Machine, now: timedelta, beyond: bool) -> bool:
        if not machine.free.holds(job.need) or not (beyond or self._below_desire(job)):
            return False
        bits = job.waiting_bits
        if not bits or (job.failing and job.placed) or not self._rules.zone_allowed(job, machine.zone, 1):
            return False
        if self._order.yields_to_gang(job):
            return False
        if not self._shard.fits_quota(job):
            self._rules.lacks(job, bits.bit_count())
            return False
        index = lowest(bits)
        log.debug(
            "event=task_placed task=%s/%d machine=%s waited=%.1f",
            job.ref,
            index,
            machine.name,
            job.waited(index, now).total_seconds(),
        )
        self._shard.place(job, index, self._shard.next_attempt(), machine, now, Phase.RESERVED)
        return True
