"""Applies stored records of jobs, as the replica reports them, to the state of a shard in memory."""

from datetime import timedelta

from badgerroute.coordination.jobs.job_store import JobStore
from badgerroute.scheduling.model import ZERO
from badgerroute.scheduling.shard import Shard
from badgerroute.transport.loop import Loop


class JobSync:
    """Keeps the jobs of one shard up to date.

    `window`: a job may start tasks only up to this many task numbers beyond its first unfinished task.
    """

    def __init__(self, *, shard: Shard, loop: Loop, job_store: JobStore, window: int) -> None:
        self._shard, self._loop, self._job_store, self._window = shard, loop, job_store, window

    def job_changed(self, ref: str) -> None:
        """Apply a job's record that was created, changed or removed."""
        record = self._job_store.active.get(ref)
        if record is None:
            self._shard.drop_job(ref)
            return
        if self._job_store.waits_for_predecessors(ref):
            return  # wait until this controller itself learns that the job was released
        now = self._loop.now()
        arrival = self._job_store.effective_arrival(ref, record)
        age = timedelta(seconds=self._loop.clock.today().timestamp() - arrival)
        held_back = timedelta(seconds=arrival - record.accepted)
        done = self._job_store.done_tasks(ref, record)
        job = self._shard.add_job(record, now - max(ZERO, age), self._window, now, done, held_back)
        if job is not None:
            job.arrived_at = arrival
            self._shard.set_level(job, self._job_store.effective_level(ref))
