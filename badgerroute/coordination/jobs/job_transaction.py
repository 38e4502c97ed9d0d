"""Transactions on the keys of jobs, which all writers of this package use."""

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

# After any of these errors a background task may simply retry later, because it derives the changes and conditions of
# each attempt from what is stored at that time.
WRITE_ERRORS = (StoreUnavailableError, OutcomeUnknownError, CompareFailedError, LeaseExpiredError)


class JobTransaction:
    """Builds and commits one transaction, and then immediately passes its changes to the job store and the peers."""

    def __init__(self, store: KeyValueClient, replica: Replica, job_store: JobStore) -> None:
        self._store, self._replica, self._job_store = store, replica, job_store
        self._conditions: dict[str, Compare] = {}  # by key
        self._changes: list[Put | Remove] = []
        self._new_values: list[tuple[str, bytes | None]] = []  # key and new value, or None if removed
        self.value_bytes = 0  # total size of the values

    def __len__(self) -> int:
        """Return the number of changes."""
        return len(self._changes)

    @property
    def keys(self) -> list[str]:
        """The keys that the transaction writes or removes."""
        return [key for key, _ in self._new_values]

    def require(self, condition: Compare) -> None:
        """Add a condition. It replaces any earlier condition on the same key."""
        self._conditions[condition.key] = condition

    def require_unchanged(self, key: str) -> None:
        """Require that the key has the same revision as in the replica, or is absent if it is absent there."""
        self.require(compare(key, self._replica.revision_of(key)))

    def put(self, key: str, value: msgspec.Raw) -> None:
        """Add a change that writes a key."""
        data = bytes(value)
        self._changes.append(put(key, value))
        self._new_values.append((key, data))
        self.value_bytes += len(data)

    def remove(self, key: str) -> None:
        """Add a change that removes a key."""
        self._changes.append(remove(key))
        self._new_values.append((key, None))

    def finish_job(self, ref: str, final: FinalStateRecord) -> None:
        """Replace a job's record by its final state: two changes, which no controller ever observes separately."""
        self.remove(JOBS + ref)
        self.put(FINAL_STATES + ref, records.write(final))

    async def commit(self, urgency: Urgency) -> int:
        """Send the transaction and return the revision at which it was applied.

        Raises the errors of `KeyValueClient.transact`. After OutcomeUnknownError the transaction may or may not have
        been applied; after all others it was not.
        """
        revision = await self._store.transact(list(self._conditions.values()), self._changes, urgency)
        for key, value in self._new_values:
            self._job_store.apply_write(key, value, revision)
        return revision
