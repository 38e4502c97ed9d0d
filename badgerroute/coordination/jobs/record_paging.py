"""Keeps job records within the size limit of a value by moving data that does not fit to further keys, called pages."""

import logging
from collections.abc import Container
from dataclasses import dataclass
from operator import attrgetter

import msgspec

from badgerroute.coordination.jobs.job_store import JobStore
from badgerroute.coordination.jobs.job_transaction import WRITE_ERRORS, JobTransaction
from badgerroute.coordination.jobs.page_index import page_key
from badgerroute.protocol.users import Submission
from badgerroute.storage import records
from badgerroute.storage.bitset import PAGE_TASKS, pack, page_of
from badgerroute.storage.errors import StoreUnavailableError
from badgerroute.storage.key_value_client import KeyValueClient
from badgerroute.storage.keys import DONE, JOBS, PREDECESSORS
from badgerroute.storage.operations import compare
from badgerroute.storage.rate_limiter import Urgency
from badgerroute.storage.records import DonePage, JobRecord, PredecessorsPage
from badgerroute.storage.replica import Replica
from badgerroute.storage.transaction_batches import transaction_batches

log = logging.getLogger(__name__)
MAX_PREDECESSORS = 1000
CONDITIONS_PER_NEW_JOB = 2  # the job must have no record yet, and no final state
# Must be the same in all controllers, since any of them may write a page of a repeated submission.
PREDECESSORS_PER_PAGE = 24


class RecordTooLargeError(Exception):
    """A job can never be stored. The text is sent to the user, who may submit a smaller job."""


@dataclass(frozen=True, slots=True)
class KeyValue:
    """A key and the value to write to it."""

    key: str
    value: msgspec.Raw

    @property
    def size(self) -> int:
        """The size of the value, in bytes."""
        return len(bytes(self.value))


@dataclass(frozen=True, slots=True)
class CompactRecord:
    """A record that fits the size limit, and pages with the data that did not fit into it."""

    record: JobRecord
    pages: list[KeyValue]


class RecordPager:
    """Splits large records into a record and pages. `known_types` are the names of the machine types in the cloud."""

    def __init__(
        self, store: KeyValueClient, replica: Replica, job_store: JobStore, known_types: Container[str]
    ) -> None:
        self._store, self._replica, self._job_store, self._known_types = store, replica, job_store, known_types

    def fits(self, record: JobRecord) -> bool:
        """Return whether a record fits the current size limit of a value."""
        return len(bytes(records.write(record))) <= self._store.max_value_bytes

    @property
    def max_predecessors(self) -> int:
        """The number of predecessors that a job may have.

        It is limited because the transaction that writes the record has one condition for each page of predecessors.
        """
        return min(MAX_PREDECESSORS, PREDECESSORS_PER_PAGE * (self._store.max_conditions - CONDITIONS_PER_NEW_JOB))

    def compact(self, record: JobRecord) -> CompactRecord:
        """Return a new job's record, with its predecessors in pages if they do not fit into the record.

        Raises RecordTooLargeError if the record exceeds the size limit that the key-value store announces, and
        StoreUnavailableError if it exceeds only the lower limit that applies while the store refuses large values.
        """
        pages: list[KeyValue] = []
        if record.job.predecessors and not self.fits(record):
            pages = self._predecessor_pages(record.job)
            job = msgspec.structs.replace(record.job, predecessors=None)
            record = msgspec.structs.replace(record, job=job, pages=len(pages))
        record = self._without_unknown_types(record)
        largest_bytes = max([len(bytes(records.write(record))), *(page.size for page in pages)])
        if largest_bytes > self._store.announced_value_bytes:
            raise RecordTooLargeError(f"its description takes {largest_bytes} bytes, too many to be stored")
        if largest_bytes > self._store.max_value_bytes:
            raise StoreUnavailableError("the state service refuses values that large now")
        return CompactRecord(record, pages)

    @staticmethod
    def _predecessor_pages(job: Submission) -> list[KeyValue]:
        refs = list(dict.fromkeys(job.predecessors or ()))
        batches = [refs[first : first + PREDECESSORS_PER_PAGE] for first in range(0, len(refs), PREDECESSORS_PER_PAGE)]
        return [
            KeyValue(page_key(PREDECESSORS, job.ref, page_number), records.write(PredecessorsPage(batch)))
            for page_number, batch in enumerate(batches)
        ]

    def _without_unknown_types(self, record: JobRecord) -> JobRecord:
        """Return the record without machine types that the cloud does not have, if it is too large with them."""
        types = [name for name in record.job.types or () if name in self._known_types]
        if not types or self.fits(record):
            return record
        return msgspec.structs.replace(record, job=msgspec.structs.replace(record.job, types=types))

    def progress_writes(self, ref: str, record: JobRecord, stored_done: int, done: int) -> list[KeyValue]:
        """Return the writes that extend the stored done tasks from `stored_done` to `done`, both of which are bit sets.

        This is one write of the record, or writes of pages if the record would become too large.
        """
        updated = record.with_done(done)
        if self.fits(updated):
            return [KeyValue(JOBS + ref, records.write(updated))]
        new_done, paged_done = done & ~stored_done, self._job_store.pages.done(ref)
        pages = []
        for page_number in range(self._done_page_count(record)):
            bits = page_of(new_done, page_number)
            if bits:
                pages.append(self._done_page(ref, page_number, page_of(paged_done, page_number) | bits))
        return pages

    @staticmethod
    def _done_page_count(record: JobRecord) -> int:
        return -(-record.job.tasks // PAGE_TASKS)

    @staticmethod
    def _done_page(ref: str, page_number: int, bits: int) -> KeyValue:
        return KeyValue(page_key(DONE, ref, page_number), records.write(DonePage(pack(bits))))

    async def page_out(self, ref: str) -> None:
        """Shrink a record that an older version of this program wrote and that is too large to be written again.

        The bits of done tasks are moved to pages, in as many transactions as needed, and the record is rewritten last.
        The record keeps the bits until the pages hold them, so none is lost if this method is interrupted. Any
        controller may call it.
        """
        record, revision = self._job_store.active.get(ref), self._replica.revision_of(JOBS + ref)
        if record is None:
            return
        done = self._job_store.done_tasks(ref, record)
        shrunk = self._without_unknown_types(record.without_bits(done))
        if not self.fits(shrunk):
            log.info("event=record_size_exceeded job=%s", ref)
            return
        pages = self._missing_pages(ref, record, done)
        changes = [*pages, KeyValue(JOBS + ref, records.write(shrunk))]
        try:
            for batch in transaction_batches(changes, attrgetter("size"), self._store.max_changes):
                await self._write_changes(ref, revision, batch)
        except WRITE_ERRORS as error:
            log.info("event=record_paging_delayed job=%s error=%s", ref, error)
            return
        log.info("event=record_paged_out job=%s pages=%d", ref, len(pages))

    def _missing_pages(self, ref: str, record: JobRecord, done: int) -> list[KeyValue]:
        """Return the pages to write for done tasks that are in no page yet."""
        paged_done = self._job_store.pages.done(ref)
        first = records.trailing_ones(done) // PAGE_TASKS
        return [
            self._done_page(ref, page_number, page_of(done, page_number))
            for page_number in range(first, self._done_page_count(record))
            if page_of(done, page_number) != page_of(paged_done, page_number)
        ]

    async def _write_changes(self, ref: str, revision: int, changes: list[KeyValue]) -> None:
        """Write pages of a job, and possibly its record, on condition that the record still has `revision`."""
        transaction = JobTransaction(self._store, self._replica, self._job_store)
        transaction.require(compare(JOBS + ref, revision))
        for change in changes:
            if change.key != JOBS + ref:
                transaction.require_unchanged(change.key)
            transaction.put(change.key, change.value)
        await transaction.commit(Urgency.PROGRESS)
