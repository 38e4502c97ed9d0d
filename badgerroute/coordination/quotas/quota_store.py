"""The quota records: one key per team with the allocations of all shards, so that a write can check their sum."""

import logging
from datetime import timedelta
from typing import Protocol

import msgspec

from badgerroute.coordination.quotas.quota_allocation import NO_ALLOCATIONS, TeamAllocations
from badgerroute.protocol.key_value import Compare, KeyValueEntry
from badgerroute.storage import records
from badgerroute.storage.errors import CompareFailedError, LeaseExpiredError, OutcomeUnknownError, StoreUnavailableError
from badgerroute.storage.key_value_client import KeyValueClient
from badgerroute.storage.keys import QUOTA_ALLOCATIONS
from badgerroute.storage.operations import compare, put
from badgerroute.storage.rate_limiter import Urgency
from badgerroute.storage.records import QuotaRecord
from badgerroute.storage.replica import Replica
from badgerroute.transport.loop import Loop

log = logging.getLogger(__name__)
READ_BACK_RETRY_INTERVAL = timedelta(milliseconds=300)


class ChangePublisher(Protocol):
    """Receives each write of this controller that the key-value store has applied."""

    def publish(self, key: str, value: bytes | None, revision: int) -> None:
        """Report a key's new value, or None if the key was removed, and the revision of the change."""


class QuotaStore:
    """Reads the allocations of every team from the replica, and writes them conditionally.

    `writing` holds the teams whose record this controller is writing. For these the replica may be out of date.
    """

    def __init__(self, loop: Loop, store: KeyValueClient, replica: Replica, publisher: ChangePublisher) -> None:
        self._loop, self._store, self._replica, self._publisher = loop, store, replica, publisher
        self._allocations: dict[str, TeamAllocations] = {}
        self.writing: set[str] = set()
        replica.listen(QUOTA_ALLOCATIONS, self._record_changed)

    def _record_changed(self, key: str, value: bytes | None, revision: int) -> None:
        team = key.removeprefix(QUOTA_ALLOCATIONS)
        if value is None:
            self._allocations.pop(team, None)
        else:
            self._allocations[team] = TeamAllocations(records.read(value, QuotaRecord))

    def allocations(self, team: str) -> TeamAllocations:
        """Return the shards' allocations of a team's limit."""
        return self._allocations.get(team, NO_ALLOCATIONS)

    async def write(self, team: str, allocations: TeamAllocations, leadership: Compare) -> bool:
        """Replace a team's record, provided that `leadership` holds and the record is still as in the replica.

        Returns whether the record was written. If the store does not report the outcome, returns False, but only after
        it is certain that the write has been applied or can't be applied any more.
        """
        key = QUOTA_ALLOCATIONS + team
        value = records.write(allocations.record())
        revision = self._replica.revision_of(key)
        self.writing.add(team)
        try:
            conditions = [leadership, compare(key, revision)]
            new_revision = await self._store.transact(conditions, [put(key, value)], Urgency.COMPLETE)
        except (CompareFailedError, OutcomeUnknownError) as error:
            log.debug("event=quota_reconciliation_failed team=%s error=%s", team, error)
            await self._reconcile(key, revision, outcome_unknown=isinstance(error, OutcomeUnknownError))
            return False
        except (StoreUnavailableError, LeaseExpiredError):
            return False
        finally:
            self.writing.discard(team)
        self._replica.apply_early(key, bytes(value), new_revision)
        self._publisher.publish(key, bytes(value), new_revision)
        return True

    async def _reconcile(self, key: str, revision: int, outcome_unknown: bool) -> None:
        """Read the key back, with retries, and rule out that a transaction of unknown outcome is applied later."""
        while True:
            try:
                current = await self._read_back(key)
                if outcome_unknown and (current.revision if current else 0) == revision:
                    value = current.value if current else records.write(QuotaRecord({}))
                    await self._rewrite(key, revision, value)
                return
            except (CompareFailedError, OutcomeUnknownError, StoreUnavailableError):
                await self._loop.sleep(READ_BACK_RETRY_INTERVAL)

    async def _read_back(self, key: str) -> KeyValueEntry | None:
        entry = await self._store.get(key, Urgency.COMPLETE)
        if entry is not None:
            self._replica.apply_early(key, bytes(entry.value), entry.revision)
        return entry

    async def _rewrite(self, key: str, revision: int, value: msgspec.Raw) -> None:
        """Rewrite a key with its current value, so that the unanswered transaction can't be applied later."""
        new_revision = await self._store.transact([compare(key, revision)], [put(key, value)], Urgency.COMPLETE)
        self._replica.apply_early(key, bytes(value), new_revision)
