"""Which jobs can still be complete in time, given what all of them need of the machines there are.

When more is asked than the machines can do in time, sharing them equally makes every job late. How many jobs are in
time is what users count, and the rule of Moore and Hodgson makes that number as large as it can be: take the jobs in
the order of their due times, and whenever one would be late, drop the one with the most work.
"""

import heapq
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from datetime import timedelta

from badgerroute.scheduling.model import ZERO

MIN_SPARE_TIME = timedelta(seconds=60)


@dataclass(slots=True)
class Load:
    """What is left of a job: processor time in all, the shortest time it can take, and the times left until due."""

    ref: str
    work: timedelta
    least: timedelta
    due: Sequence[timedelta]


def _on_time_loads(loads: Iterable[Load], due_index: int, earlier_work: timedelta, processors: float) -> list[Load]:
    """The jobs that can meet their due time of a number, if work that takes `before` comes first."""
    kept: list[tuple[timedelta, str, Load]] = []  # a heap: most work first
    total = earlier_work
    candidates = [load for load in loads if due_index < len(load.due) and load.least <= load.due[due_index]]
    for load in sorted(candidates, key=lambda candidate: (candidate.due[due_index], candidate.ref)):
        heapq.heappush(kept, (-load.work, load.ref, load))
        total += load.work / processors
        if total > load.due[due_index]:
            total += heapq.heappop(kept)[0] / processors
    return [load for _, _, load in kept]


def _can_wait(load: Load, due_index: int) -> bool:
    """Whether a job has so much time left that others may well come first."""
    return load.due[due_index] - load.least > 2 * load.least + MIN_SPARE_TIME


def tiers(groups: Iterable[Sequence[Load]], processors: float) -> dict[str, float]:
    """How many of its due times each job will miss, and half of one more if it can wait for the others.

    Groups come in the order in which they are served.
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
