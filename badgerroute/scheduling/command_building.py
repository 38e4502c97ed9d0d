"""Builds the commands to send to a machine from its placements and exited tasks."""

from collections.abc import Callable
from datetime import timedelta

from badgerroute.protocol.workers import Command
from badgerroute.scheduling.model import HeartbeatNumber, Machine, Placement
from badgerroute.scheduling.task_phase import Phase


def build_commands(
    machine: Machine, now: timedelta, include_starts: bool, clearable: Callable[[str, int], bool]
) -> list[Command]:
    """Return the halt, clear and start commands for a machine.

    A halt stops a task; a clear lets the worker remove an exited task from its task list.

    Invariant: starts are sent once, and only in a heartbeat response (`include_starts`). Clears too are sent only in
    heartbeat responses: a clear in a direct command may be executed late, and would then clear the exit of a task that
    was started again. `clearable` takes a job's ID and a task's number, and returns whether the exit of this task may
    be cleared.
    """
    commands = [Command("halt", orphan.task, orphan.attempt, 0.0) for orphan in machine.orphans]
    if include_starts:
        commands += [
            Command("clear", exited.task, exited.attempt)
            for exited in machine.exited
            if clearable(exited.ref, exited.number)
        ]
    for placement in machine.placements.values():
        if placement.grace is not None:
            if placement.stopped_at is None:
                placement.stopped_at = now
            commands.append(_halt(placement, placement.grace))
        elif include_starts and placement.phase is Phase.RESERVED:
            commands.append(_start(machine, placement, now))
    return commands


def _halt(placement: Placement, grace: timedelta) -> Command:
    return Command("halt", f"{placement.job.ref}/{placement.index}", placement.attempt, grace.total_seconds())


def _start(machine: Machine, placement: Placement, now: timedelta) -> Command:
    """Mark a start as sent and return the command. A later heartbeat shows whether the worker executed it."""
    placement.phase = Phase.SENT
    machine.last_task_list = None  # so that the next task list is read even if it is unchanged
    placement.sent = HeartbeatNumber(machine.incarnation, machine.sequence)
    if not placement.gang_wait_restarts:
        placement.start_requested_at = now
    machine.touch_image(placement.job.spec.image, placement.job.spec.image_gb)
    return Command("start", f"{placement.job.ref}/{placement.index}", placement.attempt)
