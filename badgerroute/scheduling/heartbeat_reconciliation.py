"""What machines' heartbeats prove of the tasks on them.

The bookkeeping that safety rests on (docs/safety.md): which starts arrived, which tasks are certainly gone, what a
former leader left behind.
"""

import logging
from datetime import timedelta

from badgerroute.protocol.workers import Heartbeat, TaskStatus, split_task
from badgerroute.scheduling.events import Events
from badgerroute.scheduling.failures import FailureTracker
from badgerroute.scheduling.model import ZERO, Job, Machine, Placement
from badgerroute.scheduling.shard_state import ShardState
from badgerroute.scheduling.task_attempt import TaskAttempt
from badgerroute.scheduling.task_exits import TaskExits
from badgerroute.scheduling.task_list_message import TaskListMessage
from badgerroute.scheduling.task_phase import Phase

log = logging.getLogger(__name__)
PHASES = {
    "fetching": Phase.FETCHING,
    "waiting": Phase.WAITING,
    "running": Phase.RUNNING,
    "flushing": Phase.SAVING,
}
MAX_MISSED_STARTS = 2  # one answer may be lost on its way


class HeartbeatReconciler:
    """Takes in the task lists of one shard's machines."""

    def __init__(self, shard: ShardState, failures: FailureTracker) -> None:
        self._shard = shard
        self._exits = TaskExits(shard, failures)

    def on_heartbeat(self, machine: Machine, heartbeat: Heartbeat, periodic: bool, now: timedelta) -> Events | None:
        """Take in a machine's task list; what it changed. None: it is stale, and changed nothing."""
        if self._is_stale(machine, heartbeat):
            return None
        timing_known = machine.last_message_at is not None and now - machine.last_message_at <= self._shard.lease / 3
        message = TaskListMessage(machine, heartbeat, periodic, timing_known, now)
        self._update_machine(message)
        if heartbeat.fencing_token < self._shard.fence and not machine.never_commanded:
            # Another leader's commands may still reach it: the list is true, but it is not the last word.
            machine.fenced = False
            return message.events
        if self._is_unchanged(machine, heartbeat):
            return message.events
        self._read_task_list(message)
        return message.events

    @staticmethod
    def _is_stale(machine: Machine, heartbeat: Heartbeat) -> bool:
        """Whether a newer message was taken in, or the lease ended in the message's incarnation."""
        return heartbeat.incarnation <= machine.expired_incarnation or not heartbeat.newer_than(
            machine.incarnation, machine.sequence
        )

    @staticmethod
    def _is_unchanged(machine: Machine, heartbeat: Heartbeat) -> bool:
        """Whether the list was read before and leaves nothing to be done. So it is with most heartbeats."""
        return (
            machine.fenced
            and not machine.orphans
            and not machine.undecided
            and machine.last_task_list == heartbeat.tasks
        )

    # -- the machine

    def _update_machine(self, message: TaskListMessage) -> None:
        """Take in what a message says of the machine itself."""
        machine, heartbeat, now = message.machine, message.heartbeat, message.now
        if not message.periodic:
            machine.unreachable, machine.missed_starts = False, 0  # it answered a command, so commands reach it
        if heartbeat.incarnation > machine.incarnation and machine.incarnation:
            self._restart_machine(message)
        machine.incarnation, machine.sequence = heartbeat.incarnation, heartbeat.sequence
        machine.highest_token_seen = max(machine.highest_token_seen, heartbeat.fencing_token)
        machine.last_message_at = now
        if message.periodic:
            machine.alive = True
        notice_s = heartbeat.preemption_notice_s
        machine.preemption_notice = None if notice_s is None else now + timedelta(seconds=max(0.0, notice_s))

    def _restart_machine(self, message: TaskListMessage) -> None:
        """A new incarnation: the lease expired in between, so everything that was on the machine is dead."""
        machine = message.machine
        self._shard.lose_tasks(machine, message.now)
        message.events.capacity_freed = True
        if message.periodic and machine.answered is not None and message.now - machine.answered < self._shard.lease:
            self._mark_unreachable(machine)  # its lease ran out although it was answered: the answers don't arrive

    def _mark_unreachable(self, machine: Machine) -> None:
        """Place nothing more there: it would be started, found missing and started again without end."""
        if not machine.unreachable:
            log.info("event=machine_marked_unreachable machine=%s shard=%d", machine.name, self._shard.number)
        machine.unreachable = True
        for placement in list(machine.placements.values()):
            if placement.phase is Phase.RESERVED:
                self._shard.forget(placement)

    # -- the task list

    def _read_task_list(self, message: TaskListMessage) -> None:
        """Bring the books of the machine in line with its task list."""
        machine = message.machine
        machine.fenced = True
        machine.last_task_list = message.heartbeat.tasks
        machine.exited.clear()
        machine.orphans.clear()
        machine.undecided.clear()
        self._release_absent(message, self._read_tasks(message))
        if not machine.placements and machine.idle_since is None:
            machine.idle_since = message.now

    def _read_tasks(self, message: TaskListMessage) -> set[tuple[str, int]]:
        """Take in the tasks that are listed; the keys of those that are on the machine.

        Ends come first: a refused start must not make a task look free that an older attempt runs.
        """
        present: dict[tuple[str, int], TaskStatus] = {}
        for task in message.heartbeat.tasks:
            key = split_task(task.task)
            if task.state == "exited":
                self._read_exit(message, TaskAttempt(*key, task.attempt), task.cause or "")
            else:
                present[key] = task
        for key, task in present.items():
            self._read_present(message, TaskAttempt(*key, task.attempt), PHASES[task.state])
        return set(present)

    def _release_absent(self, message: TaskListMessage, present: set[tuple[str, int]]) -> None:
        """Release what should be on the machine and is not listed: it is gone, or its start did not arrive."""
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
            message.events.capacity_freed = True
        if missed_start:
            machine.missed_starts += 1
            if machine.missed_starts >= MAX_MISSED_STARTS:
                self._mark_unreachable(machine)
        elif machine.placements:
            machine.missed_starts = 0

    # -- tasks on the machine

    def _read_present(self, message: TaskListMessage, task: TaskAttempt, phase: Phase) -> None:
        """Take in the state of a task that is on the machine."""
        placement = message.machine.placements.get((task.ref, task.number))
        if placement is None:
            placement = self._adopt(message, task, phase)
            if placement is None:
                return
        elif placement.attempt != task.attempt:
            if placement.phase is Phase.SENT:
                return  # the new attempt is refused with `in_use`; the report of that exit settles it
            placement.attempt = task.attempt
        if phase is Phase.RUNNING and placement.running_since is None:
            self._record_start(message, placement)
        if placement.phase is Phase.FETCHING and phase is not Phase.FETCHING and message.timing_known:
            self._record_fetch(placement, message.now)
        placement.phase = phase
        self._record_image(message.machine, placement.job, fetched=phase is not Phase.FETCHING)

    @staticmethod
    def _record_start(message: TaskListMessage, placement: Placement) -> None:
        now = message.now
        placement.running_since = now
        placement.timing_known = placement.timing_known and message.timing_known
        log.debug(
            "event=task_started task=%s/%d machine=%s fetched=%.1f age=%.1f",
            placement.job.ref,
            placement.index,
            message.machine.name,
            (now - placement.start_requested_at).total_seconds(),
            (now - placement.job.accepted).total_seconds(),
        )

    def _record_fetch(self, placement: Placement, now: timedelta) -> None:
        """Report how long a fetch took from its first request; only if both its start and its end were seen."""
        machine, image = placement.machine, placement.job.spec.image
        if image in machine.fetched_images or not placement.timing_known:
            return
        requested = [other.start_requested_at for other in machine.placements.values() if other.job.spec.image == image]
        self._shard.image_fetched(placement, now - min(requested))

    @staticmethod
    def _record_image(machine: Machine, job: Job, fetched: bool) -> None:
        machine.touch_image(job.spec.image, job.spec.image_gb)
        if fetched:
            machine.fetched_images.add(job.spec.image)

    def _adopt(self, message: TaskListMessage, task: TaskAttempt, phase: Phase) -> Placement | None:
        """Take over a task that a former leader started; None if it is not this shard's, or not known to be."""
        machine = message.machine
        job = self._shard.jobs.get(task.ref)
        if job is None and self._shard.undecided(task.ref):
            self._keep_undecided(machine, task)
            return None
        if job is None or not job.owned >> task.number & 1 or task.number in job.placed:
            log.info("event=task_orphaned machine=%s task=%s", machine.name, task.task)
            machine.orphans.add(task)
            return None
        placement = self._shard.place(job, task.number, task.attempt, machine, message.now, phase)
        placement.timing_known = False
        if job.spec.gang:
            if job.gang_attempt is None:
                job.gang_attempt = task.attempt
            elif job.gang_attempt != task.attempt:
                self._shard.stop_gang(job, ZERO)
        return placement

    def _keep_undecided(self, machine: Machine, task: TaskAttempt) -> None:
        """Leave a task alone until it is known whether its job was released; it is an orphan only if it was not.

        Nothing is placed meanwhile: not this task, which runs already, nor others, since it counts against its team.
        """
        machine.undecided.add(task)
        self._shard.reconciled = False

    # -- tasks that ended

    def _read_exit(self, message: TaskListMessage, task: TaskAttempt, cause: str) -> None:
        message.machine.exited.add(task)
        job = self._shard.jobs.get(task.ref)
        if job is not None:
            self._exits.process_exit(message, job, task, cause)
        elif self._shard.undecided(task.ref):
            self._keep_undecided(message.machine, task)
