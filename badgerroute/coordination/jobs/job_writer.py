"""Accepts and cancels jobs at the request of users."""

import logging
from operator import attrgetter

from badgerroute.coordination.jobs.job_lookup import FinishedJob, UnknownJob, UnknownJobError
from badgerroute.coordination.jobs.job_reader import JobReader
from badgerroute.coordination.jobs.job_store import JobStore
from badgerroute.coordination.jobs.job_transaction import JobTransaction
from badgerroute.coordination.jobs.record_paging import KeyValue, RecordPager, RecordTooLargeError
from badgerroute.protocol.key_value import Compare
from badgerroute.protocol.users import Submission
from badgerroute.storage import records
from badgerroute.storage.errors import (
    CompareFailedError,
    OutcomeUnknownError,
    RequestRefusedError,
    StoreUnavailableError,
)
from badgerroute.storage.key_value_client import KeyValueClient
from badgerroute.storage.keys import FINAL_STATES, JOBS
from badgerroute.storage.operations import compare
from badgerroute.storage.rate_limiter import Urgency
from badgerroute.storage.records import FinalStateRecord, JobRecord, JobState
from badgerroute.storage.replica import Replica
from badgerroute.storage.task_ranges import TaskRange
from badgerroute.storage.transaction_batches import transaction_batches
from badgerroute.transport.loop import Loop

log = logging.getLogger(__name__)
MAX_CANCEL_ATTEMPTS = 6


class JobWriter:
    """Accepts and cancels jobs. When a method returns, its result is durably stored."""

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

    def _transaction(self) -> JobTransaction:
        return JobTransaction(self._store, self._replica, self._job_store)

    # -- accepting

    async def accept(self, job: Submission, ranges: list[TaskRange]) -> bool:
        """Store a new job with the shards that own its tasks, and return whether this call stored it.

        Returns False if the job was stored already, by this or another controller. Raises RecordTooLargeError if the
        job can never be stored, StoreUnavailableError if it was not stored, and OutcomeUnknownError if it may have been
        stored. After the last two errors the user may submit the job again.
        """
        compact = self._pager.compact(self._new_record(job, ranges))
        absent_conditions = [compare(JOBS + job.ref, 0), compare(FINAL_STATES + job.ref, 0)]
        transaction = self._transaction()
        transaction.put(JOBS + job.ref, records.write(compact.record))
        try:
            for condition in absent_conditions + await self._write_pages(compact.pages, absent_conditions):
                transaction.require(condition)
            await transaction.commit(Urgency.SUBMIT)
        except CompareFailedError:
            return False
        except OutcomeUnknownError:
            if isinstance(await self._reader.look_up(job.ref, Urgency.SUBMIT), UnknownJob):
                raise
            return False
        except RequestRefusedError as error:
            if error.by_size:
                raise  # the store client has lowered its size limit, so a repeated submission sends smaller values
            raise RecordTooLargeError(f"the state service does not take it: {error}") from None
        return True

    def _new_record(self, job: Submission, ranges: list[TaskRange]) -> JobRecord:
        if job.predecessors:
            return JobRecord(job, self._unix_time(), [], planned=ranges)
        return JobRecord(job, self._unix_time(), ranges)

    async def _write_pages(self, pages: list[KeyValue], absent_conditions: list[Compare]) -> list[Compare]:
        """Write a new job's pages, and return the conditions under which the job's record must be written.

        The pages are written before the record, so that every controller that sees the record has its pages. They are
        written only on condition that no such job exists yet. Otherwise a delayed write of a page could change the
        predecessors of an accepted job. The returned conditions require that the pages have not changed when the record
        is written: until then another controller may remove them, or overwrite them for a repeated submission with
        other predecessors.
        """
        conditions: list[Compare] = []
        for batch in transaction_batches(pages, attrgetter("size"), self._store.max_changes):
            transaction = self._transaction()
            for condition in absent_conditions:
                transaction.require(condition)
            for page in batch:
                transaction.put(page.key, page.value)
            revision = await transaction.commit(Urgency.SUBMIT)
            conditions += [compare(page.key, revision) for page in batch]
        return conditions

    # -- cancelling

    async def cancel(self, ref: str) -> JobState:
        """Cancel a job unless it has a final state already, and return its final state.

        Raises UnknownJobError if no such job was accepted, StoreUnavailableError if the job was not cancelled, and
        OutcomeUnknownError if it may have been cancelled. After the last two errors the user repeats the request,
        which looks the job up again.
        """
        with self._job_store.confirming_cancellation(ref):
            return await self._cancel(ref)

    async def _cancel(self, ref: str) -> JobState:
        for _ in range(MAX_CANCEL_ATTEMPTS):
            lookup = await self._reader.look_up(ref, Urgency.CANCEL)
            if isinstance(lookup, UnknownJob):
                raise UnknownJobError(ref)
            if isinstance(lookup, FinishedJob):
                return lookup.state
            transaction = self._transaction()
            transaction.require(compare(JOBS + ref, lookup.revision))
            transaction.finish_job(
                ref, FinalStateRecord(JobState.CANCELLED, lookup.record.job.tasks, self._unix_time())
            )
            try:
                await transaction.commit(Urgency.CANCEL)
            except CompareFailedError:
                continue  # the job's progress was written between the look-up and the commit
            log.info("event=job_cancelled job=%s", ref)
            return JobState.CANCELLED
        raise StoreUnavailableError("the job's record changed during every attempt")
