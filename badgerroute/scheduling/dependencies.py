"""The dependency graph of jobs: which jobs are released, and which are cancelled because a predecessor was cancelled.

A job is released, that is, may be scheduled, once all its predecessors are done. All results are derived from final
states, which are durable and never change. So every controller reaches the same result at any time, also after a
failover. Nothing is counted, so no counter can become wrong.
"""

from collections.abc import Callable, Container, Iterable, Iterator
from dataclasses import dataclass

from badgerroute.storage.records import JobState


@dataclass(frozen=True, slots=True)
class FinalState:
    """How a job ended, the wall-clock time at which it ended, and the revision at which its final state was stored."""

    state: JobState
    reached: float
    revision: int = 0


FinalStateOf = Callable[[str], FinalState | None]  # a job's final state, or None if it is not known


class Dependencies:
    """Tracks unfinished jobs and their predecessors.

    `final` returns the known final state of a job. For each job, at most one of the callbacks `released` and
    `cancelled` is called, and only once: `released` when all its predecessors are done, `cancelled` when one of them is
    cancelled.
    """

    def __init__(self, final: FinalStateOf, released: Callable[[str], None], cancelled: Callable[[str], None]) -> None:
        self._final, self._released, self._cancelled = final, released, cancelled
        self._predecessors: dict[str, tuple[str, ...]] = {}  # unfinished job -> its predecessors
        self._unfinished_predecessors: dict[str, set[str]] = {}  # waiting job -> predecessors not known to be done
        self._released_at: dict[str, float] = {}  # unfinished job -> latest completion of a predecessor so far
        self._dependents: dict[str, dict[str, None]] = {}  # predecessor -> unfinished jobs that wait for it
        self.cancelled: set[str] = set()  # unfinished jobs that are cancelled because a predecessor was

    def add(self, ref: str, predecessors: Iterable[str]) -> None:
        """Add an unfinished job and the jobs that it waits for."""
        if ref in self._predecessors:
            return
        self._predecessors[ref] = unique_predecessors = tuple(dict.fromkeys(predecessors))
        self._released_at[ref] = 0.0
        self._unfinished_predecessors[ref] = unfinished = set()
        any_cancelled = False
        for predecessor in unique_predecessors:
            final = self._final(predecessor)
            if predecessor in self.cancelled or (final is not None and final.state is JobState.CANCELLED):
                any_cancelled = True
            elif final is None:
                unfinished.add(predecessor)
                self._dependents.setdefault(predecessor, {})[ref] = None
            else:
                self._released_at[ref] = max(self._released_at[ref], final.reached)
        if any_cancelled:
            self._cancel_downstream(ref)
        elif not unfinished:
            del self._unfinished_predecessors[ref]
            self._released(ref)

    def remove(self, ref: str) -> None:
        """Remove a job that has a final state or no longer exists."""
        for predecessor in self._predecessors.pop(ref, ()):
            self._remove_dependent(predecessor, ref)
        self._unfinished_predecessors.pop(ref, None)
        self._released_at.pop(ref, None)
        self.cancelled.discard(ref)

    def _remove_dependent(self, predecessor: str, ref: str) -> None:
        dependents = self._dependents.get(predecessor)
        if dependents is not None:
            dependents.pop(ref, None)
            if not dependents:
                del self._dependents[predecessor]

    def finished(self, ref: str, final: FinalState) -> None:
        """Update the dependents of a job whose final state has been stored."""
        for dependent in list(self._dependents.get(ref, ())):
            if final.state is JobState.CANCELLED:
                self._cancel_downstream(dependent)
                continue
            self._remove_dependent(ref, dependent)
            unfinished = self._unfinished_predecessors.get(dependent)
            if unfinished is None:
                continue
            unfinished.discard(ref)
            self._released_at[dependent] = max(self._released_at[dependent], final.reached)
            if not unfinished and dependent not in self.cancelled:
                del self._unfinished_predecessors[dependent]
                self._released(dependent)

    def _cancel_downstream(self, ref: str) -> None:
        """Cancel a job and all its dependents. Not recursive, since chains may be long."""
        queue = [ref]
        while queue:
            current = queue.pop()
            if current in self.cancelled or current not in self._predecessors:
                continue
            self.cancelled.add(current)
            queue.extend(self._dependents.get(current, ()))
            self._cancelled(current)

    def waits(self, ref: str) -> bool:
        """Whether some predecessor of a job is not known to be done. Until all are done, the job is not scheduled."""
        return ref in self._unfinished_predecessors

    def waits_for(self, ref: str) -> Iterable[str]:
        """The predecessors of a job that are not known to be done."""
        return self._unfinished_predecessors.get(ref, ())

    def released_at(self, ref: str) -> float:
        """The wall-clock time at which a job's latest predecessor was done, or 0.0 if none is known to be done."""
        return self._released_at.get(ref, 0.0)

    def predecessors(self) -> list[str]:
        """The jobs that unfinished jobs wait for."""
        return list(self._dependents)

    def dependents(self, ref: str) -> Iterable[str]:
        """The unfinished jobs that wait for a job."""
        return self._dependents.get(ref, ())

    def unknown(self, unfinished: Container[str]) -> list[str]:
        """The predecessors whose state is not known: they are not in `unfinished` and have no known final state."""
        return [ref for ref in self._dependents if ref not in unfinished]

    def unknown_ancestors(self, ref: str, unfinished: Container[str]) -> Iterator[str]:
        """Yield the jobs of unknown state (see `unknown`) that a job waits for, directly or indirectly."""
        seen, queue = {ref}, [ref]
        while queue:
            for predecessor in self._unfinished_predecessors.get(queue.pop(), ()):
                if predecessor in seen:
                    continue
                seen.add(predecessor)
                if predecessor in unfinished:
                    queue.append(predecessor)
                else:
                    yield predecessor
