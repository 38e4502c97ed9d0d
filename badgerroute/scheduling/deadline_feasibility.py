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

SPARE = timedelta(seconds=60)


@dataclass(slots=True)
class Load:
    """What is left of a job: processor time in all, the shortest time it can take, and the times left until due."""

    ref: str
    work: timedelta
    least: timedelta
    due: Sequence[timedelta]


def _in_time(loads: Iterable[Load], number: int, before: timedelta, processors: float) -> list[Load]:
    """The jobs that can meet their due time of a number, if work that takes `before` comes first."""
    kept: list[tuple[timedelta, str, Load]] = []  # a heap: most work first
    total = before
    candidates = [load for load in loads if number < len(load.due) and load.least <= load.due[number]]
    for load in sorted(candidates, key=lambda candidate: (candidate.due[number], candidate.ref)):
        heapq.heappush(kept, (-load.work, load.ref, load))
        total += load.work / processors
        if total > load.due[number]:
            total += heapq.heappop(kept)[0] / processors
    return [load for _, _, load in kept]


def _can_wait(load: Load, number: int) -> bool:
    """Whether a job has so much time left that others may well come first."""
    return load.due[number] - load.least > 2 * load.least + SPARE


def tiers(groups: Iterable[Sequence[Load]], processors: float) -> dict[str, float]:
    """How many of its due times each job will miss, and half of one more if it can wait for the others.

    Groups come in the order in which they are served.
    """
    processors = max(processors, 1.0)
    found: dict[str, float] = {}
    before = ZERO
    for group in groups:
        left = {load.ref: load for load in group}
        for number in range(max((len(load.due) for load in group), default=0)):
            for load in _in_time(left.values(), number, before, processors):
                found[load.ref] = number + (0.5 if _can_wait(load, number) else 0.0)
                before += load.work / processors
                del left[load.ref]
        for load in left.values():
            found[load.ref] = len(load.due)
            before += load.work / processors
    return found
