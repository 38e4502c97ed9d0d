"""Keeps jobs' records within the size of a value: what does not fit goes to further keys, called pages."""

import logging
from collections.abc import Container
from dataclasses import dataclass

import msgspec

from badgerroute.coordination.jobs.job_store import JobStore, page_key
from badgerroute.protocol.users import Submission
from badgerroute.storage import records
from badgerroute.storage.bitset import PAGE_TASKS, pack, page_of, trailing_ones
from badgerroute.storage.errors import CompareFailedError, LeaseExpiredError, OutcomeUnknownError, StoreUnavailableError
from badgerroute.storage.key_value_client import KeyValueClient
from badgerroute.storage.keys import DONE, JOBS, PREDECESSORS
from badgerroute.storage.operations import compare, put
from badgerroute.storage.rate_limiter import Urgency
from badgerroute.storage.records import DonePage, JobRecord, PredecessorsPage
from badgerroute.storage.replica import Replica

log = logging.getLogger(__name__)
MAX_PREDECESSORS = 1000
CONDITIONS_OF_A_NEW_JOB = 2
PAGE_REFS = 24  # predecessors on a page: the same at every node, since each may write a page of a repeated submission


class RecordTooLargeError(Exception):
    """A job can never be stored: the text tells its user why."""


@dataclass(frozen=True, slots=True)
class KeyValue:
    """A key and the value that it is to have."""

    key: str
    value: msgspec.Raw

    @property
    def size(self) -> int:
        """Of the value, in bytes."""
        return len(bytes(self.value))


@dataclass(frozen=True, slots=True)
class CompactRecord:
    """A record that fits, and the pages for what did not."""

    record: JobRecord
    pages: list[KeyValue]


class RecordPager:
    """`known_types` are the machine types there are."""

    def __init__(
        self, store: KeyValueClient, replica: Replica, job_store: JobStore, known_types: Container[str]
    ) -> None:
        self._store, self._replica, self._job_store, self._known_types = store, replica, job_store, known_types

    def fits(self, record: JobRecord) -> bool:
        """Whether a record may be written as it is."""
        return len(bytes(records.write(record))) <= self._store.max_value_bytes

    @property
    def max_predecessors(self) -> int:
        """How many a job may have: the write of its record is conditional on each of their pages."""
        return min(MAX_PREDECESSORS, PAGE_REFS * (self._store.max_conditions - CONDITIONS_OF_A_NEW_JOB))

    def compact(self, record: JobRecord) -> CompactRecord:
        """A new job's record, with its predecessors on pages if they do not fit it.

        RecordTooLargeError: it will never fit. StateUnavailableError: it does not while the service refuses so much.
        """
        pages: list[KeyValue] = []
        if record.job.predecessors and not self.fits(record):
            pages = self._predecessor_pages(record.job)
            job = msgspec.structs.replace(record.job, predecessors=None)
            record = msgspec.structs.replace(record, job=job, pages=len(pages))
        record = self._without_unknown_types(record)
        largest = max([len(bytes(records.write(record))), *(page.size for page in pages)])
        if largest > self._store.announced_value_bytes:
            raise RecordTooLargeError(f"its description takes {largest} bytes, too many to be stored")
        if largest > self._store.max_value_bytes:
            raise StoreUnavailableError("the state service refuses values that large now")
        return CompactRecord(record, pages)

    @staticmethod
    def _predecessor_pages(job: Submission) -> list[KeyValue]:
        refs = list(dict.fromkeys(job.predecessors or ()))
        batches = [refs[first : first + PAGE_REFS] for first in range(0, len(refs), PAGE_REFS)]
        return [
            KeyValue(page_key(PREDECESSORS, job.ref, number), records.write(PredecessorsPage(batch)))
            for number, batch in enumerate(batches)
        ]

    def _without_unknown_types(self, record: JobRecord) -> JobRecord:
        """Without the machine types that there are not, if the record is too large with them."""
        types = [name for name in record.job.types or () if name in self._known_types]
        if not types or self.fits(record):
            return record
        return msgspec.structs.replace(record, job=msgspec.structs.replace(record.job, types=types))

    def progress(self, ref: str, record: JobRecord, known: int, done: int) -> list[KeyValue]:
        """What to write for a job with these tasks done: its record, or if that would be too large, pages beside it."""
        whole = record.with_done(done)
        if self.fits(whole):
            return [KeyValue(JOBS + ref, records.write(whole))]
        fresh, paged = done & ~known, self._job_store.paged(ref)
        pages = []
        for number in range(-(-record.job.tasks // PAGE_TASKS)):
            bits = page_of(fresh, number)
            if bits:
                pages.append(self._done_page(ref, number, page_of(paged, number) | bits))
        return pages

    @staticmethod
    def _done_page(ref: str, number: int, bits: int) -> KeyValue:
        return KeyValue(page_key(DONE, ref, number), records.write(DonePage(pack(bits))))

    async def page_out(self, ref: str) -> None:
        """Make a record that an older version left too large small enough to be written again.

        The bits of done tasks go to pages, in as many writes as it takes, and the record itself last. Until then it
        holds them too, and from then on the pages do, so none is lost wherever this stops. It may be done by anybody.
        """
        record, revision = self._job_store.active.get(ref), self._replica.revision_of(JOBS + ref)
        if record is None:
            return
        done = self._job_store.done(ref, record)
        small = self._without_unknown_types(record.without_bits(done))
        if not self.fits(small):
            log.info("event=record_size_exceeded job=%s", ref)
            return
        pages = self._missing_pages(ref, record, done)
        changes = [*pages, KeyValue(JOBS + ref, records.write(small))]
        for first in range(0, len(changes), self._store.max_changes):
            if not await self._write(ref, revision, changes[first : first + self._store.max_changes]):
                return
        log.info("event=record_paged_out job=%s pages=%d", ref, len(pages))

    def _missing_pages(self, ref: str, record: JobRecord, done: int) -> list[KeyValue]:
        """Pages with done tasks that no page says yet."""
        known = self._job_store.paged(ref)
        first = trailing_ones(done) // PAGE_TASKS
        numbers = range(first, -(-record.job.tasks // PAGE_TASKS))
        return [
            self._done_page(ref, number, page_of(done, number))
            for number in numbers
            if page_of(done, number) != page_of(known, number)
        ]

    async def _write(self, ref: str, revision: int, changes: list[KeyValue]) -> bool:
        """Write some of a record's pages, or at last the record; whether they are written."""
        conditions = [compare(JOBS + ref, revision)]
        conditions += [
            compare(change.key, self._replica.revision_of(change.key)) for change in changes if change.key != JOBS + ref
        ]
        puts = [put(change.key, change.value) for change in changes]
        try:
            applied = await self._store.transact(conditions, puts, Urgency.PROGRESS)
        except (CompareFailedError, StoreUnavailableError, OutcomeUnknownError, LeaseExpiredError) as error:
            log.info("event=record_paging_delayed job=%s error=%s", ref, error)
            return False
        for change in changes:
            self._job_store.published(change.key, bytes(change.value), applied)
        return True
