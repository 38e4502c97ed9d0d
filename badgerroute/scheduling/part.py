"""One part: its machines, its share of the jobs, and what their reports prove.

This is the bookkeeping that safety rests on (docs/safety.md). It is deterministic: state, message and time in,
commands out. It has no sockets and no clock of its own.
"""

import logging
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from badgerroute.protocol.cloud import MachineType
from badgerroute.protocol.workers import Command, Report, TaskReport, split_task
from badgerroute.scheduling.model import EPSILON, ZERO, Job, Machine, Phase, Placement, Room, allows, capacity_of
from badgerroute.storage.records import JobRecord, MachineRecord

log = logging.getLogger("badgerroute.part")

PHASES = {
    "fetching": Phase.FETCHING,
    "waiting": Phase.WAITING,
    "running": Phase.RUNNING,
    "flushing": Phase.SAVING,
}
WITH_IMAGE = frozenset({"done", "alone"})  # ends of tasks that had got their image
ATTEMPT_BITS = 24
SICK_JOBS = 2  # so many different jobs failing on a machine make it suspect
SICK_TRIES = 3
AVOIDED = timedelta(seconds=5)
FORGIVEN = timedelta(seconds=30)  # after so long a job may go back to a machine on which it failed
FAILING_AFTER_MACHINES = 3  # a job that fails on so many machines, and is done on none, is taken to be at fault itself
UNTAKEN = 2  # one answer may be lost on its way
MAX_REJOINS = 12  # a gang one of whose machines has no image by then is placed anew
BACKOFF = timedelta(seconds=2)
MAX_BACKOFF = timedelta(seconds=60)


@dataclass(slots=True)
class Usage:
    """What a team's tasks use, everything that may be on a machine included."""

    cpus: float = 0.0
    accelerators: float = 0.0
    tasks: int = 0


class Estimates:
    """By job class, how actual run times compare to the owners' estimates; corrected as runs finish."""

    def __init__(self) -> None:
        self._ratio: dict[str, tuple[float, float]] = {}  # sum of ratios, weight

    def learn(self, job_class: str, estimate: timedelta, actual: timedelta) -> None:
        if estimate <= ZERO or actual <= ZERO:
            return
        ratio = min(10.0, max(0.1, actual / estimate))
        total, weight = self._ratio.get(job_class, (1.0, 1.0))  # the estimate itself counts as one run
        self._ratio[job_class] = (total * 0.95 + ratio, weight * 0.95 + 1.0)

    def correction(self, job_class: str) -> float:
        total, weight = self._ratio.get(job_class, (1.0, 1.0))
        return total / weight


@dataclass(slots=True)
class Events:
    """What a message changed that others must hear of."""

    progressed: set[str] = field(default_factory=set)  # jobs with tasks newly done
    freed: bool = False
    quarantined: list[Machine] = field(default_factory=list)


class Part:
    def __init__(
        self,
        number: int,
        term: int,
        shares: Callable[[str], tuple[float, float]],
        now: timedelta,
        lease: timedelta = timedelta(seconds=10),
        undecided: Callable[[str], bool] = lambda ref: False,
    ) -> None:
        self.number, self.term = number, term
        self._lease = lease  # of the workers
        self._undecided = undecided  # of jobs that are not here: whether they may have been released all the same
        self.fence = term  # machines must have seen at least this before their lists are the last word
        self.shares = shares
        self.claimed_at = now
        self.machines: dict[str, Machine] = {}
        self.jobs: dict[str, Job] = {}
        self.usage: defaultdict[str, Usage] = defaultdict(Usage)
        self.estimates = Estimates()
        self.settled = False  # every member fenced or provably rid of its tasks: until then nothing is placed
        self.reserved_for_siblings: dict[
            str, tuple[Room, timedelta]
        ] = {}  # team -> of its share, what is kept for another part
        self._counter = 0
        self._fastest = 1e-6  # GB a second, of the machines ever here

    # -- membership

    def add_machine(self, name: str, record: MachineRecord, kind: MachineType, now: timedelta) -> Machine:
        machine = Machine(name, record.address, kind, record.zone, record.spot, now, capacity_of(kind))
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
            need = Room(spec.cpus, spec.accelerators, spec.memory_gb)
            # A gang that comes from another part has waited there already.
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
            held.setdefault(level, Room()).add(job.need)
        job.level = level

    def drop_job(self, ref: str) -> None:
        """The job is over (done or cancelled): none of its tasks may start, all must go."""
        job = self.jobs.get(ref)
        if job is None:
            return
        job.owned = job.giving = job.done_here = 0
        for placement in list(job.placed.values()):
            if placement.phase is Phase.RESERVED:
                self._forget(placement)
            else:
                self.stop(placement, ZERO)
        if not job.placed:
            self.jobs.pop(ref, None)

    # -- placements

    def next_attempt(self) -> int:
        """Term and counter together, so that no two owners ever produce the same number."""
        self._counter += 1
        return (self.term << ATTEMPT_BITS) | self._counter

    def fits_share(self, job: Job, tasks: int = 1) -> int:
        """How many of so many tasks the team's share still has room for."""
        cpus, accelerators = self.shares(job.spec.team)
        if job.spec.team in self.reserved_for_siblings:
            kept = self.reserved_for_siblings[job.spec.team][0]
            cpus, accelerators = cpus - kept.cpus, accelerators - kept.accelerators
        used = self.usage[job.spec.team]
        fitting = Room(cpus - used.cpus, accelerators - used.accelerators).times(
            Room(job.need.cpus, job.need.accelerators)
        )
        return max(0, min(tasks, fitting))

    def reserve_for_sibling(self, team: str, room: Room, until: timedelta) -> None:
        """As the team's tasks end here, start nothing in so much of its share: another part is to have it."""
        if room.cpus > EPSILON or room.accelerators > EPSILON:
            self.reserved_for_siblings[team] = (room, until)
        else:
            self.reserved_for_siblings.pop(team, None)

    def expire_reservations(self, now: timedelta) -> None:
        for team in [team for team, (_, until) in self.reserved_for_siblings.items() if until < now]:
            del self.reserved_for_siblings[team]

    def short_of_share(self, job: Job) -> bool:
        """Whether a job waits for want of a share: a gang for the whole of it, an array for that of one task."""
        needed = job.spec.tasks if job.gang else 1
        return job.startable > 0 and self.fits_share(job, needed) < needed

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
        placement = Placement(job, index, attempt, machine, phase, now)
        machine.placements[placement.key] = placement
        machine.free.take(job.need)
        machine.held.setdefault(job.level, Room()).add(job.need)
        machine.idle_since = None
        job.place(placement)
        used = self.usage[job.spec.team]
        used.cpus += job.need.cpus
        used.accelerators += job.need.accelerators
        used.tasks += 1
        return placement

    def _forget(self, placement: Placement) -> None:
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
        self._forget(placement)
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
        if placement.phase is Phase.RESERVED:
            self._forget(placement)
        elif placement.grace is None or grace < placement.grace:
            placement.machine.leaving += not placement.stopping
            placement.grace = grace

    # -- messages from machines

    def on_report(self, machine: Machine, report: Report, checkin: bool, now: timedelta) -> Events | None:
        """Take in a machine's task list. `checkin`: a real report; the answer to `/do` or `/status` is not one.

        None: the message is older than what is known already, and must change nothing.
        """
        if report.session <= machine.dead_session or not report.newer_than(machine.session, machine.seq):
            return None
        events = Events()
        if not checkin:
            machine.unreachable, machine.untaken = False, 0  # it answered a command, so it hears us
        if report.session > machine.session and machine.session:
            # The lease expired in between: everything that was on the machine is dead.
            self.lose_tasks(machine, now)
            events.freed = True
            if checkin and machine.answered is not None and now - machine.answered < self._lease:
                self._mark_unreachable(machine)  # its lease ran out although we answered: it does not hear us
        # After a silence, of the machine's or ours, there is no telling when what it says came about.
        prompt = machine.heard is not None and now - machine.heard <= self._lease / 3
        machine.session, machine.seq = report.session, report.seq
        machine.token_seen = max(machine.token_seen, report.token)
        machine.heard = now
        if checkin:
            machine.alive = True
        notice = None if report.notice_s is None else now + timedelta(seconds=max(0.0, report.notice_s))
        machine.notice = notice
        if report.token < self.fence and not machine.pristine:
            # Another owner's commands may still reach it: the list is true, but it is not the last word.
            machine.fenced = False
            return events
        if machine.fenced and not machine.strays and not machine.undecided and machine.listed == report.tasks:
            return events  # most reports say what the one before said
        machine.fenced = True
        machine.listed = report.tasks
        machine.exited.clear()
        machine.strays.clear()
        machine.undecided.clear()
        present: list[tuple[str, int, TaskReport]] = []
        for task in report.tasks:
            ref, index = split_task(task.task)
            if task.state == "exited":
                # Ends come first: a refused start must not make a task look free that an older attempt runs.
                self._exited(machine, ref, index, task, events, now, report, checkin, prompt)
            else:
                present.append((ref, index, task))
        seen: set[tuple[str, int]] = set()
        for ref, index, task in present:
            seen.add((ref, index))
            self._present(machine, ref, index, task, now, prompt)
        untaken = False
        for key, placement in list(machine.placements.items()):
            if key in seen or placement.phase is Phase.RESERVED:
                continue
            if placement.phase is Phase.SENT:
                if not self._settles(placement, report, checkin):
                    machine.listed = None
                    continue
                untaken = True
            self.release(placement, now)
            events.freed = True
        if untaken:
            machine.untaken += 1
            if machine.untaken >= UNTAKEN:
                self._mark_unreachable(machine)
        elif machine.placements:
            machine.untaken = 0
        if not machine.placements:
            if machine.idle_since is None:
                machine.idle_since = now
        return events

    def _mark_unreachable(self, machine: Machine) -> None:
        """Nothing more is placed there, or it would be started, found missing and started again for ever."""
        if not machine.unreachable:
            log.info("event=machine_deaf machine=%s part=%d", machine.name, self.number)
        machine.unreachable = True
        for placement in list(machine.placements.values()):
            if placement.phase is Phase.RESERVED:
                self._forget(placement)

    @staticmethod
    def _settles(placement: Placement, report: Report, checkin: bool) -> bool:
        """Whether a start's absence from this message proves that it was not and will not be executed.

        A worker keeps one report in flight and drops late answers, so only a later *report* proves it.
        """
        return checkin and placement.sent is not None and report.newer_than(*placement.sent)

    def _present(self, machine: Machine, ref: str, index: int, task: TaskReport, now: timedelta, prompt: bool) -> None:
        phase = PHASES[task.state]
        placement = machine.placements.get((ref, index))
        if placement is None:
            placement = self._adopt(machine, ref, index, task, phase, now)
            if placement is None:
                return
        elif placement.attempt != task.attempt:
            if placement.phase is Phase.SENT:
                return  # the new attempt is refused with `in_use`; that exit will tell
            placement.attempt = task.attempt
        if phase is Phase.RUNNING and placement.running_since is None:
            placement.running_since = now
            placement.timed = placement.timed and prompt
            log.debug(
                "event=running task=%s/%d machine=%s fetched=%.1f age=%.1f",
                ref,
                index,
                machine.name,
                (now - placement.since).total_seconds(),
                (now - placement.job.accepted).total_seconds(),
            )
        if placement.phase is not phase:
            placement.phase = phase
        machine.touch_image(placement.job.spec.image, placement.job.spec.image_gb)
        if phase is not Phase.FETCHING:
            machine.complete.add(placement.job.spec.image)

    def _adopt(
        self, machine: Machine, ref: str, index: int, task: TaskReport, phase: Phase, now: timedelta
    ) -> Placement | None:
        """A task that we did not start: a former owner's. Keep it if it is ours, else it has to go."""
        job = self.jobs.get(ref)
        if job is None and self._undecided(ref):
            self._keep_undecided(machine, (ref, index, task.attempt))
            return None
        if job is None or not job.owned >> index & 1 or index in job.placed:
            log.info("event=stray_task machine=%s task=%s/%d", machine.name, ref, index)
            machine.strays.add((ref, index, task.attempt))
            return None
        placement = self.place(job, index, task.attempt, machine, now, phase)
        placement.timed = False
        if job.spec.gang:
            if job.gang_attempt is None:
                job.gang_attempt = task.attempt
            elif job.gang_attempt != task.attempt:
                self.stop_gang(job, ZERO)
        return placement

    def _keep_undecided(self, machine: Machine, task: tuple[str, int, int]) -> None:
        """A task of a job of which we don't know yet whether it was released: left as it is until we do.

        A part that was taken over before its owner had looked up how predecessors ended stopped such tasks as strays.
        Nothing is placed meanwhile: not this task, which runs already, nor others, since it counts against its team.
        """
        machine.undecided.add(task)
        self.settled = False

    def _exited(
        self,
        machine: Machine,
        ref: str,
        index: int,
        task: TaskReport,
        events: Events,
        now: timedelta,
        report: Report,
        checkin: bool,
        prompt: bool,
    ) -> None:
        machine.exited.add((ref, index, task.attempt))
        placement = machine.placements.get((ref, index))
        if placement is not None and (placement.attempt != task.attempt or placement.phase is Phase.RESERVED):
            placement = None  # an older attempt's end says nothing about this one
        elif placement is not None and placement.phase is Phase.SENT and placement.rejoined:
            # It carries the number of the attempt that ended. Only a later report tells the two apart.
            if not self._settles(placement, report, checkin):
                machine.listed = None
                return
        job = self.jobs.get(ref)
        if job is None:
            if self._undecided(ref):
                self._keep_undecided(machine, (ref, index, task.attempt))
            return
        cause = task.cause or ""
        if cause in WITH_IMAGE and job.spec.image in machine.images:
            machine.complete.add(job.spec.image)
        if cause == "done":
            self._finished(machine, job, index, placement, events, now, prompt)
        elif placement is not None and cause == "alone" and self._may_rejoin(placement):
            # The others may still be fetching the image, which takes longer than a task waits for its gang where images
            # are large or machines slow. Stopping them all gave those fetches up, and gangs began anew up to 16 times.
            placement.phase, placement.sent = Phase.RESERVED, None
            placement.rejoined += 1
        elif placement is not None:
            events.freed = True
            self._failed(machine, job, placement, cause, events, now)
            self.release(placement, now)

    @staticmethod
    def _may_rejoin(placement: Placement) -> bool:
        """Whether a gang task that has waited too long may go on waiting: started again, with the same number."""
        job = placement.job
        return (
            job.gang
            and len(job.placed) == job.spec.tasks  # else it waits for nobody
            and placement.rejoined < MAX_REJOINS
            and placement.machine.usable
            and placement.attempt == job.gang_attempt
            and not any(one.stopping or one.running_since is not None for one in job.placed.values())
        )

    def _finished(
        self,
        machine: Machine,
        job: Job,
        index: int,
        placement: Placement | None,
        events: Events,
        now: timedelta,
        prompt: bool,
    ) -> None:
        indices = range(job.spec.tasks) if job.spec.gang else (index,)
        fresh = 0
        for one in indices:  # a gang completes together: one done, all done
            fresh |= 1 << one
        fresh &= job.owned & ~(job.done | job.done_here)
        if fresh:
            job.done_here |= fresh
            events.progressed.add(job.ref)
        if job.failed_on:
            self._blame_machines(job, machine, events)
        machine.failed_jobs.clear()
        if placement is not None:
            events.freed = True
            # A controller that stood still once took its own pause for run time: what it expected of the class was far
            # too long, and jobs that had barely begun were sorted behind all others as late.
            if placement.running_since is not None and placement.timed and prompt and fresh >> index & 1:
                run = now - placement.running_since
                job.run_sum += run
                job.run_count += 1
                if not (job.spec.checkpoint_s and job.requeued):
                    self.estimates.learn(job.spec.job_class, timedelta(seconds=job.spec.estimate_s), run)
            self._forget(placement)

    def _failed(
        self, machine: Machine, job: Job, placement: Placement, cause: str, events: Events, now: timedelta
    ) -> None:
        if cause == "error":
            job.failed_on[machine.name] = job.failed_on.get(machine.name, 0) + 1
            if self._seems_failing(job):
                self._blame_job(job, machine, now)
            else:
                job.failed_at = now
                machine.avoid_until = now + AVOIDED
                again = now - machine.failed_jobs.setdefault(job.ref, now) >= FORGIVEN
                known_good = job.done | job.done_here and job.failed_on[machine.name] >= SICK_TRIES
                # Time for the same jobs to fail elsewhere: two mistaken ones may happen to fail here first.
                judged = now - min(machine.failed_jobs.values()) >= AVOIDED
                if again or known_good or (judged and self._only_here(machine) >= SICK_JOBS):
                    self._quarantine(machine, events)
        elif cause in ("no_room", "in_use"):
            machine.avoid_until = now + timedelta(seconds=2)
        elif cause == "no_such":
            job.blocked_until = now + BACKOFF

    @staticmethod
    def _seems_failing(job: Job) -> bool:
        """Whether the job's failures are its own: no task of it was ever done, and it fails wherever it goes.

        Many machines may be sick at once, so it must have failed on more of them than it runs on.
        """
        if job.failing or job.done | job.done_here:
            return job.failing
        running = {one.machine.name for one in job.placed.values() if one.running_since is not None}
        return len(job.failed_on) >= FAILING_AFTER_MACHINES and len(job.failed_on) > len(running - job.failed_on.keys())

    def _only_here(self, machine: Machine) -> int:
        """How many jobs failed on this machine and nowhere else; those that fail elsewhere too may be mistaken."""
        jobs = [self.jobs.get(ref) for ref in machine.failed_jobs]
        return sum(job is not None and job.failed_on.keys() == {machine.name} for job in jobs)

    def forgive(self, job: Job, now: timedelta) -> None:
        """Else a job would wait for ever where only machines that it once failed on may run it."""
        if job.failed_on and not job.failing and now - job.failed_at >= FORGIVEN:
            job.failed_on = {}

    def _blame_job(self, job: Job, machine: Machine, now: timedelta) -> None:
        """A mistake in the job: probe it seldom, and hold nothing of it against the machines.

        A few such jobs once had dozens of machines called sick, drained and deleted, with all that ran on them.
        """
        if not job.failing:
            log.info("event=job_mistaken job=%s part=%d machines=%d", job.ref, self.number, len(job.failed_on))
            job.failing = True
            for name in job.failed_on:
                one = self.machines.get(name)
                if one is not None and one.failed_jobs.pop(job.ref, None) is not None and not one.failed_jobs:
                    one.avoid_until = ZERO
        if now >= job.blocked_until:  # the rest of a wave that was started before says nothing new
            job.probes += 1
            job.blocked_until = now + min(MAX_BACKOFF, BACKOFF * 2 ** min(10, job.probes))
        job.failed_on = {machine.name: 1}  # any other will do for the next probe

    def _blame_machines(self, job: Job, machine: Machine, events: Events) -> None:
        """A task of the job was done, so there is nothing wrong with it: its failures were their machines'."""
        failed, job.failed_on = job.failed_on, {}
        job.failing, job.probes, job.blocked_until = False, 0, ZERO
        for name, tasks in failed.items():
            one = self.machines.get(name)
            if one is None or one is machine or job.ref not in one.failed_jobs:
                continue
            if tasks >= SICK_TRIES or len(one.failed_jobs) >= SICK_JOBS:
                self._quarantine(one, events)

    def _quarantine(self, machine: Machine, events: Events) -> None:
        if not machine.draining:
            machine.draining = True
            events.quarantined.append(machine)
            log.info("event=machine_sick machine=%s jobs=%d", machine.name, len(machine.failed_jobs))

    # -- answers

    def commands(self, machine: Machine, now: timedelta, starts: bool) -> list[Command]:
        """What a machine is to do. Starts go out once and only in the answer to a report (`starts`)."""
        found: list[Command] = []
        for ref, index, attempt in machine.strays:
            found.append(Command("halt", f"{ref}/{index}", attempt, 0.0))
        for ref, index, attempt in machine.exited:
            # Not by a direct command: carried out late, it would clear the end of a task that was started again.
            if starts and self._clearable(ref, index):
                found.append(Command("clear", f"{ref}/{index}", attempt))
        for placement in machine.placements.values():
            if placement.grace is not None:
                if placement.halted_at is None:
                    placement.halted_at = now
                found.append(
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
                placement.sent = (machine.session, machine.seq)
                if not placement.rejoined:
                    placement.since = now
                machine.touch_image(placement.job.spec.image, placement.job.spec.image_gb)
                found.append(Command("start", f"{placement.job.ref}/{placement.index}", placement.attempt))
        return found

    def _clearable(self, ref: str, index: int) -> bool:
        """A done task is cleared only once that is durable: until then the machine is the only witness."""
        job = self.jobs.get(ref)
        if job is None:
            return not self._undecided(ref)
        return not job.done_here >> index & 1

    # -- time

    def expire(self, now: timedelta, proved: timedelta, lease: timedelta, grace: timedelta) -> list[Machine]:
        """Machines whose lease is certainly over: their tasks are dead and wait again.

        `proved` is when we last knew the claim to be ours, not the time now. Our own silence towards a machine
        ends its lease only as long as nobody else may answer it, and from `proved` on a new owner may. An owner
        that was cut off, but still within G, once took the machines that a new owner had taken over for dead, and
        started their tasks again beside it.
        """
        lost = []
        for machine in self.machines.values():
            if machine.fenced and machine.answered is not None:
                over = machine.answered + lease
            else:  # a former owner may have answered it until its own grace ran out
                over = max(self.claimed_at + grace, machine.answered or ZERO, machine.joined) + lease
            if proved > over and (machine.placements or not machine.fenced or machine.alive):
                self.lose_tasks(machine, now)
                machine.strays.clear()
                machine.undecided.clear()
                machine.alive = False
                machine.dead_session = machine.session
                machine.fenced = True
                machine.idle_since = None
                lost.append(machine)
        return lost

    def settle(self) -> bool:
        if not self.settled:
            # A stray's team is unknown, so what it uses can't be counted: wait until it is gone.
            self.settled = not self.unsettled()
            if self.settled:
                log.info("event=part_settled part=%d term=%d machines=%d", self.number, self.term, len(self.machines))
        return self.settled

    def unsettled(self) -> list[Machine]:
        """Machines of which it is not certain what runs on them, or that run what can't be counted."""
        return [one for one in self.machines.values() if not one.fenced or one.strays or one.undecided]
