"""Progress of one shard's jobs that has not been written to the key-value store yet."""

from collections.abc import Callable
from datetime import timedelta

from badgerroute.coordination.jobs.progress_writer import Progress
from badgerroute.scheduling.shard import Shard
from badgerroute.transport.loop import Loop

# Minimum time between two writes of a job's progress. Progress that may complete the job is written at once.
PARTIAL_WRITE_INTERVAL = timedelta(seconds=3)


class ProgressBatch:
    """Collects jobs with newly done tasks and calls `request_flush` each time jobs are added."""

    def __init__(self, *, shard: Shard, loop: Loop, request_flush: Callable[[], None]) -> None:
        self._shard, self._loop, self._request_flush = shard, loop, request_flush
        self._jobs: set[str] = set()

    def add(self, jobs: set[str]) -> None:
        """Add jobs that have newly done tasks."""
        self._jobs |= jobs
        self._request_flush()

    def pending(self) -> bool:
        """Return whether any progress has not been written yet."""
        return bool(self._jobs)

    def take(self) -> list[Progress]:
        """Return the progress to write now.

        Progress that may complete a job is returned at once. A job's other progress is returned at most once per
        PARTIAL_WRITE_INTERVAL.
        """
        batch = []
        now = self._loop.now()
        for ref in list(self._jobs):
            job = self._shard.jobs.get(ref)
            if job is None or not job.done_here:
                self._jobs.discard(ref)
                continue
            may_complete = not job.owned & ~(job.done | job.done_here)
            if may_complete or now - job.progress_written_at >= PARTIAL_WRITE_INTERVAL:
                job.progress_written_at = now
                batch.append(Progress(ref, job.done_here, {self._shard.number}))
        return batch
