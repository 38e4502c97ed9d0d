"""One shard: its machines, and its share of the jobs.

This is the bookkeeping that safety rests on (docs/safety.md). It is deterministic: state, message and time in,
commands out. It has no sockets and no clock of its own.
"""

import logging
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from badgerroute.protocol.cloud import MachineType
from badgerroute.protocol.workers import Command, Heartbeat
from badgerroute.scheduling.events import Events
from badgerroute.scheduling.failures import FailureTracker
from badgerroute.scheduling.guidance import NEUTRAL, Guidance
from badgerroute.scheduling.heartbeat_reconciliation import HeartbeatReconciler
from badgerroute.scheduling.model import EPSILON, ZERO, Job, Machine, Phase, Placement, Resources, allows, capacity_of
from badgerroute.storage.records import JobRecord, MachineRecord

log = logging.getLogger(__name__)

ATTEMPT_BITS = 24


@dataclass(slots=True)
class Usage:
    """What a team's tasks use, everything that may be on a machine included."""

    cpus: float = 0.0
    accelerators: float = 0.0
    tasks: int = 0


class Estimates:
    """By job class, how actual run times compare to the users' estimates; corrected as runs finish."""

    def __init__(self) -> None:
        self._ratio: dict[str, tuple[float, float]] = {}  # sum of ratios, weight

    def learn(self, job_class: str, estimate: timedelta, actual: timedelta) -> None:
        """Take in a finished run."""
        if estimate <= ZERO or actual <= ZERO:
            return
        ratio = min(10.0, max(0.1, actual / estimate))
        total, weight = self._ratio.get(job_class, (1.0, 1.0))  # the estimate itself counts as one run
        self._ratio[job_class] = (total * 0.95 + ratio, weight * 0.95 + 1.0)

    def correction(self, job_class: str) -> float:
        """The factor by which a class's estimates are wrong on average."""
        total, weight = self._ratio.get(job_class, (1.0, 1.0))
        return total / weight


class Shard:
    """The books of one shard."""

    def __init__(
        self,
        number: int,
        term: int,
        allocations: Callable[[str], tuple[float, float]],
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
        self.allocations = allocations
        self.led_since = now
        self.machines: dict[str, Machine] = {}
        self.jobs: dict[str, Job] = {}
        self.usage: defaultdict[str, Usage] = defaultdict(Usage)
        self.estimates = Estimates()
        self.reconciled = False  # every member fenced or provably rid of its tasks: until then nothing is placed
        self.reserved_for_peers: dict[
            str, tuple[Resources, timedelta]
        ] = {}  # team -> of its share, what is kept for another shard
        self._failures = FailureTracker(self)
        self._reconciler = HeartbeatReconciler(self, self._failures)
        self._counter = 0
        self._fastest = 1e-6  # GB a second, of the machines ever here

    @property
    def image_fetched(self) -> Callable[[Placement, timedelta], None]:
        """Told of each image that was fetched, and how long that took."""
        return self.guidance.image_fetched

    # -- membership

    def add_machine(self, name: str, record: MachineRecord, kind: MachineType, now: timedelta) -> Machine:
        """Take in a new member."""
        machine = Machine(name, record.address, kind, record.zone, record.spot, now, capacity_of(kind))
        machine.drain_deadline = self.guidance.drain_deadline(name)
        self.machines[name] = machine
        self._fastest = max(self._fastest, kind.fetch_gb_per_s)
        return machine

    def least_fetch(self, job: Job) -> timedelta:
        """How long the job's image takes to fetch where that goes fastest."""
        return timedelta(seconds=job.spec.image_gb / self._fastest) if self.machines else ZERO

    def remove_machine(self, name: str, now: timedelta) -> None:
        """The machine and everything on it are gone, provably."""
        machine = self.machines.pop(name, None)
        if machine is not None:
            self.lose_tasks(machine, now)

    def lose_tasks(self, machine: Machine, now: timedelta) -> None:
        """Everything on the machine is provably dead."""
        for placement in list(machine.placements.values()):
            self.release(placement, now)
        machine.listed = None
        machine.exited.clear()
        machine.undecided.clear()

    # -- jobs

    def add_job(
        self,
        record: JobRecord,
        accepted: timedelta,
        window: int,
        now: timedelta,
        done: int | None = None,
        held_back: timedelta = ZERO,
    ) -> Job | None:
        """Take over a job's record, new or changed; None if none of its tasks is ours.

        `accepted` is when its times begin to count: its release, if it waited for others, for as long as `held_back`.
        `done` are its done tasks, if they are not all in the record.
        """
        ref = record.job.ref
        done = record.done() if done is None else done
        job = self.jobs.get(ref)
        owned = record.owned(self.number)
        if job is None:
            if not owned:
                return None
            spec = record.job
            need = Resources(spec.cpus, spec.accelerators, spec.memory_gb)
            # A gang that comes from another shard has waited there already.
            since = min(now, accepted) if spec.gang else now
            job = Job(ref, spec, accepted, owned, done, window, need, since, held_back=held_back)
            self.jobs[ref] = job
            return job
        fresh = owned & ~job.owned
        if fresh and not job.waiting_bits:
            job.since = now
        job.owned = owned
        job.done |= done
        job.done_here &= ~job.done
        job.failing = job.failing and not job.done  # it was done elsewhere
        if job.over:
            del self.jobs[ref]
            return None
        return job

    def set_level(self, job: Job, level: int) -> None:
        """The level at which a job is served: its own, or that of a job which needs it. It may change at any time."""
        if level == job.level:
            return
        for placement in job.placed.values():
            held = placement.machine.held
            held[job.level].take(job.need)
            held.setdefault(level, Resources()).add(job.need)
        job.level = level

    def drop_job(self, ref: str) -> None:
        """The job is over (done or cancelled): none of its tasks may start, all must go."""
        job = self.jobs.get(ref)
        if job is None:
            return
        job.owned = job.giving = job.done_here = 0
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
        self._counter += 1
        return (self.term << ATTEMPT_BITS) | self._counter

    def fits_quota(self, job: Job, tasks: int = 1) -> int:
        """How many of so many tasks the team's share still has room for."""
        cpus, accelerators = self.allocations(job.spec.team)
        if job.spec.team in self.reserved_for_peers:
            kept = self.reserved_for_peers[job.spec.team][0]
            cpus, accelerators = cpus - kept.cpus, accelerators - kept.accelerators
        used = self.usage[job.spec.team]
        fitting = Resources(cpus - used.cpus, accelerators - used.accelerators).times(
            Resources(job.need.cpus, job.need.accelerators)
        )
        return max(0, min(tasks, fitting))

    def reserve_for_peer(self, team: str, room: Resources, until: timedelta) -> None:
        """As the team's tasks end here, start nothing in so much of its share: another shard is to have it."""
        if room.cpus > EPSILON or room.accelerators > EPSILON:
            self.reserved_for_peers[team] = (room, until)
        else:
            self.reserved_for_peers.pop(team, None)

    def expire_reservations(self, now: timedelta) -> None:
        """Let go of share that was kept for other shards and not called for."""
        for team in [team for team, (_, until) in self.reserved_for_peers.items() if until < now]:
            del self.reserved_for_peers[team]

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
            and machine.held_for in (None, job.ref)
            and allows(job.spec, machine.kind.name, machine.zone, machine.spot)
        )

    def place(self, job: Job, index: int, attempt: int, machine: Machine, now: timedelta, phase: Phase) -> Placement:
        """Put an attempt of a task on a machine's books."""
        placement = Placement(job, index, attempt, machine, phase, now)
        if phase is Phase.RESERVED:
            self.guidance.task_placed(job, now - job.requeued.get(index, job.accepted), now)
        machine.placements[placement.key] = placement
        machine.free.take(job.need)
        machine.held.setdefault(job.level, Resources()).add(job.need)
        machine.idle_since = None
        job.place(placement)
        used = self.usage[job.spec.team]
        used.cpus += job.need.cpus
        used.accelerators += job.need.accelerators
        used.tasks += 1
        return placement

    def forget(self, placement: Placement) -> None:
        """Strike a placement off the books."""
        machine, job = placement.machine, placement.job
        if machine.placements.pop(placement.key, None) is None:
            return
        machine.free.add(job.need)
        machine.held[job.level].take(job.need)
        machine.leaving -= placement.stopping
        machine.forget_image(job.spec.image)
        job.unplace(placement.index)
        used = self.usage[job.spec.team]
        used.tasks -= 1
        if used.tasks:
            used.cpus -= job.need.cpus
            used.accelerators -= job.need.accelerators
        else:
            used.cpus = used.accelerators = 0.0  # no rounding errors left behind
        if not machine.placements:
            machine.free = capacity_of(machine.kind)
            machine.held.clear()
        if not job.placed:
            job.gang_attempt = None
            if job.over:
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
            placement.machine.leaving += not placement.stopping
            placement.grace = grace

    # -- messages from machines

    def on_heartbeat(self, machine: Machine, heartbeat: Heartbeat, periodic: bool, now: timedelta) -> Events | None:
        """See ReportReader."""
        return self._reconciler.on_heartbeat(machine, heartbeat, periodic, now)

    def clear_failures(self, job: Job, now: timedelta) -> None:
        """See FailureJudge."""
        self._failures.clear_failures(job, now)

    # -- answers

    def commands(self, machine: Machine, now: timedelta, starts: bool) -> list[Command]:
        """What a machine is to do. Starts go out once and only in the answer to a heartbeat (`starts`)."""
        commands: list[Command] = []
        for ref, index, attempt in machine.orphans:
            commands.append(Command("halt", f"{ref}/{index}", attempt, 0.0))
        for ref, index, attempt in machine.exited:
            # Not by a direct command: carried out late, it would clear the end of a task that was started again.
            if starts and self._clearable(ref, index):
                commands.append(Command("clear", f"{ref}/{index}", attempt))
        for placement in machine.placements.values():
            if placement.grace is not None:
                if placement.stopped_at is None:
                    placement.stopped_at = now
                commands.append(
                    Command(
                        "halt",
                        f"{placement.job.ref}/{placement.index}",
                        placement.attempt,
                        placement.grace.total_seconds(),
                    )
                )
            elif starts and placement.phase is Phase.RESERVED:
                placement.phase = Phase.SENT
                machine.listed = None  # the next list matters even if it is the same
                placement.sent = (machine.incarnation, machine.sequence)
                if not placement.rejoined:
                    placement.since = now
                machine.touch_image(placement.job.spec.image, placement.job.spec.image_gb)
                commands.append(Command("start", f"{placement.job.ref}/{placement.index}", placement.attempt))
        return commands

    def _clearable(self, ref: str, index: int) -> bool:
        """A done task is cleared only once that is durable: until then the machine is the only witness."""
        job = self.jobs.get(ref)
        if job is None:
            return not self.undecided(ref)
        return not job.done_here >> index & 1

    # -- time

    def expire(self, now: timedelta, last_confirmed: timedelta, lease: timedelta, grace: timedelta) -> list[Machine]:
        """Machines whose lease is certainly over: their tasks are dead and wait again.

        `last_confirmed` is when we last knew the leadership to be ours, not the time now. Our own silence towards a
        machine ends its lease only as long as nobody else may answer it, and from `last_confirmed` on a new leader may.
        A leader that was cut off, but still within G, once took the machines that a new leader had taken over for dead,
        and started their tasks again beside it.
        """
        lost = []
        for machine in self.machines.values():
            if machine.fenced and machine.answered is not None:
                over = machine.answered + lease
            else:  # a former leader may have answered it until its own grace ran out
                over = max(self.led_since + grace, machine.answered or ZERO, machine.joined) + lease
            if last_confirmed > over and (machine.placements or not machine.fenced or machine.alive):
                self.lose_tasks(machine, now)
                machine.orphans.clear()
                machine.undecided.clear()
                machine.alive = False
                machine.dead_incarnation = machine.incarnation
                machine.fenced = True
                machine.idle_since = None
                lost.append(machine)
        return lost

    def reconcile(self) -> bool:
        """Whether every member is accounted for, so that tasks may be placed."""
        if not self.reconciled:
            # A stray's team is unknown, so what it uses can't be counted: wait until it is gone.
            self.reconciled = not self.unreconciled()
            if self.reconciled:
                log.info(
                    "event=shard_reconciled shard=%d term=%d machines=%d", self.number, self.term, len(self.machines)
                )
        return self.reconciled

    def unreconciled(self) -> list[Machine]:
        """Machines of which it is not certain what runs on them, or that run what can't be counted."""
        return [
            machine for machine in self.machines.values() if not machine.fenced or machine.orphans or machine.undecided
        ]
