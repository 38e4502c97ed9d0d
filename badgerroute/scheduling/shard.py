"""One shard's state: its members, its jobs, and which attempts of tasks may be on which machine.

This is the bookkeeping that safety rests on (docs/safety.md). It is deterministic: state, message and time in,
commands out. It has no sockets and no clock of its own.
"""

import logging
from collections import defaultdict
from collections.abc import Callable
from datetime import timedelta

from badgerroute.protocol.cloud import MachineType
from badgerroute.protocol.workers import Command, Heartbeat
from badgerroute.scheduling.command_building import build_commands
from badgerroute.scheduling.duration_estimates import DurationEstimates
from badgerroute.scheduling.events import Events
from badgerroute.scheduling.failures import FailureTracker
from badgerroute.scheduling.guidance import NEUTRAL, Guidance
from badgerroute.scheduling.heartbeat_reconciliation import HeartbeatReconciler
from badgerroute.scheduling.lease_expiry import expire_leases
from badgerroute.scheduling.model import ZERO, Job, Machine, Placement
from badgerroute.scheduling.placement_constraints import allows
from badgerroute.scheduling.quota_ledger import AllocationOf, QuotaLedger, Usage
from badgerroute.scheduling.resources import Resources, capacity_of, need_of
from badgerroute.scheduling.task_phase import Phase
from badgerroute.storage.records import JobRecord, MachineRecord

log = logging.getLogger(__name__)
ATTEMPT_BITS = 24  # of an attempt's number, for the counter; the term stands above them


class Shard:
    """The members, jobs and placements of one shard, as its leader knows them.

    Invariant: a task counts as on a machine (a placement exists) from the decision to start it until a message proves
    that the machine is rid of it. `reconciled` turns true once every member is accounted for; nothing is placed before.
    """

    def __init__(
        self,
        number: int,
        term: int,
        allocation_of: AllocationOf,
        now: timedelta,
        lease: timedelta = timedelta(seconds=10),
        undecided: Callable[[str], bool] = lambda ref: False,
        guidance: Guidance = NEUTRAL,
    ) -> None:
        self.number, self.term = number, term
        self.lease = lease  # of the workers
        self.guidance = guidance
        self.undecided = undecided  # of jobs that are not here: whether they may have been released all the same
        self.fence = term  # machines must have seen at least this before their lists are the last word
        self.led_since = now
        self.machines: dict[str, Machine] = {}
        self.jobs: dict[str, Job] = {}
        self.quota = QuotaLedger(allocation_of)
        self.estimates = DurationEstimates()
        self.reconciled = False  # every member fenced or provably rid of its tasks: until then nothing is placed
        self._failures = FailureTracker(self)
        self._reconciler = HeartbeatReconciler(self, self._failures)
        self._attempt_counter = 0
        self._max_fetch_gb_per_s = 1e-6  # GB a second, of the machines ever here

    @property
    def usage(self) -> defaultdict[str, Usage]:
        """What each team's tasks use."""
        return self.quota.usage

    @property
    def image_fetched(self) -> Callable[[Placement, timedelta], None]:
        """Told of each image that was fetched, and how long that took."""
        return self.guidance.image_fetched

    # -- membership

    def add_machine(self, name: str, record: MachineRecord, machine_type: MachineType, now: timedelta) -> Machine:
        """Take in a new member."""
        machine = Machine(name, record.address, machine_type, record.zone, record.spot, now, capacity_of(machine_type))
        machine.drain_deadline = self.guidance.drain_deadline(name)
        self.machines[name] = machine
        self._max_fetch_gb_per_s = max(self._max_fetch_gb_per_s, machine_type.fetch_gb_per_s)
        return machine

    def least_fetch(self, job: Job) -> timedelta:
        """How long the job's image takes to fetch where that goes fastest."""
        return timedelta(seconds=job.spec.image_gb / self._max_fetch_gb_per_s) if self.machines else ZERO

    def remove_machine(self, name: str, now: timedelta) -> None:
        """The machine and everything on it are gone, provably."""
        machine = self.machines.pop(name, None)
        if machine is not None:
            self.lose_tasks(machine, now)

    def lose_tasks(self, machine: Machine, now: timedelta) -> None:
        """Everything on the machine is provably dead."""
        for placement in list(machine.placements.values()):
            self.release(placement, now)
        machine.last_task_list = None
        machine.exited.clear()
        machine.undecided.clear()

    # -- jobs

    def add_job(
        self,
        record: JobRecord,
        accepted: timedelta,
        start_window: int,
        now: timedelta,
        done: int | None = None,
        dependency_wait: timedelta = ZERO,
    ) -> Job | None:
        """Take in a job's record, new or changed; None if none of its tasks is ours.

        `accepted` is when its times begin to count: its release, if it waited for others, for as long as `held_back`.
        `done` are its done tasks, if they are not all in the record.
        """
        done = record.done() if done is None else done
        owned = record.owned(self.number)
        job = self.jobs.get(record.job.ref)
        if job is not None:
            return self._update_job(job, owned, done, now)
        if not owned:
            return None
        spec = record.job
        # A gang that comes from another shard has waited there already.
        since = min(now, accepted) if spec.gang else now
        job = Job(
            spec.ref, spec, accepted, owned, done, start_window, need_of(spec), since, dependency_wait=dependency_wait
        )
        self.jobs[spec.ref] = job
        return job

    def _update_job(self, job: Job, owned: int, done: int, now: timedelta) -> Job | None:
        """Take in changed bit sets of owned and done tasks; None if nothing of the job is left here."""
        if owned & ~job.owned and not job.waiting_bits:
            job.since = now
        job.owned = owned
        job.done |= done
        job.done_here &= ~job.done
        job.failing = job.failing and not job.done  # it was done elsewhere
        if job.can_be_dropped:
            del self.jobs[job.ref]
            return None
        return job

    def set_level(self, job: Job, level: int) -> None:
        """The level at which a job is served: its own, or that of a job which needs it. It may change at any time."""
        if level == job.level:
            return
        for placement in job.placed.values():
            allocated = placement.machine.allocated_by_level
            allocated[job.level].take(job.need)
            allocated.setdefault(level, Resources()).add(job.need)
        job.level = level

    def drop_job(self, ref: str) -> None:
        """The job is over (done or cancelled): none of its tasks may start, all must go."""
        job = self.jobs.get(ref)
        if job is None:
            return
        job.owned = job.in_transfer = job.done_here = 0
        for placement in list(job.placed.values()):
            if placement.phase is Phase.RESERVED:
                self.forget(placement)
            else:
                self.stop(placement, ZERO)
        if not job.placed:
            self.jobs.pop(ref, None)

    # -- placements

    def next_attempt(self) -> int:
        """Term and counter together, so that no two leaders ever produce the same number."""
        self._attempt_counter += 1
        return (self.term << ATTEMPT_BITS) | self._attempt_counter

    def fits_quota(self, job: Job, tasks: int = 1) -> int:
        """How many of so many tasks fit the team's quota."""
        return self.quota.fitting_tasks(job, tasks)

    def reserve_for_peer(self, team: str, resources: Resources, until: timedelta) -> None:
        """Keep so much of a team's quota for another shard, as its tasks end here."""
        self.quota.reserve_for_peer(team, resources, until)

    def expire_reservations(self, now: timedelta) -> None:
        """Let go of quota that was kept for other shards and not called for."""
        self.quota.expire_reservations(now)

    def short_of_quota(self, job: Job) -> bool:
        """Whether a job waits for want of quota: a gang for the whole of it, an array for that of one task."""
        needed = job.spec.tasks if job.gang else 1
        return job.startable > 0 and self.fits_quota(job, needed) < needed

    def room_for(self, job: Job) -> int:
        """How many of a job's tasks the free room of machines that it may use would hold."""
        return sum(
            machine.free.times(job.need)
            for machine in self.machines.values()
            if machine.usable
            and machine.reserved_for in (None, job.ref)
            and allows(job.spec, machine.kind.name, machine.zone, machine.spot)
        )

    def place(self, job: Job, index: int, attempt: int, machine: Machine, now: timedelta, phase: Phase) -> Placement:
        """Record an attempt of a task as placed on a machine."""
        placement = Placement(job, index, attempt, machine, phase, now)
        if phase is Phase.RESERVED:
            self.guidance.task_placed(job, now - job.requeued.get(index, job.accepted), now)
        machine.placements[placement.key] = placement
        machine.free.take(job.need)
        machine.allocated_by_level.setdefault(job.level, Resources()).add(job.need)
        machine.idle_since = None
        job.place(placement)
        self.quota.add(job)
        return placement

    def forget(self, placement: Placement) -> None:
        """Remove a placement from its machine and its job."""
        machine, job = placement.machine, placement.job
        if machine.placements.pop(placement.key, None) is None:
            return
        machine.free.add(job.need)
        machine.allocated_by_level[job.level].take(job.need)
        machine.stopping_count -= placement.stopping
        machine.drop_unfetched_image(job.spec.image)
        job.unplace(placement.index)
        self.quota.remove(job)
        if not machine.placements:
            machine.free = capacity_of(machine.kind)
            machine.allocated_by_level.clear()
        if not job.placed:
            job.gang_attempt = None
            if job.can_be_dropped:
                self.jobs.pop(job.ref, None)

    def release(self, placement: Placement, now: timedelta) -> None:
        """The task is provably not on the machine any more; unless it is done, it waits again."""
        self.forget(placement)
        job = placement.job
        if not (job.done | job.done_here) >> placement.index & 1:
            job.requeued[placement.index] = now
        if job.spec.gang and job.placed:
            self.stop_gang(job, ZERO)

    def stop_gang(self, job: Job, grace: timedelta) -> None:
        """All tasks of an attempt go together: without one of them the others run for nothing."""
        for placement in list(job.placed.values()):
            self.stop(placement, grace)

    def stop(self, placement: Placement, grace: timedelta) -> None:
        """Have a task stopped with so much time to save; one that was not sent yet is struck off."""
        if placement.phase is Phase.RESERVED:
            self.forget(placement)
        elif placement.grace is None or grace < placement.grace:
            placement.machine.stopping_count += not placement.stopping
            placement.grace = grace

    # -- messages from machines

    def on_heartbeat(self, machine: Machine, heartbeat: Heartbeat, periodic: bool, now: timedelta) -> Events | None:
        """Take in a machine's task list; None if nothing newer was learned from it. `periodic`: it is a heartbeat."""
        return self._reconciler.on_heartbeat(machine, heartbeat, periodic, now)

    def clear_failures(self, job: Job, now: timedelta) -> None:
        """Let a job go back to machines on which it failed long ago."""
        self._failures.clear_failures(job, now)

    # -- commands

    def commands(self, machine: Machine, now: timedelta, starts: bool) -> list[Command]:
        """What a machine is to do. Starts go out once and only in the answer to a heartbeat (`starts`)."""
        return build_commands(machine, now, starts, self._clearable)

    def _clearable(self, ref: str, index: int) -> bool:
        """A done task is cleared only once that is durable: until then the machine is the only witness."""
        job = self.jobs.get(ref)
        if job is None:
            return not self.undecided(ref)
        return not job.done_here >> index & 1

    # -- time

    def expire(self, now: timedelta, last_confirmed: timedelta, lease: timedelta, grace: timedelta) -> list[Machine]:
        """Machines whose lease is certainly over by now: their tasks are dead and wait again. See `expire_leases`."""
        return expire_leases(self, now, last_confirmed, lease, grace)

    def reconcile(self) -> bool:
        """Whether every member is accounted for, so that tasks may be placed."""
        if not self.reconciled:
            # An orphan's team is unknown, so what it uses can't be counted: wait until it is gone.
            self.reconciled = not self.unreconciled_machines()
            if self.reconciled:
                machines = len(self.machines)
                log.info("event=shard_reconciled shard=%d term=%d machines=%d", self.number, self.term, machines)
        return self.reconciled

    def unreconciled_machines(self) -> list[Machine]:
        """Machines of which it is not certain what runs on them, or that run what can't be counted."""
        machines = self.machines.values()
        return [machine for machine in machines if not machine.fenced or machine.orphans or machine.undecided]
