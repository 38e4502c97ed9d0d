"""Computes the priority level and the due time that jobs inherit from the downstream jobs that wait for them.

The computation runs in time slices, and its result takes effect when a pass over all jobs is complete.
"""

from collections.abc import Callable
from datetime import timedelta
from math import inf

from badgerroute.coordination.jobs.job_store import JobStore
from badgerroute.coordination.shards.job_estimates import JobEstimates
from badgerroute.scheduling.inheritance import InheritancePass, Inherited
from badgerroute.scheduling.objectives import Objectives

HEARTBEATS_BETWEEN_STAGES = 2  # heartbeats that pass between the end of a pipeline stage and the start of the next
TIME_BETWEEN_STAGES = timedelta(seconds=5)  # in addition: to record the end of a stage and to fetch an image
FINISHED = Inherited(0, inf)  # what a finished job passes on: no level and no due time


class JobInheritance:
    """Keeps `JobStore.inherited` up to date."""

    def __init__(
        self,
        *,
        job_store: JobStore,
        objectives: Objectives,
        estimates: JobEstimates,
        heartbeat_interval: timedelta,
    ) -> None:
        self._job_store, self._objectives, self._estimates = job_store, objectives, estimates
        self._between_stages = HEARTBEATS_BETWEEN_STAGES * heartbeat_interval + TIME_BETWEEN_STAGES
        self._pass: InheritancePass | None = None  # the pass in progress, if any
        self._own_cache: dict[str, Inherited] = {}

    def advance(self, time_is_up: Callable[[], bool]) -> bool:
        """Continue the pass until it is complete or the time is up. Return whether it is complete.

        The result of a complete pass takes effect at once.
        """
        if self._pass is None:
            active = self._job_store.active
            self._own_cache = {ref: own for ref, own in self._own_cache.items() if ref in active}
            self._pass = InheritancePass(self._job_store.dependencies, self._own_level_and_due, self._stage_duration)
        if not self._pass.advance(time_is_up):
            return False
        self._job_store.inherited, self._pass = self._pass.result, None
        return True

    def _own_level_and_due(self, ref: str) -> Inherited:
        """Return the level and due time that a job has regardless of its downstream jobs. They never change."""
        own = self._own_cache.get(ref)
        if own is not None:
            return own
        record = self._job_store.active.get(ref)
        if record is None:
            return FINISHED
        deadline = self._objectives.deadline(record.job)
        due = record.accepted + deadline.total_seconds() if deadline else inf
        own = self._own_cache[ref] = Inherited(record.job.priority.level, due)
        return own

    def _stage_duration(self, ref: str) -> float:
        """Return how many seconds a job will take, including the delay before its start, or 0 if it is finished."""
        record = self._job_store.active.get(ref)
        return (self._estimates.run_time(record) + self._between_stages).total_seconds() if record else 0.0
