"""Writes the leaders' progress down, in batches."""

import logging
from datetime import timedelta

from badgerroute.coordination.jobs.job_store import JobStore
from badgerroute.coordination.jobs.progress_writer import LeadershipCheck, Progress, ProgressWriter
from badgerroute.coordination.shards.forecast import JobForecast
from badgerroute.coordination.shards.shard_leader import ShardLeader
from badgerroute.storage.errors import LeaseExpiredError, OutcomeUnknownError, StoreUnavailableError
from badgerroute.transport.loop import Future, Loop

log = logging.getLogger(__name__)
FLUSH = timedelta(milliseconds=300)


class ProgressFlusher:
    """`leadership_check` is the condition under which a shard is ours."""

    def __init__(
        self,
        loop: Loop,
        leaders: dict[int, ShardLeader],
        job_store: JobStore,
        progress_writer: ProgressWriter,
        forecast: JobForecast,
        leadership_check: LeadershipCheck,
    ) -> None:
        self._loop, self._leaders, self._leadership_check = loop, leaders, leadership_check
        self._job_store, self._progress_writer, self._forecast = job_store, progress_writer, forecast
        self._wanted = Future()

    def progressed(self) -> None:
        """There is progress to be written down."""
        self._wanted.set()

    async def run(self) -> None:
        """Write progress down in batches: at once when a job may be complete, else once in a while."""
        while True:
            await self._wanted
            self._wanted = Future()
            try:
                await self._write()
            except (StoreUnavailableError, OutcomeUnknownError, LeaseExpiredError) as trouble:
                log.info("event=progress_delayed error=%s", trouble)
                self._wanted.set()
            if any(leader.progress for leader in self._leaders.values()):
                self._wanted.set()
            await self._loop.sleep(FLUSH)

    async def _write(self) -> None:
        merged: dict[str, Progress] = {}
        for leader in self._leaders.values():
            for progress in leader.batch():
                known = merged.get(progress.ref)
                if known is None:
                    merged[progress.ref] = progress
                else:
                    known.done |= progress.done
                    known.shards |= progress.shards
        if not merged:
            return

        def order(one: Progress) -> tuple[int, timedelta]:
            """Jobs that are complete come first, and of these the ones that will soon be late.

            When a thousand small jobs ended together, writing that down took two minutes, and larger ones that had been
            done in time were told done too late.
            """
            record = self._job_store.active.get(one.ref)
            if record is None:
                return 0, timedelta.max
            done = self._job_store.done(one.ref, record) | one.done
            return record.job.tasks - done.bit_count(), self._forecast.time_left(record)

        batch = sorted(merged.values(), key=order)
        await self._progress_writer.write_progress(batch, self._leadership_check)
