"""Adaptive feedback (Af): computes a job's desire, the number of slots that it should have in a shard in a period.

A slot is capacity for one task of the job.

After the paper's algorithm 1 (section IV.C). Its symbols: `q` counts periods of length `L` (`scheduling.period_s`);
`d(q)` is the desire, `a(q)` the allocation, `u(q)` the utilization of period `q`; `delta` is the utilization below
which a period is inefficient, `rho` the factor by which desires change. The next desire is, after a period that was

- inefficient (`u < delta` and no task waited): `d / rho`;
- efficient and deprived (`d > a`): `d`;
- efficient and satisfied: `d * rho`.

Changed here: utilization is the fraction of the desired slots that were in use, since workers report no load; and the
first desire may be more than one slot (`begin`).
"""

from datetime import timedelta

from badgerroute.scheduling.model import Job
from badgerroute.settings import Scheduling


def next_desire(
    desire: float, allocation: float, utilization: float, tasks_waited: bool, delta: float, rho: float
) -> float:
    """Compute the desire d(q); `desire`, `allocation` and `utilization` are d(q-1), a(q-1) and u(q-1)."""
    if utilization < delta and not tasks_waited:
        return max(1.0, desire / rho)
    if desire > allocation:
        return desire
    return desire * rho


def sample(job: Job, waiting: int) -> None:
    """Add the job's slots in use and the slots available to it to the sums of the period.

    `waiting` is the number of its waiting tasks.
    """
    job.samples += 1
    in_use = len(job.placements)
    job.used_slots_sum += in_use
    job.granted_slots_sum += min(job.desire, in_use + (0 if waiting else job.desire))
    job.starved = job.starved or waiting > 0


def begin(job: Job, now: timedelta, waiting: int, free_slots: int) -> None:
    """Set a job's first desire to the smaller of `waiting` and `free_slots`, but at least one, and begin a period.

    The paper begins with one slot. Growing from there, even by doubling each period, would take longer than most jobs
    run.
    """
    job.desire = float(max(1, min(waiting, free_slots)))
    _begin_period(job, now)


def end_period(job: Job, now: timedelta, settings: Scheduling) -> None:
    """Compute a job's next desire and begin the next period."""
    if job.samples:
        allocation = job.granted_slots_sum / job.samples
        utilization = job.used_slots_sum / job.samples / job.desire if job.desire else 1.0
        job.desire = min(
            float(job.spec.tasks),
            next_desire(job.desire, allocation, utilization, job.starved, settings.delta, settings.rho),
        )
    _begin_period(job, now)


def _begin_period(job: Job, now: timedelta) -> None:
    job.period_began = now
    job.used_slots_sum = job.granted_slots_sum = 0.0
    job.samples = 0
    job.starved = False
