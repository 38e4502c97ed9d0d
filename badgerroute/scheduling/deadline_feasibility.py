"""Estimates which jobs can still complete in time, given the work of all jobs and the capacity of the machines.

When there is more work than the machines can do in time, equal shares would make every job late. Users count how many
jobs complete in time, and the Moore-Hodgson algorithm maximizes that number: take the jobs in the order of their due
times, and whenever one would be late, drop the job with the most work among those taken so far.
"""

import heapq
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from datetime import timedelta

from badgerroute.scheduling.model import ZERO

# A job lets others go first only if its spare time (the time until it is due, less its shortest duration) exceeds
# twice its shortest duration by more than this.
MIN_SPARE_TIME = timedelta(seconds=60)


@dataclass(slots=True)
class RemainingWork:
    """The remaining work of a job.

    `work` is the total processor time, `min_duration` the shortest time in which the job can complete. A job may have
    several due times; `due` holds the time that remains until each.
    """

    ref: str
    work: timedelta
    min_duration: timedelta
    due: Sequence[timedelta]


def _on_time_loads(
    loads: Iterable[RemainingWork], due_index: int, earlier_work: timedelta, processors: float
) -> list[RemainingWork]:
    """The jobs that can meet their due time number `due_index` if they start after work that takes `earlier_work`."""
    kept: list[tuple[timedelta, str, RemainingWork]] = []  # a heap; the job with the most work is popped first
    total = earlier_work
    candidates = [load for load in loads if due_index < len(load.due) and load.min_duration <= load.due[due_index]]
    for load in sorted(candidates, key=lambda candidate: (candidate.due[due_index], candidate.ref)):
        heapq.heappush(kept, (-load.work, load.ref, load))
        total += load.work / processors
        if total > load.due[due_index]:
            total += heapq.heappop(kept)[0] / processors
    return [load for _, _, load in kept]


def _can_wait(load: RemainingWork, due_index: int) -> bool:
    """Whether a job has so much time to spare before its due time number `due_index` that other jobs may go first."""
    return load.due[due_index] - load.min_duration > 2 * load.min_duration + MIN_SPARE_TIME


def lateness_tiers(groups: Iterable[Sequence[RemainingWork]], processors: float) -> dict[str, float]:
    """Return the lateness tier of each job: how many of its due times it will miss, plus 0.5 if it can wait.

    A job can wait if it has so much spare time that other jobs may go first (`_can_wait`). `groups` are in the order of
    service: the jobs of a group precede those of all later groups.
    """
    processors = max(processors, 1.0)
    tier_by_ref: dict[str, float] = {}
    earlier_work = ZERO
    for group in groups:
        undecided = {load.ref: load for load in group}
        for due_index in range(max((len(load.due) for load in group), default=0)):
            for load in _on_time_loads(undecided.values(), due_index, earlier_work, processors):
                tier_by_ref[load.ref] = due_index + (0.5 if _can_wait(load, due_index) else 0.0)
                earlier_work += load.work / processors
                del undecided[load.ref]
        for load in undecided.values():
            tier_by_ref[load.ref] = len(load.due)
            earlier_work += load.work / processors
    return tier_by_ref
