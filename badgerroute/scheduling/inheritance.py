"""Priority and deadline inheritance: upstream jobs inherit levels and due times from their downstream jobs.

A job is scheduled at the highest of its own level and the levels of its dependents. It is due at the earliest of its
own due time and, for each dependent, the dependent's due time less the dependent's expected duration. With thousands
of waiting jobs, computing this takes longer than one scheduling round may. So the computation is done in slices, each
of which resumes where the previous one stopped.
"""

from collections.abc import Callable
from math import inf
from typing import NamedTuple

from badgerroute.scheduling.dependencies import Dependencies

JOBS_PER_CLOCK_CHECK = 16  # jobs visited between two checks of the time limit


class Inherited(NamedTuple):
    """The level at which a job is scheduled, and the wall-clock time by which it should be done."""

    level: int
    due: float


class InheritancePass:
    """One computation of the inherited values of all jobs that other jobs wait for.

    `own_values` returns a job's level and due time before inheritance, `duration` its expected duration in seconds.
    """

    def __init__(
        self, graph: Dependencies, own_values: Callable[[str], Inherited], duration: Callable[[str], float]
    ) -> None:
        self._graph, self._own_values, self._duration = graph, own_values, duration
        self._remaining = graph.predecessors()
        self._stack: list[str] = []  # an explicit stack instead of recursion, since chains may be long
        self.result: dict[str, Inherited] = {}

    def advance(self, out_of_time: Callable[[], bool]) -> bool:
        """Continue the pass until `out_of_time` returns true. Return whether the pass is complete."""
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
        """Compute the values of the job on top of the stack, or push the dependents whose values are needed first."""
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
