"""What jobs take over from those that need them: priority inheritance, and due times counted back along a pipeline.

A job is served at the highest level of its own and its dependents', and should be done by the earliest of its own due
time and theirs less the time that they will take. With thousands of waiting jobs that takes longer than one round of
decisions may, so it is worked out in slices: each goes on where the last one stopped.
"""

from collections.abc import Callable
from math import inf
from typing import NamedTuple

from badgerroute.scheduling.dependencies import Dependencies

JOBS_PER_CLOCK_CHECK = 16  # jobs that are worked out between two looks at the clock


class Inherited(NamedTuple):
    """The level at which a job is served, and the time of day by which it should be done."""

    level: int
    due: float


class InheritancePass:
    """One pass over all jobs that others wait for.

    `own` is what a job would have without dependents; `duration` the seconds that a stage is expected to take.
    """

    def __init__(
        self, graph: Dependencies, own_values: Callable[[str], Inherited], duration: Callable[[str], float]
    ) -> None:
        self._graph, self._own_values, self._duration = graph, own_values, duration
        self._remaining = graph.predecessors()
        self._stack: list[str] = []  # a loop, not a recursion: chains may be long
        self.result: dict[str, Inherited] = {}

    def advance(self, out_of_time: Callable[[], bool]) -> bool:
        """Work until the time is up; whether the pass is complete."""
        visited = 0
        while self._stack or self._remaining:
            visited += 1
            if visited % JOBS_PER_CLOCK_CHECK == 0 and out_of_time():
                return False
            if not self._stack:
                self._stack.append(self._remaining.pop())
            self._visit(self._stack[-1])
        return True

    def _visit(self, ref: str) -> None:
        """Work out the last job of the stack, or put the dependents before it that have to be known first."""
        result = self.result
        if ref not in result:
            cancelled = self._graph.cancelled
            dependents = [dependent for dependent in self._graph.dependents(ref) if dependent not in cancelled]
            missing = [dependent for dependent in dependents if dependent not in result]
            if missing:
                self._stack.extend(missing)
                return
            result[ref] = self._combined(ref, dependents) if dependents else self._own_values(ref)
        self._stack.pop()

    def _combined(self, ref: str, dependents: list[str]) -> Inherited:
        level, due = self._own_values(ref)
        for dependent in dependents:
            inherited = self.result[dependent]
            level = max(level, inherited.level)
            if inherited.due != inf:
                due = min(due, inherited.due - self._duration(dependent))
        return Inherited(level, due)
