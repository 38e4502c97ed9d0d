"""Conditional writes to the keys of jobs, which every writer of this package goes through."""

import msgspec

from badgerroute.coordination.jobs.job_store import JobStore
from badgerroute.protocol.key_value import Compare, Put, Remove
from badgerroute.storage import records
from badgerroute.storage.errors import CompareFailedError, LeaseExpiredError, OutcomeUnknownError, StoreUnavailableError
from badgerroute.storage.key_value_client import KeyValueClient
from badgerroute.storage.keys import FINAL_STATES, JOBS
from badgerroute.storage.operations import compare, put, remove
from badgerroute.storage.rate_limiter import Urgency
from badgerroute.storage.records import FinalStateRecord
from badgerroute.storage.replica import Replica

# After any of these a background task may try again later, with fresh conditions: what it would write follows from
# what is stored then.
WRITE_ERRORS = (StoreUnavailableError, OutcomeUnknownError, CompareFailedError, LeaseExpiredError)


class JobTransaction:
    """One transaction in the making. Once it is applied, the job store and the peers learn of its changes at once."""

    def __init__(self, store: KeyValueClient, replica: Replica, job_store: JobStore) -> None:
        self._store, self._replica, self._job_store = store, replica, job_store
        self._conditions: dict[str, Compare] = {}  # by key
        self._changes: list[Put | Remove] = []
        self._results: list[tuple[str, bytes | None]] = []  # keys with their values afterwards; None: removed
        self.value_bytes = 0  # of all values together

    def __len__(self) -> int:
        """How many changes there are."""
        return len(self._changes)

    @property
    def keys(self) -> list[str]:
        """The keys that the transaction writes or removes."""
        return [key for key, _ in self._results]

    def require(self, condition: Compare) -> None:
        """Make the transaction conditional; another condition on the same key is replaced."""
        self._conditions[condition.key] = condition

    def require_unchanged(self, key: str) -> None:
        """Make the transaction conditional on the key being as the replica has it, or as absent."""
        self.require(compare(key, self._replica.revision_of(key)))

    def put(self, key: str, value: msgspec.Raw) -> None:
        """Write a key."""
        data = bytes(value)
        self._changes.append(put(key, value))
        self._results.append((key, data))
        self.value_bytes += len(data)

    def remove(self, key: str) -> None:
        """Remove a key."""
        self._changes.append(remove(key))
        self._results.append((key, None))

    def finish_job(self, ref: str, final: FinalStateRecord) -> None:
        """Replace a job's record by its final state: two changes, which no controller ever sees apart."""
        self.remove(JOBS + ref)
        self.put(FINAL_STATES + ref, records.write(final))

    async def commit(self, urgency: Urgency) -> int:
        """Send the transaction; the revision at which it was applied.

        Raises the errors of `KeyValueClient.transact`; of these only OutcomeUnknownError leaves open whether it was.
        """
        revision = await self._store.transact(list(self._conditions.values()), self._changes, urgency)
        for key, value in self._results:
            self._job_store.apply_write(key, value, revision)
        return revision
