"""In-memory index of pages: keys that hold the parts of a job's data that do not fit into its record."""

from collections.abc import Iterable

from badgerroute.storage import records
from badgerroute.storage.bitset import PAGE_TASKS, unpack
from badgerroute.storage.keys import DONE, PREDECESSORS
from badgerroute.storage.records import DonePage, JobRecord, PredecessorsPage
from badgerroute.storage.replica import Replica


def page_key(prefix: str, ref: str, page_number: int) -> str:
    """Return the key of a job's page; `prefix` is DONE or PREDECESSORS."""
    return f"{prefix}{ref}/{page_number}"


class PageIndex:
    """Holds the page keys of each job and the done tasks stored in its pages, kept up to date by the replica.

    A page is written before the record that refers to it, so a job may have pages but no record: temporarily, or
    permanently if its submission was interrupted.
    """

    def __init__(self, replica: Replica) -> None:
        self._replica = replica
        self._keys: dict[str, set[str]] = {}  # job -> its page keys
        self._done: dict[str, int] = {}  # job -> the done tasks stored in its pages, as a bit set
        replica.listen(DONE, self._done_page_changed)
        replica.listen(PREDECESSORS, self._predecessors_page_changed)

    def jobs(self) -> Iterable[str]:
        """Return the jobs that have pages."""
        return self._keys

    def keys(self, ref: str) -> Iterable[str]:
        """Return the keys of a job's pages."""
        return self._keys.get(ref, ())

    def done(self, ref: str) -> int:
        """Return the done tasks stored in a job's pages, as a bit set."""
        return self._done.get(ref, 0)

    def forget_done(self, ref: str) -> None:
        """Forget the done tasks of a job that has ended, since nothing reads them afterwards."""
        self._done.pop(ref, None)

    def has_predecessors(self, ref: str, record: JobRecord) -> bool:
        """Return whether the replica holds all pages with a job's predecessors."""
        return all(
            self._replica.value(page_key(PREDECESSORS, ref, page_number)) is not None
            for page_number in range(record.pages)
        )

    def predecessors(self, ref: str, record: JobRecord) -> list[str]:
        """Return a job's predecessors from its record and its pages, all of which must be in the replica."""
        predecessors = list(record.job.predecessors or ())
        for page_number in range(record.pages):
            page = self._replica.existing_value(page_key(PREDECESSORS, ref, page_number))
            predecessors += records.read(page, PredecessorsPage).refs
        return predecessors

    def _done_page_changed(self, key: str, value: bytes | None, revision: int) -> None:
        ref = job_of_page(key, DONE)
        self._page_changed(ref, key, value)
        if value is not None:
            page_number = int(key.rpartition("/")[2])
            bits = unpack(records.read(value, DonePage).bits) << (page_number * PAGE_TASKS)
            self._done[ref] = self._done.get(ref, 0) | bits

    def _predecessors_page_changed(self, key: str, value: bytes | None, revision: int) -> None:
        self._page_changed(job_of_page(key, PREDECESSORS), key, value)

    def _page_changed(self, ref: str, key: str, value: bytes | None) -> None:
        if value is not None:
            self._keys.setdefault(ref, set()).add(key)
        elif ref in self._keys:
            self._keys[ref].discard(key)
            if not self._keys[ref]:
                del self._keys[ref]
                self._done.pop(ref, None)


def job_of_page(key: str, prefix: str) -> str:
    """Return the job that a page belongs to."""
    return key.removeprefix(prefix).rpartition("/")[0]
