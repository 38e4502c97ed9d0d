"""Emptying a machine in time: what may still end there, what moves at once, and what is stopped in the end."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from badgerroute.scheduling.model import ZERO, Job, Machine, Placement
from badgerroute.scheduling.shard import Shard
from badgerroute.scheduling.task_phase import Phase

RunTime = Callable[[Job], timedelta]
FetchTime = Callable[[Job, Machine], timedelta]


@dataclass(frozen=True, slots=True)
class Evacuation:
    """How a machine is emptied by a deadline.

    `margin` is how long before the deadline the last command must be given, since commands wait for heartbeats. A
    `patient` evacuation lets work that never saves run until then, in case its estimate is too long; one that is not
    stops at once what will most likely not end in time.
    """

    deadline: timedelta
    margin: timedelta
    patient: bool


def save_time(job: Job) -> timedelta:
    """The grace that lets a task save its work; none if it never saves."""
    return timedelta(seconds=job.spec.save_s) if job.spec.checkpoint_s else ZERO


def remaining_time(placement: Placement, now: timedelta, run_time: RunTime, fetch_time: FetchTime) -> timedelta:
    """How long a task should still take where it is."""
    run = run_time(placement.job)
    if placement.running_since is not None:
        return max(ZERO, run - (now - placement.running_since))
    fetching = placement.phase in (Phase.RESERVED, Phase.SENT, Phase.FETCHING)
    return run + (fetch_time(placement.job, placement.machine) if fetching else ZERO)


def evacuate(
    shard: Shard, machine: Machine, plan: Evacuation, now: timedelta, run_time: RunTime, fetch_time: FetchTime
) -> int:
    """Stop what has to leave a machine by now; how many tasks that were. A gang stops whole, wherever it is."""
    stopped = 0
    for placement in list(machine.placements.values()):
        if machine.placements.get(placement.key) is not placement:
            continue  # its gang was stopped for another task
        grace = _grace_if_due(placement, plan, now, remaining_time(placement, now, run_time, fetch_time))
        if grace is None or (placement.grace is not None and placement.grace <= grace):
            continue
        if placement.job.gang:
            shard.stop_gang(placement.job, grace)
        else:
            shard.stop(placement, grace)
        stopped += 1
    return stopped


def _grace_if_due(placement: Placement, plan: Evacuation, now: timedelta, remaining: timedelta) -> timedelta | None:
    """With how much time to save a task is to be stopped now; None: not yet, or it may well end in time."""
    time_left = plan.deadline - now
    if time_left <= ZERO:
        return ZERO
    if placement.stopping:
        return None
    running = placement.running_since is not None
    if remaining < time_left and (running or plan.patient):
        return None
    if plan.patient and running and not placement.job.spec.checkpoint_s:
        return ZERO if time_left <= plan.margin else None
    return save_time(placement.job)
