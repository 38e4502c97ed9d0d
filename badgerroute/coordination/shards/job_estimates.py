"""Estimates how long jobs run, from past runs in the shards that this controller leads, and when jobs are due."""

from collections.abc import Mapping
from datetime import timedelta

from badgerroute.coordination.jobs.job_store import JobStore
from badgerroute.coordination.shards.shard_leader import ShardLeader
from badgerroute.scheduling import delay_scheduling
from badgerroute.scheduling.model import ZERO
from badgerroute.scheduling.objectives import Objectives
from badgerroute.storage.records import JobRecord
from badgerroute.transport.loop import Loop


class JobEstimates:
    """Makes estimates for all jobs, including those with no task in a shard that this controller leads."""

    def __init__(
        self, *, loop: Loop, job_store: JobStore, leaders: Mapping[int, ShardLeader], objectives: Objectives
    ) -> None:
        self._loop, self._job_store, self._leaders, self._objectives = loop, job_store, leaders, objectives

    def seconds_since_epoch(self) -> float:
        """Return the current time in seconds since 1970, as in stored records."""
        return self._loop.clock.today().timestamp()

    def run_time(self, record: JobRecord) -> timedelta:
        """Return how long one of a job's tasks should run.

        The user's estimate is corrected by past runs of jobs of the same class in the shards that this controller
        leads.
        """
        correction = 1.0
        for leader in self._leaders.values():
            correction = leader.shard.estimates.correction(record.job.job_class)
            job = leader.shard.jobs.get(record.job.ref)
            if job is not None:
                return delay_scheduling.run_time(job, correction)
        return timedelta(seconds=record.job.estimate_s * correction)

    def times_until_due(self, record: JobRecord, age: timedelta) -> list[timedelta]:
        """Return the time left until each due time of a job of the given age; negative for due times in the past."""
        arrival = self._job_store.effective_arrival(record.job.ref, record)
        held_back = timedelta(seconds=arrival - record.accepted)
        return [due - age for due in self._objectives.due(record.job, held_back)]

    def time_until_due(self, record: JobRecord) -> timedelta:
        """Return the time until the job's next due time, or `timedelta.max` if it has none."""
        arrival = self._job_store.effective_arrival(record.job.ref, record)
        age = timedelta(seconds=self.seconds_since_epoch() - arrival)
        return min((time for time in self.times_until_due(record, age) if time > ZERO), default=timedelta.max)
