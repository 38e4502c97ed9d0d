"""What jobs take over from those that need them, worked out in slices and put in force pass by pass."""

from collections.abc import Callable
from datetime import timedelta
from math import inf

from badgerroute.coordination.jobs.job_store import JobStore
from badgerroute.coordination.shards.job_estimates import JobEstimates
from badgerroute.scheduling.inheritance import InheritancePass, Inherited
from badgerroute.scheduling.objectives import Objectives

HEARTBEATS_BETWEEN_STAGES = 2  # that pass between the end of a stage and the start of the next
TIME_BETWEEN_STAGES = timedelta(seconds=5)  # for what else passes: writing the end down, an image to fetch
FINISHED = Inherited(0, inf)  # what is taken over from a job that is over


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
        self._pass: InheritancePass | None = None  # under way
        self._own_values: dict[str, Inherited] = {}

    def advance(self, is_over: Callable[[], bool]) -> bool:
        """Go on with the pass until the time is up; whether it is complete, and its result in force."""
        if self._pass is None:
            active = self._job_store.active
            self._own_values = {ref: own for ref, own in self._own_values.items() if ref in active}
            self._pass = InheritancePass(self._job_store.dependencies, self._own, self._stage_duration)
        if not self._pass.advance(is_over):
            return False
        self._job_store.inherited, self._pass = self._pass.result, None
        return True

    def _own(self, ref: str) -> Inherited:
        """What a job would have without dependents, which never changes."""
        own = self._own_values.get(ref)
        if own is not None:
            return own
        record = self._job_store.active.get(ref)
        if record is None:
            return FINISHED
        deadline = self._objectives.deadline(record.job)
        due = record.accepted + deadline.total_seconds() if deadline else inf
        own = self._own_values[ref] = Inherited(record.job.priority.level, due)
        return own

    def _stage_duration(self, ref: str) -> float:
        """How many seconds a stage should take, with what passes before it starts."""
        record = self._job_store.active.get(ref)
        return (self._estimates.run_time(record) + self._between_stages).total_seconds() if record else 0.0
