"""Placement of array tasks: on each heartbeat of a machine, tasks are started there until its capacity is used.

The paper's algorithm 2 (Parades, section IV.D), procedure ONUPDATE(n, delta, tau) with `n` the reporting machine: first
tasks whose image it caches, then tasks that delay scheduling allows farther from their image. Free slots go to the job
that uses the smallest share of the shard, up to its desired slots: the number of tasks that it should run at once
according to its utilization feedback (algorithm 1, `utilization_feedback`). Added here: capacity that remains when all
jobs have their desired slots goes to any job.
"""

import heapq
import logging
from collections.abc import Callable
from datetime import timedelta
from itertools import groupby

from badgerroute.scheduling import utilization_feedback
from badgerroute.scheduling.delay_scheduling import LocalityLevel, locality_of
from badgerroute.scheduling.evictions import EvictionPlanner
from badgerroute.scheduling.model import Job, Machine
from badgerroute.scheduling.placement_constraints import allows
from badgerroute.scheduling.placement_rules import PlacementRules
from badgerroute.scheduling.service_order import ServiceOrder
from badgerroute.scheduling.shard import Shard
from badgerroute.scheduling.task_phase import Phase
from badgerroute.storage.bitset import lowest_bit

log = logging.getLogger(__name__)
# A task waits at most this long for a machine in use before it takes an empty one.
SHARED_MACHINE_WAIT = timedelta(seconds=6)


class ArrayPlacement:
    """Starts array tasks on the machines of one shard."""

    def __init__(self, shard: Shard, order: ServiceOrder, rules: PlacementRules, evictions: EvictionPlanner) -> None:
        self._shard, self._order, self._rules, self._evictions = shard, order, rules, evictions
        self._cursor = 0  # position in the order of service at which the next round resumes
        self.overrun_rounds = 0  # rounds that ran out of time

    def fill(self, machine: Machine, now: timedelta, out_of_time: Callable[[], bool]) -> int:
        """Start array tasks on a machine. Return their number. `out_of_time` returns true when the round must end."""
        shard = self._shard
        if not shard.reconciled or not machine.usable or machine.avoid_until > now:
            return 0
        self._order.refresh(now)
        if not machine.free.holds(self._order.least_need):
            return 0
        is_empty = not machine.placements and machine.reserved_for is None
        in_use = self._machines_in_use(machine) if is_empty else None
        jobs = self._order.jobs
        order = jobs[self._cursor :] + jobs[: self._cursor] if self._cursor else jobs
        started, considered = 0, 0
        for beyond_desire in (False, True):
            for _, members in groupby(order, key=self._order.group_key):
                if not machine.free.holds(self._order.least_need):
                    self._cursor = 0
                    return started
                group = [job for job in members if not job.gang and job.waiting_bits]
                if out_of_time():
                    self.overrun_rounds += 1
                    self._cursor = (self._cursor + considered) % max(1, len(self._order.jobs))
                    return started
                considered += len(group)
                group = self._admitted_jobs(group, machine, in_use, now)
                started += self._fill_group(machine, group, now, beyond_desire)
        self._cursor = 0
        return started

    def _admitted_jobs(
        self, jobs: list[Job], machine: Machine, in_use: list[Machine] | None, now: timedelta
    ) -> list[Job]:
        """Return those of `jobs` that may use a machine: it may be reserved for a job or, if empty, be kept for gangs.

        `in_use` lists the machines to fill before this one; it is None if this machine is in use itself or reserved.
        """
        if machine.reserved_for is not None:
            jobs = self._jobs_for_reserved_machine(machine, jobs)
        if in_use is not None:
            jobs = [job for job in jobs if not self._should_wait_for_machines(job, in_use, now)]
        return jobs

    def _machines_in_use(self, machine: Machine) -> list[Machine]:
        """The usable machines in a machine's zone that run tasks.

        Array tasks fill these machines first, to leave empty machines for gangs.
        """
        return [
            other
            for other in self._shard.machines.values()
            if other.placements and other.usable and other.reserved_for is None and other.zone == machine.zone
        ]

    def _should_wait_for_machines(self, job: Job, machines: list[Machine], now: timedelta) -> bool:
        """Whether a job should leave an empty machine alone and wait for `machines`, which already run tasks.

        It should if all its waiting tasks fit on those of `machines` that cache its image, but only until it has waited
        for SHARED_MACHINE_WAIT.
        """
        waiting = job.waiting_bits
        if not waiting or now - job.requeued.get(lowest_bit(waiting), job.waiting_since) > SHARED_MACHINE_WAIT:
            return False
        remaining = waiting.bit_count()
        for machine in machines:
            if allows(job.spec, machine.machine_type.name, machine.zone, machine.spot):
                if locality_of(job, machine, self._order.images) is LocalityLevel.CACHED:
                    remaining -= machine.free.count_fitting(job.task_resources)
                    if remaining <= 0:
                        return True
        return False

    def _jobs_for_reserved_machine(self, machine: Machine, jobs: list[Job]) -> list[Job]:
        """The jobs that may use a reserved machine: the job that reserved it, and those that this job may not preempt.

        If other jobs could use it too, the tasks that were just stopped to free its capacity could start on it again.
        """
        reserver = self._shard.jobs.get(machine.reserved_for or "")
        if reserver is None or not reserver.waiting_bits:
            return jobs
        return [job for job in jobs if job is reserver or not self._evictions.may_stop(job, reserver)]

    def _fill_group(self, machine: Machine, jobs: list[Job], now: timedelta, beyond_desire: bool) -> int:
        """Start tasks of jobs with equal rank.

        Jobs whose image is nearest come first; among these, the job that uses the smallest share of the shard.
        """
        started = 0
        for locality in LocalityLevel:
            queue: list[tuple[tuple[float, float], int, Job]] = []
            for number, job in enumerate(jobs):
                if self._eligible(job, machine, locality, now, beyond_desire):
                    queue.append((self._order.share_key(job), number, job))
            heapq.heapify(queue)
            while queue:
                _, number, job = heapq.heappop(queue)
                if not self._start_next_task(job, machine, now, beyond_desire):
                    continue
                started += 1
                heapq.heappush(queue, (self._order.share_key(job), number, job))
        return started

    def _eligible(
        self, job: Job, machine: Machine, locality: LocalityLevel, now: timedelta, beyond_desire: bool
    ) -> bool:
        """Whether a task of the job may start on the machine, and `locality` is the machine's locality for the job.

        With `beyond_desire`, a task may start even if the job already has its desired slots.
        """
        spec = job.spec
        if not machine.free.holds(job.task_resources) or not allows(
            spec, machine.machine_type.name, machine.zone, machine.spot
        ):
            return False
        if job.failing and job.placements:
            return False
        if machine.name in job.no_return_until and job.no_return_until[machine.name] > now:
            return False
        if machine.name in job.failed_on or locality_of(job, machine, self._order.images) is not locality:
            return False
        if locality is not LocalityLevel.CACHED and not self._may_fetch(job, machine, locality, now):
            return False
        if job.desire < 1.0:
            self._begin_desire(job, now)
        return beyond_desire or self._below_desire(job)

    def _may_fetch(self, job: Job, machine: Machine, locality: LocalityLevel, now: timedelta) -> bool:
        """Whether a task may start on a machine that must fetch its image."""
        if machine.awaits_image(gangs_only=True):
            # The machine fetches an image for a gang. Another fetch would share the bandwidth and delay the whole gang.
            return False
        if machine.reserved_for == job.ref:
            return True
        waiting = job.waiting_bits
        if not waiting:
            return False
        return self._rules.allowed_locality(job, machine, job.waited(lowest_bit(waiting), now)) >= locality

    def _below_desire(self, job: Job) -> bool:
        return len(job.placements) < job.desire or self._shard.guidance.may_exceed_desire(job)

    def _begin_desire(self, job: Job, now: timedelta) -> None:
        utilization_feedback.begin(job, now, job.waiting_bits.bit_count(), self._shard.count_free_slots(job))

    def _start_next_task(self, job: Job, machine: Machine, now: timedelta, beyond_desire: bool) -> bool:
        if not machine.free.holds(job.task_resources) or not (beyond_desire or self._below_desire(job)):
            return False
        waiting = job.waiting_bits
        if not waiting or (job.failing and job.placements) or not self._rules.zone_allowed(job, machine.zone, 1):
            return False
        if self._order.yields_to_gang(job):
            return False
        if not self._shard.tasks_within_quota(job):
            self._rules.record_shortfall(job, waiting.bit_count())
            return False
        index = lowest_bit(waiting)
        log.debug(
            "event=task_placed task=%s/%d machine=%s waited=%.1f",
            job.ref,
            index,
            machine.name,
            job.waited(index, now).total_seconds(),
        )
        self._shard.place(job, index, self._shard.next_attempt(), machine, now, Phase.RESERVED)
        return True
