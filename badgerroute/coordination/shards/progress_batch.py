"""Progress of one shard's jobs that is yet to be written to the key-value store."""

from collections.abc import Callable
from datetime import timedelta

from badgerroute.coordination.jobs.progress_writer import Progress
from badgerroute.scheduling.shard import Shard
from badgerroute.transport.loop import Loop

PARTIAL_INTERVAL = timedelta(seconds=3)  # between two writes of a job's progress, unless it may be complete


class ProgressBatch:
    """Collects jobs with newly done tasks; `progressed` is called when there are some more."""

    def __init__(self, *, shard: Shard, loop: Loop, progressed: Callable[[], None]) -> None:
        self._shard, self._loop, self._progressed = shard, loop, progressed
        self._jobs: set[str] = set()

    def add(self, jobs: set[str]) -> None:
        """Note jobs of which tasks are newly done."""
        self._jobs |= jobs
        self._progressed()

    def pending(self) -> bool:
        """Whether anything is yet to be written."""
        return bool(self._jobs)

    def take(self) -> list[Progress]:
        """The progress to write now: at once if it may complete a job, else once in a while."""
        batch = []
        now = self._loop.now()
        for ref in list(self._jobs):
            job = self._shard.jobs.get(ref)
            if job is None or not job.done_here:
                self._jobs.discard(ref)
                continue
            last = not job.owned & ~(job.done | job.done_here)
            if last or now - job.written >= PARTIAL_INTERVAL:
                job.written = now
                batch.append(Progress(ref, job.done_here, {self._shard.number}))
        return batch
