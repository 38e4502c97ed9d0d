"""Changes to jobs: accepting and cancelling them, and writing their progress down."""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

import msgspec

from badgerroute.coordination.jobs.job_reader import JobReader
from badgerroute.coordination.jobs.job_store import JobStore
from badgerroute.coordination.jobs.record_paging import KeyValue, RecordPager, RecordTooLargeError
from badgerroute.protocol.key_value import Compare, Put, Remove
from badgerroute.protocol.users import Submission
from badgerroute.storage import records
from badgerroute.storage.errors import (
    CompareFailedError,
    LeaseExpiredError,
    OutcomeUnknownError,
    RequestRefusedError,
    StoreUnavailableError,
)
from badgerroute.storage.key_value_client import KeyValueClient
from badgerroute.storage.keys import FINAL_STATES, JOBS
from badgerroute.storage.operations import compare, put, remove
from badgerroute.storage.rate_limiter import Urgency
from badgerroute.storage.records import FinalStateRecord, JobRecord, JobState
from badgerroute.storage.replica import Replica
from badgerroute.storage.task_ranges import TaskRange
from badgerroute.transport.loop import Loop

log = logging.getLogger(__name__)
MAX_TRANSACTION_BYTES = 40_000  # of a transaction's 64 KiB
MAX_CANCEL_TRIES = 6
MAX_PROGRESS_TRIES = 5
CHANGES_OF_AN_END = 2  # a record removed, a final state put
ANSWER_LIMIT = timedelta(milliseconds=1500)

LeadershipCheck = Callable[[int], Compare | None]


@dataclass(slots=True)
class Progress:
    """Newly done tasks of one job, as a bit set, with the shards that saw them."""

    ref: str
    done: int
    shards: set[int]


@dataclass(slots=True)
class ProgressTransaction:
    """One transaction of progress in the making."""

    conditions: dict[str, Compare] = field(default_factory=dict)
    changes: list[Put | Remove] = field(default_factory=list)
    results: list[tuple[str, bytes | None]] = field(default_factory=list)  # keys and what they hold afterwards
    completed: list[JobRecord] = field(default_factory=list)
    size: int = 0

    def require(self, condition: Compare) -> None:
        """Make the transaction conditional on a key."""
        self.conditions[condition.key] = condition

    def put(self, key: str, value: bytes) -> None:
        """Write a key."""
        self.changes.append(put(key, msgspec.Raw(value)))
        self.results.append((key, value))
        self.size += len(value)

    def remove(self, key: str) -> None:
        """Remove a key."""
        self.changes.append(remove(key))
        self.results.append((key, None))


class JobWriter:
    """Each write is conditional on what it rests on. Unknown outcomes are read back, never assumed."""

    def __init__(
        self,
        loop: Loop,
        store: KeyValueClient,
        replica: Replica,
        job_store: JobStore,
        reader: JobReader,
        pager: RecordPager,
    ) -> None:
        self._loop, self._store, self._replica = loop, store, replica
        self._job_store, self._reader, self._pager = job_store, reader, pager

    def _today(self) -> float:
        return self._loop.clock.today().timestamp()

    # -- accepting and cancelling

    async def accept(self, job: Submission, ranges: list[TaskRange]) -> bool:
        """Store a new job. False: it is known already. RecordTooLargeError: it can never be stored."""
        key, today = JOBS + job.ref, self._today()
        record = JobRecord(job, today, [], planned=ranges) if job.predecessors else JobRecord(job, today, ranges)
        compact = self._pager.compact(record)
        value = records.write(compact.record)
        absent = [compare(key, 0), compare(FINAL_STATES + job.ref, 0)]
        try:
            pages = await self._write_pages(compact.pages, absent)
            conditions = absent + pages
            applied = await self._store.transact(conditions, [put(key, value)], Urgency.SUBMIT, ANSWER_LIMIT)
        except CompareFailedError:
            return False
        except OutcomeUnknownError:
            if await self._reader.look_up(job.ref, Urgency.SUBMIT) is None:
                raise
            return False
        except RequestRefusedError as error:
            if error.by_size:
                raise  # what is sent the next time is smaller
            raise RecordTooLargeError(f"the state service does not take it: {error}") from None
        self._job_store.published(key, bytes(value), applied)
        return True

    async def _write_pages(self, pages: list[KeyValue], absent: list[Compare]) -> list[Compare]:
        """Write a new job's pages before its record, so that whoever sees that has them; conditions on these pages.

        Only as long as there is no such job: a page carried out late would change the predecessors of an accepted one.
        And the record is written only if the pages are still those: another node may have written others, for a
        repeat with another list, or have tidied them up.
        """
        conditions: list[Compare] = []
        for first in range(0, len(pages), self._store.max_changes):
            batch = pages[first : first + self._store.max_changes]
            puts = [put(page.key, page.value) for page in batch]
            applied = await self._store.transact(absent, puts, Urgency.SUBMIT, ANSWER_LIMIT)
            for page in batch:
                self._job_store.published(page.key, bytes(page.value), applied)
                conditions.append(compare(page.key, applied))
        return conditions

    async def cancel(self, ref: str) -> JobState | None:
        """The final state after a cancellation; None: nobody submitted such a job.

        After an unknown outcome the user asks again, and what is read back then tells what stands.
        """
        self._job_store.confirming(ref, True)
        try:
            return await self._cancel(ref)
        finally:
            self._job_store.confirming(ref, False)

    async def _cancel(self, ref: str) -> JobState | None:
        for _ in range(MAX_CANCEL_TRIES):
            lookup = await self._reader.look_up(ref, Urgency.CANCEL)
            if lookup is None:
                return None
            if lookup.record is None:
                return lookup.state
            final = records.write(FinalStateRecord(JobState.CANCELLED, lookup.record.job.tasks, self._today()))
            unchanged = [compare(JOBS + ref, lookup.revision)]
            changes: list[Put | Remove] = [remove(JOBS + ref), put(FINAL_STATES + ref, final)]
            try:
                applied = await self._store.transact(unchanged, changes, Urgency.CANCEL, ANSWER_LIMIT)
            except CompareFailedError:
                continue  # progress was written in between
            self._job_store.finished(ref, bytes(final), applied)
            log.info("event=job_cancelled job=%s", ref)
            return JobState.CANCELLED
        raise StoreUnavailableError("too much changes at once")

    # -- progress

    async def write_progress(self, batch: list[Progress], leadership_check: LeadershipCheck) -> None:
        """Make done tasks durable, all in one transaction; jobs that are complete move to their final state."""
        for _ in range(MAX_PROGRESS_TRIES):
            transaction = self._progress_transaction(batch, leadership_check)
            if not transaction.changes:
                return
            try:
                conditions = list(transaction.conditions.values())
                applied = await self._store.transact(conditions, transaction.changes, Urgency.COMPLETE)
            except CompareFailedError as error:
                await self._reader.refresh(error.failed)
            except OutcomeUnknownError:
                await self._reader.refresh([key for key, _ in transaction.results])
            except LeaseExpiredError:
                return
            else:
                self._progress_written(transaction, applied)
                return

    def _progress_transaction(self, batch: list[Progress], leadership_check: LeadershipCheck) -> ProgressTransaction:
        transaction = ProgressTransaction()
        for progress in batch:
            room = self._store.max_changes - len(transaction.changes)
            if transaction.size > MAX_TRANSACTION_BYTES or room < CHANGES_OF_AN_END:
                break  # what is left comes with the next write
            record = self._job_store.active.get(progress.ref)
            leaderships = [
                leadership for shard in progress.shards if (leadership := leadership_check(shard)) is not None
            ]
            if record is None or len(leaderships) < len(progress.shards):
                continue  # cancelled meanwhile, or the shard is not ours any more
            key = JOBS + progress.ref
            for condition in (*leaderships, compare(key, self._replica.revision_of(key))):
                transaction.require(condition)
            self._add_progress(transaction, progress, record, room)
        return transaction

    def _add_progress(self, transaction: ProgressTransaction, progress: Progress, record: JobRecord, room: int) -> None:
        key = JOBS + progress.ref
        known = self._job_store.done(progress.ref, record)
        done = known | progress.done
        if done.bit_count() >= record.job.tasks:
            final = records.write(FinalStateRecord(JobState.DONE, record.job.tasks, self._today()))
            transaction.remove(key)
            transaction.put(FINAL_STATES + progress.ref, bytes(final))
            transaction.completed.append(record)
        elif done != known:
            for change in self._pager.progress(progress.ref, record, known, done)[:room]:
                if change.key != key:
                    transaction.require(compare(change.key, self._replica.revision_of(change.key)))
                transaction.put(change.key, bytes(change.value))

    def _progress_written(self, transaction: ProgressTransaction, revision: int) -> None:
        for record in transaction.completed:
            took = self._today() - record.accepted
            log.info("event=job_completed job=%s class=%s took=%.1f", record.job.ref, record.job.job_class, took)
        for key, value in transaction.results:
            self._job_store.published(key, value, revision)
