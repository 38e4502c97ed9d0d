"""The commands that a machine is to be sent, from what is booked on it."""

from collections.abc import Callable
from datetime import timedelta

from badgerroute.protocol.workers import Command
from badgerroute.scheduling.model import HeartbeatNumber, Machine, Placement
from badgerroute.scheduling.task_phase import Phase


def build_commands(
    machine: Machine, now: timedelta, include_starts: bool, clearable: Callable[[str, int], bool]
) -> list[Command]:
    """Halts, clears and starts for one machine.

    Invariant: starts go out once, and only in the answer to a heartbeat (`starts`). So do clears: a clear in a direct
    command may be carried out late, and would clear the end of a task that was started again. `clearable` tells whether
    the end of a task, by job and number, is of no more use as evidence.
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
    """Book a start as sent. It is outstanding until a later heartbeat confirms it or lacks it."""
    placement.phase = Phase.SENT
    machine.last_task_list = None  # the next list matters even if it is the same
    placement.sent = HeartbeatNumber(machine.incarnation, machine.sequence)
    if not placement.gang_wait_restarts:
        placement.start_requested_at = now
    machine.touch_image(placement.job.spec.image, placement.job.spec.image_gb)
    return Command("start", f"{placement.job.ref}/{placement.index}", placement.attempt)
