"""What machines' heartbeats prove of the tasks on them.

The bookkeeping that safety rests on (docs/safety.md): which starts arrived, which tasks are certainly gone, what a
former leader left behind.
"""

import logging
from dataclasses import dataclass, field
from datetime import timedelta

from badgerroute.protocol.workers import Heartbeat, TaskStatus, split_task
from badgerroute.scheduling.events import Events
from badgerroute.scheduling.failures import FailureTracker
from badgerroute.scheduling.model import ZERO, Job, Machine, Placement
from badgerroute.scheduling.shard_state import ShardState
from badgerroute.scheduling.task_phase import Phase

log = logging.getLogger(__name__)
PHASES = {
    "fetching": Phase.FETCHING,
    "waiting": Phase.WAITING,
    "running": Phase.RUNNING,
    "flushing": Phase.SAVING,
}
WITH_IMAGE = frozenset({"done", "alone"})  # ends of tasks that had got their image
MAX_MISSED_STARTS = 2  # one answer may be lost on its way
MAX_REJOINS = 12  # a gang one of whose machines has no image by then is placed anew


@dataclass(slots=True)
class Message:
    """A task list that is newer than what was known of its machine.

    `periodic`: a real heartbeat; the answer to a direct command is not one. `prompt`: it came without a silence before,
    of the machine's or ours, after which there is no telling when what it says came about.
    """

    machine: Machine
    heartbeat: Heartbeat
    periodic: bool
    prompt: bool
    now: timedelta
    events: Events = field(default_factory=Events)

    def confirms_absence(self, placement: Placement) -> bool:
        """Whether a start's absence from this message proves that it was not and will not be executed.

        A worker keeps one heartbeat in flight and drops late answers, so only a later *heartbeat* proves it.
        """
        return self.periodic and placement.sent is not None and self.heartbeat.newer_than(*placement.sent)


class HeartbeatReconciler:
    """Takes in the task lists of one shard's machines."""

    def __init__(self, shard: ShardState, failures: FailureTracker) -> None:
        self._shard, self._failures = shard, failures

    def on_heartbeat(self, machine: Machine, heartbeat: Heartbeat, periodic: bool, now: timedelta) -> Events | None:
        """Take in a machine's task list. None: it is older than what is known already, and must change nothing."""
        if heartbeat.incarnation <= machine.dead_incarnation or not heartbeat.newer_than(
            machine.incarnation, machine.sequence
        ):
            return None
        prompt = machine.heard is not None and now - machine.heard <= self._shard.lease / 3
        message = Message(machine, heartbeat, periodic, prompt, now)
        self._note_machine(message)
        if heartbeat.fencing_token < self._shard.fence and not machine.never_commanded:
            # Another leader's commands may still reach it: the list is true, but it is not the last word.
            machine.fenced = False
            return message.events
        if (
            machine.fenced
            and not machine.orphans
            and not machine.undecided
            and machine.last_task_list == heartbeat.tasks
        ):
            return message.events  # most heartbeats say what the one before said
        machine.fenced = True
        machine.last_task_list = heartbeat.tasks
        machine.exited.clear()
        machine.orphans.clear()
        machine.undecided.clear()
        self._release_absent(message, self._read_tasks(message))
        if not machine.placements and machine.idle_since is None:
            machine.idle_since = now
        return message.events

    def _note_machine(self, message: Message) -> None:
        """What a message says of the machine itself."""
        machine, heartbeat, now = message.machine, message.heartbeat, message.now
        if not message.periodic:
            machine.unreachable, machine.missed_starts = False, 0  # it answered a command, so it hears us
        if heartbeat.incarnation > machine.incarnation and machine.incarnation:
            # The lease expired in between: everything that was on the machine is dead.
            self._shard.lose_tasks(machine, now)
            message.events.freed = True
            if message.periodic and machine.answered is not None and now - machine.answered < self._shard.lease:
                self._mark_unreachable(machine)  # its lease ran out although we answered: it does not hear us
        machine.incarnation, machine.sequence = heartbeat.incarnation, heartbeat.sequence
        machine.highest_token_seen = max(machine.highest_token_seen, heartbeat.fencing_token)
        machine.heard = now
        if message.periodic:
            machine.alive = True
        machine.preemption_notice = (
            None
            if heartbeat.preemption_notice_s is None
            else now + timedelta(seconds=max(0.0, heartbeat.preemption_notice_s))
        )

    def _read_tasks(self, message: Message) -> set[tuple[str, int]]:
        """Take in the tasks that are listed; those that are on the machine.

        Ends come first: a refused start must not make a task look free that an older attempt runs.
        """
        present: dict[tuple[str, int], TaskStatus] = {}
        for task in message.heartbeat.tasks:
            ref, index = split_task(task.task)
            if task.state == "exited":
                self._exited(message, ref, index, task)
            else:
                present[ref, index] = task
        for (ref, index), task in present.items():
            self._present(message, ref, index, task)
        return set(present)

    def _release_absent(self, message: Message, present: set[tuple[str, int]]) -> None:
        """What should be on the machine, and is not listed, is gone; or did not arrive."""
        machine = message.machine
        missed_start = False
        for key, placement in list(machine.placements.items()):
            if key in present or placement.phase is Phase.RESERVED:
                continue
            if placement.phase is Phase.SENT:
                if not message.confirms_absence(placement):
                    machine.last_task_list = None
                    continue
                missed_start = True
            self._shard.release(placement, message.now)
            message.events.freed = True
        if missed_start:
            machine.missed_starts += 1
            if machine.missed_starts >= MAX_MISSED_STARTS:
                self._mark_unreachable(machine)
        elif machine.placements:
            machine.missed_starts = 0

    def _mark_unreachable(self, machine: Machine) -> None:
        """Nothing more is placed there, or it would be started, found missing and started again for ever."""
        if not machine.unreachable:
            log.info("event=machine_marked_unreachable machine=%s shard=%d", machine.name, self._shard.number)
        machine.unreachable = True
        for placement in list(machine.placements.values()):
            if placement.phase is Phase.RESERVED:
                self._shard.forget(placement)

    def _present(self, message: Message, ref: str, index: int, task: TaskStatus) -> None:
        machine, now = message.machine, message.now
        phase = PHASES[task.state]
        placement = machine.placements.get((ref, index))
        if placement is None:
            placement = self._adopt(message, ref, index, task)
            if placement is None:
                return
        elif placement.attempt != task.attempt:
            if placement.phase is Phase.SENT:
                return  # the new attempt is refused with `in_use`; that exit will tell
            placement.attempt = task.attempt
        if phase is Phase.RUNNING and placement.running_since is None:
            placement.running_since = now
            placement.timed = placement.timed and message.prompt
            log.debug(
                "event=task_started task=%s/%d machine=%s fetched=%.1f age=%.1f",
                ref,
                index,
                machine.name,
                (now - placement.since).total_seconds(),
                (now - placement.job.accepted).total_seconds(),
            )
        if placement.phase is Phase.FETCHING and phase is not Phase.FETCHING and message.prompt:
            self._note_fetched(placement, now)
        if placement.phase is not phase:
            placement.phase = phase
        machine.touch_image(placement.job.spec.image, placement.job.spec.image_gb)
        if phase is not Phase.FETCHING:
            machine.complete.add(placement.job.spec.image)

    def _note_fetched(self, placement: Placement, now: timedelta) -> None:
        """A fetch was seen under way, and then its end: tell how long it took since the first task asked for it."""
        machine, image = placement.machine, placement.job.spec.image
        if image in machine.complete or not placement.timed:
            return
        asked = [placement.since for placement in machine.placements.values() if placement.job.spec.image == image]
        self._shard.image_fetched(placement, now - min(asked))

    def _adopt(self, message: Message, ref: str, index: int, task: TaskStatus) -> Placement | None:
        """A task that we did not start: a former leader's. Keep it if it is ours, else it has to go."""
        machine = message.machine
        job = self._shard.jobs.get(ref)
        if job is None and self._shard.undecided(ref):
            self._keep_undecided(machine, (ref, index, task.attempt))
            return None
        if job is None or not job.owned >> index & 1 or index in job.placed:
            log.info("event=task_orphaned machine=%s task=%s/%d", machine.name, ref, index)
            machine.orphans.add((ref, index, task.attempt))
            return None
        placement = self._shard.place(job, index, task.attempt, machine, message.now, PHASES[task.state])
        placement.timed = False
        if job.spec.gang:
            if job.gang_attempt is None:
                job.gang_attempt = task.attempt
            elif job.gang_attempt != task.attempt:
                self._shard.stop_gang(job, ZERO)
        return placement

    def _keep_undecided(self, machine: Machine, task: tuple[str, int, int]) -> None:
        """A task of a job of which we don't know yet whether it was released: left as it is until we do.

        A shard that was taken over before its leader had looked up how predecessors ended stopped such tasks as
        orphans. Nothing is placed meanwhile: not this task, which runs already, nor others, since it counts against its
        team.
        """
        machine.undecided.add(task)
        self._shard.reconciled = False

    def _exited(self, message: Message, ref: str, index: int, task: TaskStatus) -> None:
        machine = message.machine
        machine.exited.add((ref, index, task.attempt))
        placement = machine.placements.get((ref, index))
        if placement is not None and (placement.attempt != task.attempt or placement.phase is Phase.RESERVED):
            placement = None  # an older attempt's end says nothing about this one
        elif placement is not None and placement.phase is Phase.SENT and placement.rejoined:
            # It carries the number of the attempt that ended. Only a later heartbeat tells the two apart.
            if not message.confirms_absence(placement):
                machine.last_task_list = None
                return
        job = self._shard.jobs.get(ref)
        if job is None:
            if self._shard.undecided(ref):
                self._keep_undecided(machine, (ref, index, task.attempt))
            return
        cause = task.cause or ""
        if cause in WITH_IMAGE and job.spec.image in machine.images:
            machine.complete.add(job.spec.image)
        if cause == "done":
            self._finished(message, job, index, placement)
        elif placement is not None and cause == "alone" and self._may_rejoin(placement):
            # The others may still be fetching the image, which takes longer than a task waits for its gang where images
            # are large or machines slow. Stopping them all gave those fetches up, and gangs began anew up to 16 times.
            placement.phase, placement.sent = Phase.RESERVED, None
            placement.rejoined += 1
        elif placement is not None:
            message.events.freed = True
            self._failures.failed(job, placement, cause, message.events, message.now)
            self._shard.release(placement, message.now)

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
            and not any(placement.stopping or placement.running_since is not None for placement in job.placed.values())
        )

    def _finished(self, message: Message, job: Job, index: int, placement: Placement | None) -> None:
        indices = range(job.spec.tasks) if job.spec.gang else (index,)
        fresh = 0
        for one in indices:  # a gang completes together: one done, all done
            fresh |= 1 << one
        fresh &= job.owned & ~(job.done | job.done_here)
        if fresh:
            job.done_here |= fresh
            message.events.progressed.add(job.ref)
        if job.failed_on:
            self._failures.blame_machines(job, message.machine, message.events)
        message.machine.failed_jobs.clear()
        if placement is not None:
            message.events.freed = True
            # A controller that was paused once took its own pause for run time: what it expected of the class was far
            # too long, and jobs that had barely begun were sorted behind all others as late.
            if placement.running_since is not None and placement.timed and message.prompt and fresh >> index & 1:
                run = message.now - placement.running_since
                job.run_sum += run
                job.run_count += 1
                if not (job.spec.checkpoint_s and job.requeued):
                    self._shard.estimates.learn(job.spec.job_class, timedelta(seconds=job.spec.estimate_s), run)
            self._shard.forget(placement)
