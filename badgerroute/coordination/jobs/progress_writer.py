"""Writes the progress of jobs to the key-value store: done tasks, and the final state once all tasks are done."""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field

from badgerroute.coordination.jobs.job_reader import JobReader
from badgerroute.coordination.jobs.job_store import JobStore
from badgerroute.coordination.jobs.job_transaction import JobTransaction
from badgerroute.coordination.jobs.record_paging import RecordPager
from badgerroute.protocol.key_value import Compare
from badgerroute.storage.errors import CompareFailedError, LeaseExpiredError, OutcomeUnknownError
from badgerroute.storage.key_value_client import KeyValueClient
from badgerroute.storage.keys import JOBS
from badgerroute.storage.rate_limiter import Urgency
from badgerroute.storage.records import FinalStateRecord, JobRecord, JobState
from badgerroute.storage.replica import Replica
from badgerroute.storage.transaction_batches import MAX_TRANSACTION_VALUE_BYTES
from badgerroute.transport.loop import Loop

log = logging.getLogger(__name__)
MAX_PROGRESS_ATTEMPTS = 5
CHANGES_PER_COMPLETED_JOB = 2  # the record is removed and the final state is put

# Takes a shard. Returns a condition that makes a transaction fail unless this controller still leads the shard, or None
# if this controller does not lead the shard now.
LeadershipCondition = Callable[[int], Compare | None]


@dataclass(slots=True)
class Progress:
    """Newly done tasks of one job, as a bit set, and the shards that reported them."""

    ref: str
    done: int
    shards: set[int]


@dataclass(slots=True)
class ProgressTransaction:
    """A transaction that writes progress, and the jobs that it completes."""

    transaction: JobTransaction
    completed: list[JobRecord] = field(default_factory=list)


class ProgressWriter:
    """Writes progress on behalf of the shard leaders of this controller."""

    def __init__(
        self,
        *,
        loop: Loop,
        store: KeyValueClient,
        replica: Replica,
        job_store: JobStore,
        reader: JobReader,
        pager: RecordPager,
    ) -> None:
        self._loop, self._store, self._replica = loop, store, replica
        self._job_store, self._reader, self._pager = job_store, reader, pager

    def _unix_time(self) -> float:
        return self._loop.clock.today().timestamp()

    async def write_progress(self, batch: list[Progress], leadership_condition: LeadershipCondition) -> None:
        """Write done tasks and completed jobs in one transaction. Progress that does not fit is not written.

        Raises StoreUnavailableError if nothing was written. Each shard leader keeps its progress until it is stored,
        and passes unwritten progress again in the next call.
        """
        for _ in range(MAX_PROGRESS_ATTEMPTS):
            pending = self._transaction(batch, leadership_condition)
            if not len(pending.transaction):
                return
            try:
                await pending.transaction.commit(Urgency.COMPLETE)
            except CompareFailedError as error:
                await self._reader.refresh(error.failed)
            except OutcomeUnknownError:
                await self._reader.refresh(pending.transaction.keys)
            except LeaseExpiredError:
                return
            else:
                self._log_completed(pending.completed)
                return

    def _transaction(self, batch: list[Progress], leadership_condition: LeadershipCondition) -> ProgressTransaction:
        transaction = JobTransaction(self._store, self._replica, self._job_store)
        pending = ProgressTransaction(transaction)
        for progress in batch:
            remaining_changes = self._store.max_changes - len(transaction)
            if transaction.value_bytes > MAX_TRANSACTION_VALUE_BYTES or remaining_changes < CHANGES_PER_COMPLETED_JOB:
                break
            record = self._job_store.active.get(progress.ref)
            conditions = [leadership_condition(shard) for shard in progress.shards]
            leadership_conditions = [condition for condition in conditions if condition is not None]
            if record is None or len(leadership_conditions) < len(progress.shards):
                continue  # the job was cancelled meanwhile, or another controller leads the shard now
            for condition in leadership_conditions:
                transaction.require(condition)
            transaction.require_unchanged(JOBS + progress.ref)
            self._add_progress(pending, progress, record, remaining_changes)
        return pending

    def _add_progress(
        self, pending: ProgressTransaction, progress: Progress, record: JobRecord, remaining_changes: int
    ) -> None:
        transaction = pending.transaction
        stored_done = self._job_store.done_tasks(progress.ref, record)
        done = stored_done | progress.done
        if done.bit_count() >= record.job.tasks:
            final = FinalStateRecord(JobState.DONE, record.job.tasks, self._unix_time())
            transaction.finish_job(progress.ref, final)
            pending.completed.append(record)
        elif done != stored_done:
            for change in self._pager.progress_writes(progress.ref, record, stored_done, done)[:remaining_changes]:
                if change.key != JOBS + progress.ref:
                    transaction.require_unchanged(change.key)
                transaction.put(change.key, change.value)

    def _log_completed(self, completed: list[JobRecord]) -> None:
        for record in completed:
            duration = self._unix_time() - record.accepted
            log.info("event=job_completed job=%s class=%s took=%.1f", record.job.ref, record.job.job_class, duration)
