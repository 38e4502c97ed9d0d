"""Adaptive feedback (Af): how many slots a job wishes for in a shard during the next period.

After algorithm 1 of the paper (see docs/design.md): an inefficient period divides the desire by rho, an
efficient and deprived one keeps it, an efficient and satisfied one multiplies it.
"""

from datetime import timedelta

from badgerroute.scheduling.model import Job
from badgerroute.settings import Scheduling


def next_desire(desire: float, granted: float, use: float, starved: bool, delta: float, rho: float) -> float:
    """The next desire. `use` is the fraction of the granted slots that was in use; `starved`: tasks waited."""
    if use < delta and not starved:
        return max(1.0, desire / rho)
    if desire > granted:
        return desire
    return desire * rho


def sample(job: Job, waiting: int) -> None:
    """Take note of a job's state; called several times in a period."""
    job.samples += 1
    held = len(job.placed)
    job.booked += held
    job.granted += min(job.desire, held + (0 if waiting else job.desire))
    job.starved = job.starved or waiting > 0


def begin(job: Job, now: timedelta, waiting: int, free_slots: int) -> None:
    """The first desire: the lesser of waiting tasks and free slots (the paper begins with one slot)."""
    job.desire = float(max(1, min(waiting, free_slots)))
    _restart(job, now)


def end_period(job: Job, now: timedelta, settings: Scheduling) -> None:
    """Give a job its next desire and begin the next period."""
    if job.samples:
        granted = job.granted / job.samples
        use = job.booked / job.samples / job.desire if job.desire else 1.0
        job.desire = min(
            float(job.spec.tasks), next_desire(job.desire, granted, use, job.starved, settings.delta, settings.rho)
        )
    _restart(job, now)


def _restart(job: Job, now: timedelta) -> None:
    job.period_began = now
    job.booked = job.granted = 0.0
    job.samples = 0
    job.starved = False
