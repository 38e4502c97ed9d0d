"""The state of one shard: its machines, its jobs, and which attempts of tasks may be on which machine.

Safety depends on this state (docs/safety.md). The code is deterministic: messages and the time are arguments, commands
are return values. It uses no sockets and no clock.
"""

import logging
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from datetime import timedelta

from badgerroute.protocol.cloud import MachineType
from badgerroute.protocol.workers import Command, Heartbeat
from badgerroute.scheduling.command_building import CommandBuilder
from badgerroute.scheduling.duration_estimates import DurationEstimates
from badgerroute.scheduling.events import Events
from badgerroute.scheduling.failures import FailureTracker
from badgerroute.scheduling.guidance import NEUTRAL, Guidance
from badgerroute.scheduling.heartbeat_reconciliation import HeartbeatReconciler
from badgerroute.scheduling.lease_expiry import expire_leases
from badgerroute.scheduling.model import ZERO, Job, Machine, Placement
from badgerroute.scheduling.placement_constraints import allows, gang_fits
from badgerroute.scheduling.quota_ledger import AllocationOf, QuotaLedger, Usage
from badgerroute.scheduling.resources import Resources, capacity_of, need_of
from badgerroute.scheduling.task_phase import Phase
from badgerroute.storage.records import JobRecord, MachineRecord

log = logging.getLogger(__name__)
ATTEMPT_BITS = 24  # an attempt number is a counter in this many low bits, and the leader's term above them


class Shard:
    """The machines, jobs and placements of one shard, as known to its leader.

    Invariant: a placement exists from the decision to start a task on a machine until it is proven that the machine no
    longer runs it. No task is placed until `reconciled` is true, since until then it is not known what every machine
    runs.
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
        self.lease = lease  # duration of the workers' leases
        self.guidance = guidance
        # Takes a job's ID and returns whether the job, which is not in `jobs`, may have been released and so may run.
        self.undecided = undecided
        self.required_fencing_token = term  # a machine is fenced once it has seen at least this token
        self.led_since = now
        self.machines: dict[str, Machine] = {}
        self.jobs: dict[str, Job] = {}
        self.quota = QuotaLedger(allocation_of)
        self.estimates = DurationEstimates()
        self.reconciled = False  # whether it is known which tasks run on every machine
        self._failures = FailureTracker(self)
        self._reconciler = HeartbeatReconciler(self, self._failures)
        self._attempt_counter = 0
        self._max_fetch_gb_per_s = 1e-6  # the highest rate of all machines that ever belonged to this shard

    @property
    def usage(self) -> defaultdict[str, Usage]:
        """The resources that the tasks of each team use in this shard."""
        return self.quota.usage

    @property
    def image_fetched(self) -> Callable[[Placement, timedelta], None]:
        """The callback for a fetched image. It takes a placement that needed the image, and the fetch's duration."""
        return self.guidance.image_fetched

    # -- machines

    def add_machine(self, name: str, record: MachineRecord, machine_type: MachineType, now: timedelta) -> Machine:
        """Add a machine to the shard."""
        machine = Machine(name, record.address, machine_type, record.zone, record.spot, now, capacity_of(machine_type))
        machine.drain_deadline = self.guidance.drain_deadline(name)
        self.machines[name] = machine
        self._max_fetch_gb_per_s = max(self._max_fetch_gb_per_s, machine_type.fetch_gb_per_s)
        return machine

    def min_fetch_time(self, job: Job) -> timedelta:
        """How long fetching the job's image takes at the highest rate of any machine that this shard ever had."""
        return timedelta(seconds=job.spec.image_gb / self._max_fetch_gb_per_s) if self.machines else ZERO

    def remove_machine(self, name: str, now: timedelta) -> None:
        """Remove a machine that is proven not to run any task."""
        machine = self.machines.pop(name, None)
        if machine is not None:
            self.lose_tasks(machine, now)

    def lose_tasks(self, machine: Machine, now: timedelta) -> None:
        """Release all tasks of a machine, which are proven not to run any more."""
        for placement in list(machine.placements.values()):
            self.release(placement, now)
        machine.last_task_list = None
        machine.exited.clear()
        machine.undecided.clear()
        machine.count_unplaced()

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
        """Add a job or apply its changed record. Return None if none of its tasks belongs to this shard.

        `accepted` is when its waiting time begins. For a job that waited for upstream jobs, this is its release, and
        `dependency_wait` is how long it waited for them. `done` is the bit set of its done tasks; None means that
        the record lists all of them.
        """
        done = record.stored_done_tasks() if done is None else done
        owned = record.tasks_owned_by(self.number)
        job = self.jobs.get(record.job.ref)
        if job is not None:
            return self._update_job(job, owned, done, now)
        if not owned:
            return None
        spec = record.job
        # A gang that was transferred from another shard has already waited there.
        since = min(now, accepted) if spec.gang else now
        job = Job(
            spec.ref, spec, accepted, owned, done, start_window, need_of(spec), since, dependency_wait=dependency_wait
        )
        self.jobs[spec.ref] = job
        return job

    def _update_job(self, job: Job, owned: int, done: int, now: timedelta) -> Job | None:
        """Apply changed bit sets of owned and done tasks. Return None if the shard no longer needs the job."""
        if owned & ~job.owned and not job.waiting_bits:
            job.waiting_since = now
        job.owned = owned
        job.done |= done
        job.done_here &= ~job.done
        job.failing = job.failing and not job.done  # a task of it was done, so the job itself is not faulty
        if job.can_be_dropped:
            del self.jobs[job.ref]
            return None
        return job

    def set_level(self, job: Job, level: int) -> None:
        """Set the level at which a job is scheduled: its own, or one inherited from a downstream job."""
        if level == job.level:
            return
        for placement in job.placements.values():
            allocated = placement.machine.allocated_by_level
            allocated[job.level].subtract(job.task_resources)
            allocated.setdefault(level, Resources()).add(job.task_resources)
        job.level = level

    def drop_job(self, ref: str) -> None:
        """Remove a job that is done or cancelled: its tasks are not started, and those that were started are halted."""
        job = self.jobs.get(ref)
        if job is None:
            return
        job.owned = job.in_transfer = job.done_here = 0
        for placement in list(job.placements.values()):
            if placement.phase is Phase.RESERVED:
                self.remove_placement(placement)
            else:
                self.stop(placement, ZERO)
        if not job.placements:
            self.jobs.pop(ref, None)

    # -- placements

    def next_attempt(self) -> int:
        """Return a new attempt number. It contains the term, so no two leaders ever produce the same number."""
        self._attempt_counter += 1
        return (self.term << ATTEMPT_BITS) | self._attempt_counter

    def tasks_within_quota(self, job: Job, tasks: int = 1) -> int:
        """How many of `tasks` tasks of a job fit in its team's quota in this shard."""
        return self.quota.fitting_tasks(job, tasks)

    def reserve_for_peer(self, team: str, resources: Resources, until: timedelta) -> None:
        """Reserve a team's quota for another shard: quota that ending tasks free is not used again in this shard."""
        self.quota.reserve_for_peer(team, resources, until)

    def expire_reservations(self, now: timedelta) -> None:
        """Release quota that was reserved for other shards and not requested in time."""
        self.quota.expire_reservations(now)

    def waits_for_quota(self, job: Job) -> bool:
        """Whether the quota is too small for a job to start: for all tasks of a gang, or for one task of an array."""
        needed = job.spec.tasks if job.gang else 1
        return job.startable > 0 and self.tasks_within_quota(job, needed) < needed

    def count_free_slots(self, job: Job) -> int:
        """How many tasks of a job fit in the free capacity of the machines that it may use."""
        return sum(machine.free.count_fitting(job.task_resources) for machine in self._machines_open_to(job))

    def has_machine_for(self, job: Job) -> bool:
        """Whether a task of a job could ever run on a machine of this shard, whatever runs there now."""
        return any(
            allows(job.spec, machine.machine_type.name, machine.zone, machine.spot)
            and capacity_of(machine.machine_type).holds(job.task_resources)
            for machine in self.machines.values()
        )

    def has_room_for_gang(self, job: Job) -> bool:
        """Whether all tasks of a gang fit at once on the machines that it may use, if lower levels gave way to it."""
        slots: Counter[str] = Counter()
        for machine in self._machines_open_to(job):
            slots[machine.zone] += machine.reclaimable(job.level).count_fitting(job.task_resources)
        return gang_fits(job.spec, slots)

    def _machines_open_to(self, job: Job) -> Iterator[Machine]:
        """The machines on which tasks of a job may be started as far as type, zone and reservations are concerned."""
        return (
            machine
            for machine in self.machines.values()
            if machine.usable
            and machine.reserved_for in (None, job.ref)
            and allows(job.spec, machine.machine_type.name, machine.zone, machine.spot)
        )

    def place(self, job: Job, index: int, attempt: int, machine: Machine, now: timedelta, phase: Phase) -> Placement:
        """Record an attempt of a task as placed on a machine."""
        placement = Placement(job, index, attempt, machine, phase, now)
        if phase is Phase.RESERVED:
            self.guidance.task_placed(job, now - job.requeued.get(index, job.accepted), now)
        machine.placements[placement.key] = placement
        machine.free.subtract(job.task_resources)
        machine.allocated_by_level.setdefault(job.level, Resources()).add(job.task_resources)
        machine.idle_since = None
        job.place(placement)
        self.quota.add(job)
        return placement

    def remove_placement(self, placement: Placement) -> None:
        """Remove a placement from its machine and its job."""
        machine, job = placement.machine, placement.job
        if machine.placements.pop(placement.key, None) is None:
            return
        machine.free.add(job.task_resources)
        machine.allocated_by_level[job.level].subtract(job.task_resources)
        machine.stopping_count -= placement.stopping
        machine.drop_unfetched_image(job.spec.image)
        job.unplace(placement.index)
        self.quota.remove(job)
        if not machine.placements:
            machine.free_everything()
        if not job.placements:
            job.gang_attempt = None
            if job.can_be_dropped:
                self.jobs.pop(job.ref, None)

    def release(self, placement: Placement, now: timedelta) -> None:
        """Remove the placement of a task that is proven not to run any more. Unless it is done, it waits again.

        If the task belongs to a gang, the other tasks of the gang are stopped.
        """
        self.remove_placement(placement)
        job = placement.job
        if not (job.done | job.done_here) >> placement.index & 1:
            job.requeued[placement.index] = now
        if job.spec.gang and job.placements:
            self.stop_gang(job, ZERO)

    def stop_gang(self, job: Job, grace: timedelta) -> None:
        """Stop all placed tasks of a gang: without one of them, the others can't make progress."""
        for placement in list(job.placements.values()):
            self.stop(placement, grace)

    def stop(self, placement: Placement, grace: timedelta) -> None:
        """Stop a task with a grace period to save its work; remove the placement if its start was not sent yet."""
        if placement.phase is Phase.RESERVED:
            self.remove_placement(placement)
        elif placement.grace is None or grace < placement.grace:
            placement.machine.stopping_count += not placement.stopping
            placement.grace = grace

    # -- messages from machines

    def on_heartbeat(self, machine: Machine, heartbeat: Heartbeat, periodic: bool, now: timedelta) -> Events | None:
        """Process a machine's task list; see `HeartbeatReconciler.on_heartbeat`."""
        return self._reconciler.on_heartbeat(machine, heartbeat, periodic, now)

    def clear_failures(self, job: Job, now: timedelta) -> None:
        """Let a job use the machines again on which it failed, unless it failed recently; see `FailureTracker`."""
        self._failures.clear_failures(job, now)

    # -- commands

    def commands(self, machine: Machine, now: timedelta, starts: bool) -> list[Command]:
        """Return the commands for a machine, at most as many as one message holds; see `CommandBuilder`.

        `starts` is set for a heartbeat response. It is not set for a direct command, which must contain no starts.
        """
        builder = self.begin_commands(machine, now, clears=starts)
        if starts:
            builder.add_starts()
        return builder.commands

    def begin_commands(self, machine: Machine, now: timedelta, clears: bool) -> CommandBuilder:
        """Begin the commands of a heartbeat response with stops and, if `clears` is set, with clears.

        The clears make room in the machine's task list for the starts that may follow.
        """
        commands = CommandBuilder(machine, now)
        commands.add_new_stops()
        if clears:
            commands.add_clears(self._clearable)
        commands.add_repeated_stops()
        return commands

    def _clearable(self, ref: str, index: int) -> bool:
        """Whether an exited task may be cleared from a machine's task list.

        Until a done task is recorded as done in the key-value store, the list may be the only evidence that it is done.
        """
        job = self.jobs.get(ref)
        if job is None:
            return not self.undecided(ref)
        return not job.done_here >> index & 1

    # -- time

    def expire_leases(
        self, now: timedelta, last_confirmed: timedelta, lease: timedelta, grace: timedelta
    ) -> list[Machine]:
        """Release the tasks of machines whose lease has certainly expired. Return the machines; see `lease_expiry`."""
        return expire_leases(self, now, last_confirmed, lease, grace)

    def reconcile(self) -> bool:
        """Update and return `reconciled`: whether it is known what every machine runs, so that tasks may be placed."""
        if not self.reconciled:
            # An orphaned task's team is unknown, so the quota it uses can't be counted: wait until it no longer runs.
            self.reconciled = not self.unreconciled_machines()
            if self.reconciled:
                machines = len(self.machines)
                log.info("event=shard_reconciled shard=%d term=%d machines=%d", self.number, self.term, machines)
        return self.reconciled

    def unreconciled_machines(self) -> list[Machine]:
        """Machines whose tasks are not known for certain, or that run tasks which can't be counted towards a quota."""
        machines = self.machines.values()
        return [machine for machine in machines if not machine.fenced or machine.orphans or machine.undecided]
