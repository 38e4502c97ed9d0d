"""Writes the progress of jobs in all shards of this controller to the key-value store, in batches."""

import logging
from collections.abc import Mapping
from datetime import timedelta

from badgerroute.coordination.jobs.job_store import JobStore
from badgerroute.coordination.jobs.progress_writer import LeadershipCondition, Progress, ProgressWriter
from badgerroute.coordination.shards.forecast import JobForecast
from badgerroute.coordination.shards.shard_leader import ShardLeader
from badgerroute.storage.errors import LeaseExpiredError, OutcomeUnknownError, StoreUnavailableError
from badgerroute.transport.loop import Future, Loop

log = logging.getLogger(__name__)
FLUSH_INTERVAL = timedelta(milliseconds=300)


class ProgressFlusher:
    """Merges the progress of each job over the shards of this controller, and writes it.

    `leadership_condition` returns, for a shard, a write condition that holds only while this controller leads it.
    """

    def __init__(
        self,
        *,
        loop: Loop,
        leaders: Mapping[int, ShardLeader],
        job_store: JobStore,
        progress_writer: ProgressWriter,
        forecast: JobForecast,
        leadership_condition: LeadershipCondition,
    ) -> None:
        self._loop, self._leaders, self._leadership_condition = loop, leaders, leadership_condition
        self._job_store, self._progress_writer, self._forecast = job_store, progress_writer, forecast
        self._requested = Future()

    def request_flush(self) -> None:
        """Request a write. Called when a shard has new progress."""
        self._requested.set()

    async def run(self) -> None:
        """Write the progress that the shards return, in batches, until the task is cancelled."""
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
        merged = self._merge_progress()
        if merged:
            batch = sorted(merged.values(), key=self._write_order)
            await self._progress_writer.write_progress(batch, self._leadership_condition)

    def _merge_progress(self) -> dict[str, Progress]:
        """Return the progress to write now, by job. Progress of the same job in several shards is combined."""
        merged: dict[str, Progress] = {}
        for leader in self._leaders.values():
            for progress in leader.take_progress():
                existing = merged.get(progress.ref)
                if existing is None:
                    merged[progress.ref] = progress
                else:
                    existing.done |= progress.done
                    existing.shards |= progress.shards
        return merged

    def _write_order(self, progress: Progress) -> tuple[int, timedelta]:
        """Return the sort key of a write: fewest unfinished tasks first, then the least time until the job is due.

        Complete jobs thus come first, and of these the one that is due next. Writing a thousand small jobs that end
        together may take minutes. A larger job that was done in time must not be recorded as late because it waits for
        these writes.
        """
        record = self._job_store.active.get(progress.ref)
        if record is None:
            return 0, timedelta.max
        done = self._job_store.done_tasks(progress.ref, record) | progress.done
        return record.job.tasks - done.bit_count(), self._forecast.time_until_due(record)
