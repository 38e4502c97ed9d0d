"""Reconciles a shard's placements with the task lists that its machines report in heartbeats.

Safety depends on the rules in this module (docs/safety.md): they determine which start commands arrived, which tasks
certainly no longer run, and which tasks a former leader started.
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
PHASES = {  # task state in a heartbeat -> phase
    "fetching": Phase.FETCHING,
    "waiting": Phase.WAITING,
    "running": Phase.RUNNING,
    "flushing": Phase.SAVING,
}
# After this many consecutive heartbeats without a task whose start was sent, a machine counts as unreachable. The
# number is above 1 since a single response may be lost in the network.
MAX_MISSED_STARTS = 2


class HeartbeatReconciler:
    """Applies the task lists reported by the machines of one shard to the shard's state."""

    def __init__(self, shard: ShardState, failures: FailureTracker) -> None:
        self._shard = shard
        self._exits = TaskExits(shard, failures)

    def on_heartbeat(self, machine: Machine, heartbeat: Heartbeat, periodic: bool, now: timedelta) -> Events | None:
        """Apply the task list of a message. Return the changes, or None if the message is stale and was ignored.

        `periodic`: the message is a heartbeat, not the response to a direct command.
        """
        if self._is_stale(machine, heartbeat):
            return None
        timing_known = machine.last_message_at is not None and now - machine.last_message_at <= self._shard.lease / 3
        message = TaskListMessage(machine, heartbeat, periodic, timing_known, now)
        self._update_machine(message)
        if heartbeat.fencing_token < self._shard.required_fencing_token and not machine.never_commanded:
            # A former leader may still send the machine commands, and so change its tasks after this list was sent.
            machine.fenced = False
        elif not self._is_unchanged(machine, heartbeat):
            self._read_task_list(message)
        machine.count_unplaced()
        return message.events

    @staticmethod
    def _is_stale(machine: Machine, heartbeat: Heartbeat) -> bool:
        """Whether this or a newer message was processed, or the lease expired in this incarnation or a later one."""
        return heartbeat.incarnation <= machine.expired_incarnation or not heartbeat.newer_than(
            machine.incarnation, machine.sequence
        )

    @staticmethod
    def _is_unchanged(machine: Machine, heartbeat: Heartbeat) -> bool:
        """Whether the list equals the last one read and nothing is left to reconcile, as with most heartbeats."""
        return (
            machine.fenced
            and not machine.orphans
            and not machine.undecided
            and machine.last_task_list == heartbeat.tasks
        )

    # -- the machine

    def _update_machine(self, message: TaskListMessage) -> None:
        """Update the machine's own fields from a message."""
        machine, heartbeat, now = message.machine, message.heartbeat, message.now
        if not message.periodic:
            machine.unreachable, machine.missed_starts = False, 0  # it responded to a command, so commands reach it
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
        """Release all tasks of a machine whose incarnation is new: its lease expired, so the worker killed them."""
        machine = message.machine
        self._shard.lose_tasks(machine, message.now)
        message.events.capacity_freed = True
        if (
            message.periodic
            and machine.last_response_at is not None
            and message.now - machine.last_response_at < self._shard.lease
        ):
            self._mark_unreachable(machine)  # its lease expired despite a recent response, so responses don't arrive

    def _mark_unreachable(self, machine: Machine) -> None:
        """Stop placing tasks on a machine that commands do not reach.

        Otherwise its tasks would be started, found missing and started again without end.
        """
        if not machine.unreachable:
            log.info("event=machine_marked_unreachable machine=%s shard=%d", machine.name, self._shard.number)
        machine.unreachable = True
        for placement in list(machine.placements.values()):
            if placement.phase is Phase.RESERVED:
                self._shard.remove_placement(placement)

    # -- the task list

    def _read_task_list(self, message: TaskListMessage) -> None:
        """Reconcile the machine's placements with its task list."""
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
        """Process the listed tasks. Return the keys of those that are on the machine.

        Exits are processed first. A worker refuses to start a task of which an older attempt still runs, and then lists
        both attempts: the new one as exited, the older one as running. The exit releases the new attempt's placement;
        afterwards a placement is created for the older attempt.
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
        """Release placements that are not listed: the task no longer runs, or its start command did not arrive."""
        machine = message.machine
        machine.forget_old_starts(message.now)
        missed_start = False
        for key, placement in list(machine.placements.items()):
            if key in present or placement.phase is Phase.RESERVED:
                continue
            if placement.task_attempt in machine.exited or placement.task_attempt in machine.recent_starts:
                # Its exit is listed but may not be the last one, or a copy of its start may still be carried out.
                machine.last_task_list = None
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
        """Process a listed task that is on the machine."""
        placement = message.machine.placements.get((task.ref, task.number))
        if placement is None:
            placement = self._adopt(message, task, phase)
            if placement is None:
                return
        elif placement.attempt != task.attempt:
            if placement.phase is Phase.SENT:
                return  # the worker refuses the new attempt with `in_use` and will report that exit
            placement.attempt = task.attempt
        if phase is Phase.RUNNING and placement.running_since is None:
            self._record_start(message, placement)
        if placement.phase is Phase.FETCHING and phase is not Phase.FETCHING and message.timing_known:
            self._record_fetch(placement, message.now)
        placement.phase = phase
        self._record_image(message.machine, placement.job, fetched=phase is not Phase.FETCHING)

    @staticmethod
    def _record_start(message: TaskListMessage, placement: Placement) -> None:
        """Record that a task began to run."""
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
        """Report how long an image fetch took, counted from the first start command that needed the image.

        Nothing is reported if the start or the end of the fetch is not known.
        """
        machine, image = placement.machine, placement.job.spec.image
        if image in machine.fetched_images or not placement.timing_known:
            return
        requested = [other.start_requested_at for other in machine.placements.values() if other.job.spec.image == image]
        self._shard.image_fetched(placement, now - min(requested))

    @staticmethod
    def _record_image(machine: Machine, job: Job, fetched: bool) -> None:
        """Mark the job's image as used on the machine and, if `fetched` is set, as fetched."""
        machine.touch_image(job.spec.image, job.spec.image_gb)
        if fetched:
            machine.fetched_images.add(job.spec.image)

    def _adopt(self, message: TaskListMessage, task: TaskAttempt, phase: Phase) -> Placement | None:
        """Create a placement for a listed task that has none, since a former leader started it.

        Return None if the task does not belong to this shard, or if that is not known yet.
        """
        machine = message.machine
        job = self._shard.jobs.get(task.ref)
        if job is None and self._shard.undecided(task.ref):
            self._keep_undecided(machine, task)
            return None
        if job is None or not job.owned >> task.number & 1 or task.number in job.placements:
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
        """Leave a task alone until it is known whether its job was released; if not, the task is orphaned.

        No tasks are placed in the shard until that is known, since a running task counts towards its team's quota, and
        the team is not known before.
        """
        machine.undecided.add(task)
        self._shard.reconciled = False

    # -- tasks that ended

    def _read_exit(self, message: TaskListMessage, task: TaskAttempt, cause: str) -> None:
        """Process a listed task that has exited."""
        message.machine.exited.add(task)
        job = self._shard.jobs.get(task.ref)
        if job is not None:
            self._exits.process_exit(message, job, task, cause)
        elif self._shard.undecided(task.ref):
            self._keep_undecided(message.machine, task)
