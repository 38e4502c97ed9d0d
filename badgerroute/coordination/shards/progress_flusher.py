"""Writes the progress of all leaders' jobs to the key-value store, in batches."""

import logging
from collections.abc import Mapping
from datetime import timedelta

from badgerroute.coordination.jobs.job_store import JobStore
from badgerroute.coordination.jobs.progress_writer import LeadershipCheck, Progress, ProgressWriter
from badgerroute.coordination.shards.forecast import JobForecast
from badgerroute.coordination.shards.shard_leader import ShardLeader
from badgerroute.storage.errors import LeaseExpiredError, OutcomeUnknownError, StoreUnavailableError
from badgerroute.transport.loop import Future, Loop

log = logging.getLogger(__name__)
FLUSH_INTERVAL = timedelta(milliseconds=300)


class ProgressFlusher:
    """Merges the progress of the shards that one job lies in, and writes it.

    `leadership_check` is the condition under which a shard is ours.
    """

    def __init__(
        self,
        *,
        loop: Loop,
        leaders: Mapping[int, ShardLeader],
        job_store: JobStore,
        progress_writer: ProgressWriter,
        forecast: JobForecast,
        leadership_check: LeadershipCheck,
    ) -> None:
        self._loop, self._leaders, self._leadership_check = loop, leaders, leadership_check
        self._job_store, self._progress_writer, self._forecast = job_store, progress_writer, forecast
        self._requested = Future()

    def progressed(self) -> None:
        """There is progress to be written."""
        self._requested.set()

    async def run(self) -> None:
        """Write progress in batches: at once when a job may be complete, else once in a while."""
        while True:
            await self._requested
            self._requested = Future()
            try:
                await self._write()
            except (StoreUnavailableError, OutcomeUnknownError, LeaseExpiredError) as error:
                log.info("event=progress_delayed error=%s", error)
                self._requested.set()
            if any(leader.has_progress() for leader in self._leaders.values()):
                self._requested.set()
            await self._loop.sleep(FLUSH_INTERVAL)

    async def _write(self) -> None:
        merged = self._merged()
        if merged:
            batch = sorted(merged.values(), key=self._order)
            await self._progress_writer.write_progress(batch, self._leadership_check)

    def _merged(self) -> dict[str, Progress]:
        """The progress to write now, by job: tasks of one job may be done in several of our shards."""
        merged: dict[str, Progress] = {}
        for leader in self._leaders.values():
            for progress in leader.take_progress():
                earlier = merged.get(progress.ref)
                if earlier is None:
                    merged[progress.ref] = progress
                else:
                    earlier.done |= progress.done
                    earlier.shards |= progress.shards
        return merged

    def _order(self, progress: Progress) -> tuple[int, timedelta]:
        """Jobs that are complete come first, and of these the ones that will soon be late.

        Writing a thousand small jobs that end together may take minutes: larger ones that were done in time must not
        be recorded as done too late.
        """
        record = self._job_store.active.get(progress.ref)
        if record is None:
            return 0, timedelta.max
        done = self._job_store.done(progress.ref, record) | progress.done
        return record.job.tasks - done.bit_count(), self._forecast.time_left(record)
