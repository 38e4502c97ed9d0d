"""Background task that writes the final states of jobs that are cancelled because a predecessor is cancelled.

Any controller can resume this work from the stored records alone. Each write is conditional on an unchanged job record,
so several controllers may attempt it at the same time.
"""

import logging
from collections.abc import Container
from datetime import timedelta
from typing import Protocol

from badgerroute.coordination.jobs.job_store import JobStore
from badgerroute.coordination.jobs.job_transaction import WRITE_ERRORS, JobTransaction
from badgerroute.storage.key_value_client import KeyValueClient
from badgerroute.storage.keys import JOBS
from badgerroute.storage.rate_limiter import Urgency
from badgerroute.storage.records import FinalStateRecord, JobRecord, JobState
from badgerroute.storage.replica import Replica
from badgerroute.transport.clock import ZERO
from badgerroute.transport.loop import Loop

log = logging.getLogger(__name__)
INTERVAL = timedelta(milliseconds=200)
RETRY_PAUSE = 2 * INTERVAL
# A controller that does not lead the shard of a job's first tasks waits at least this long before it writes the job's
# final state.
NON_LEADER_DELAY = timedelta(seconds=3)
CHANGES_PER_JOB = 2  # the record is removed and the final state is put


class ShardLeaderships(Protocol):
    """Tells which shards this controller leads."""

    @property
    def leaderships(self) -> Container[int]:
        """The numbers of the shards that this controller leads."""


class DownstreamCancellation:
    """Cancels the jobs downstream of cancelled jobs.

    The leader of the shard that owns a job's first tasks writes the final state at once. Every other controller
    does so after a delay that depends on its home shard, so that the writes do not conflict.
    """

    def __init__(
        self,
        *,
        loop: Loop,
        store: KeyValueClient,
        replica: Replica,
        job_store: JobStore,
        leadership_state: ShardLeaderships,
        home_shard: int,
    ) -> None:
        self._loop, self._store, self._replica, self._job_store = loop, store, replica, job_store
        self._leadership_state = leadership_state
        self._non_leader_delay = NON_LEADER_DELAY + home_shard * NON_LEADER_DELAY / 3
        # Cancelled job whose record still exists -> when this controller first saw that the job is cancelled.
        self._cancelled_since: dict[str, timedelta] = {}

    async def run(self) -> None:
        """Write due final states in an endless loop."""
        while True:
            await self._loop.sleep(INTERVAL)
            due = self._jobs_due()
            while due:
                batch_size = max(1, self._store.max_changes // CHANGES_PER_JOB)
                batch, due = due[:batch_size], due[batch_size:]
                try:
                    await self._cancel(batch)
                except WRITE_ERRORS as error:
                    log.info("event=cancellation_delayed jobs=%d error=%s", len(batch), error)
                    await self._loop.sleep(RETRY_PAUSE)
                    break

    def _jobs_due(self) -> list[str]:
        now, cancelled = self._loop.now(), self._job_store.dependencies.cancelled
        self._cancelled_since = {ref: self._cancelled_since.get(ref, now) for ref in cancelled}
        return [ref for ref, first_seen in self._cancelled_since.items() if now - first_seen >= self._write_delay(ref)]

    def _write_delay(self, ref: str) -> timedelta:
        record = self._job_store.active.get(ref)
        if (
            record is not None
            and record.assigned_ranges
            and record.assigned_ranges[0].shard in self._leadership_state.leaderships
        ):
            return ZERO
        return self._non_leader_delay

    async def _cancel(self, refs: list[str]) -> None:
        jobs = self._unfinished(refs)
        if not jobs:
            return
        finished_at = self._loop.clock.today().timestamp()
        transaction = JobTransaction(self._store, self._replica, self._job_store)
        for ref, record in jobs.items():
            transaction.require_unchanged(JOBS + ref)
            transaction.finish_job(ref, FinalStateRecord(JobState.CANCELLED, record.job.tasks, finished_at))
        await transaction.commit(Urgency.COMPLETE)
        log.info("event=downstream_jobs_cancelled jobs=%s", ",".join(jobs))

    def _unfinished(self, refs: list[str]) -> dict[str, JobRecord]:
        """Return the records of the given jobs that still have a record in the replica."""
        return {
            ref: record
            for ref in refs
            if (record := self._job_store.active.get(ref)) is not None and self._replica.revision_of(JOBS + ref)
        }
