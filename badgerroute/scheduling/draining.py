"""Empties a machine by a deadline: decides which tasks may finish on it and when the others are stopped."""

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

    Stop commands must be sent at least `margin` before the deadline, since commands wait for heartbeats. A `patient`
    evacuation lets running tasks without checkpoints run until `margin` before the deadline, in case they finish
    earlier than estimated. An evacuation that is not patient stops two kinds of tasks at once: those that will probably
    not finish by the deadline, and those that do not run yet.
    """

    deadline: timedelta
    margin: timedelta
    patient: bool


def save_time(job: Job) -> timedelta:
    """The grace period in which a job's tasks can save their work; zero if they have no checkpoints."""
    return timedelta(seconds=job.spec.save_s) if job.spec.checkpoint_s else ZERO


def remaining_time(placement: Placement, now: timedelta, run_time: RunTime, fetch_time: FetchTime) -> timedelta:
    """How much longer a task is expected to stay on its machine.

    If its image is not fetched yet, the time for the whole fetch is included.
    """
    run = run_time(placement.job)
    if placement.running_since is not None:
        return max(ZERO, run - (now - placement.running_since))
    fetching = placement.phase in (Phase.RESERVED, Phase.SENT, Phase.FETCHING)
    return run + (fetch_time(placement.job, placement.machine) if fetching else ZERO)


def evacuate(
    shard: Shard, machine: Machine, plan: Evacuation, now: timedelta, run_time: RunTime, fetch_time: FetchTime
) -> int:
    """Stop the tasks that must leave a machine now; if a task belongs to a gang, stop the whole gang.

    Return the number of stops. Stopping a gang counts as one.
    """
    stopped = 0
    for placement in list(machine.placements.values()):
        if machine.placements.get(placement.key) is not placement:
            continue  # it was removed when its gang was stopped because of another task of the gang
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
    """The grace period with which to stop a task now, or None if it need not stop now or is already stopping."""
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
