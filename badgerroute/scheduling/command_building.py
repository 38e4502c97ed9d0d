"""Builds the commands to send to a machine from its placements and exited tasks.

Each message is bounded in bytes. Commands that do not fit are left for a later message: stops come first, then the
clears, which make room in the machine's task list, and then the starts.
"""

from collections.abc import Callable
from datetime import timedelta

from badgerroute.protocol.common import encode
from badgerroute.protocol.message_sizes import MAX_COMMANDS_ENVELOPE_BYTES, MAX_MESSAGE_BYTES
from badgerroute.protocol.workers import Command
from badgerroute.scheduling.model import HeartbeatNumber, Machine, Placement
from badgerroute.scheduling.task_phase import Phase

MAX_COMMANDS_BYTES = MAX_MESSAGE_BYTES - MAX_COMMANDS_ENVELOPE_BYTES
SEPARATOR_BYTES = 1
NO_GRACE_S = 0.0


class CommandBuilder:
    """The commands of one message to a machine. A halt stops a task; a clear removes an exited task from its list.

    Invariant: starts are sent once, and only in a heartbeat response. Clears too are sent only in heartbeat responses:
    a clear in a direct command may be executed late, and would then clear the exit of a task that was started again.

    Invariant: the machine's next heartbeat has room for all tasks that are on the machine once it has executed the
    commands. The worker executes them in order, so a clear makes room for a start that follows it.
    """

    def __init__(self, machine: Machine, now: timedelta) -> None:
        self._machine, self._now = machine, now
        self.commands: list[Command] = []
        self._bytes_left = MAX_COMMANDS_BYTES
        self._repeated_stops: list[Placement] = []

    def _add(self, command: Command) -> bool:
        """Add a command. Return False if the message has no room for it."""
        size = len(encode(command)) + SEPARATOR_BYTES
        if size > self._bytes_left:
            return False
        self._bytes_left -= size
        self.commands.append(command)
        return True

    def add_new_stops(self) -> None:
        """Add the stops of tasks that are not this shard's, and those that were not sent yet."""
        for orphan in self._machine.orphans:
            self._add(Command("halt", orphan.task, orphan.attempt, NO_GRACE_S))
        for placement in self._machine.placements.values():
            if placement.grace is None:
                continue
            if placement.stopped_at is not None:
                self._repeated_stops.append(placement)
            elif self._add_stop(placement, placement.grace):
                placement.stopped_at = self._now

    def add_repeated_stops(self) -> None:
        """Add the stops that were sent before, since they may have been lost. Call it after `add_new_stops`."""
        for placement in self._repeated_stops:
            if placement.grace is not None:
                self._add_stop(placement, placement.grace)

    def _add_stop(self, placement: Placement, grace: timedelta) -> bool:
        return self._add(Command("halt", placement.task, placement.attempt, grace.total_seconds()))

    def add_clears(self, clearable: Callable[[str, int], bool]) -> None:
        """Add the clears of exited tasks, but none while a copy of the task's start could still be carried out.

        A worker ignores the start of an attempt that it still lists, and would start a cleared attempt once more.
        `clearable` takes a job's ID and a task's number, and returns whether the exit of this task may be cleared.
        """
        self._machine.forget_old_starts(self._now)
        for exited in self._machine.exited:
            if exited in self._machine.recent_starts or not clearable(exited.ref, exited.number):
                continue
            if self._add(Command("clear", exited.task, exited.attempt)):
                self._machine.expect_cleared(exited.ref)

    def add_starts(self) -> None:
        """Add the starts of placed tasks, those of gangs first, as far as the machine's task list has room for them."""
        reserved = [placement for placement in self._machine.placements.values() if placement.phase is Phase.RESERVED]
        reserved.sort(key=lambda placement: not placement.job.gang)
        list_bytes = self._machine.free.list_bytes + sum(
            placement.job.task_resources.list_bytes for placement in reserved
        )
        for placement in reserved:
            needed = placement.job.task_resources.list_bytes
            if needed > list_bytes or not self._add(Command("start", placement.task, placement.attempt)):
                continue
            list_bytes -= needed
            self._mark_sent(placement)

    def _mark_sent(self, placement: Placement) -> None:
        """Mark a start as sent. A later heartbeat shows whether the worker executed it."""
        machine = self._machine
        placement.phase = Phase.SENT
        machine.recent_starts[placement.task_attempt] = self._now
        machine.last_task_list = None  # so that the next task list is read even if it is unchanged
        placement.sent = HeartbeatNumber(machine.incarnation, machine.sequence)
        if not placement.gang_wait_restarts:
            placement.start_requested_at = self._now
        machine.touch_image(placement.job.spec.image, placement.job.spec.image_gb)
