"""The shard leader records in the key-value store, which name the leader of each shard.

The key of a record is attached to its leader's lease, so it is deleted when the lease ends. The revision of the key is
the shard's term, which workers also use as the fencing token.
"""

from collections.abc import Iterator
from contextlib import contextmanager, suppress

from badgerroute.protocol.key_value import Compare
from badgerroute.storage import records
from badgerroute.storage.errors import StoreUnavailableError
from badgerroute.storage.key_value_client import KeyValueClient
from badgerroute.storage.keys import SHARD_LEADERS
from badgerroute.storage.operations import compare, put
from badgerroute.storage.rate_limiter import Urgency
from badgerroute.storage.records import ShardLeaderRecord
from badgerroute.storage.replica import Replica


def shard_leader_key(shard: int) -> str:
    """Return the key of a shard's leader record."""
    return f"{SHARD_LEADERS}{shard}"


def shard_of_key(key: str) -> int:
    """Return the shard whose leader record has this key."""
    return int(key.removeprefix(SHARD_LEADERS))


def term_condition(shard: int, term: int) -> Compare:
    """Return a compare that holds while the shard is led in `term`, or has no leader if `term` is 0."""
    return compare(shard_leader_key(shard), term)


class LeaderRecords:
    """Reads leader records from the replica, and writes them conditionally to the store.

    Invariant: this controller has at most one write of each shard's record in flight. Callers of `write` check
    `pending_writes` first, and then write within `pending_write`.
    """

    def __init__(self, store: KeyValueClient, replica: Replica) -> None:
        self._store, self._replica = store, replica
        self.pending_writes: set[int] = set()  # shards with a write of this controller in flight

    def record(self, shard: int) -> ShardLeaderRecord | None:
        """Return a shard's leader record from the replica, or None if the shard has no leader."""
        value = self._replica.value(shard_leader_key(shard))
        return records.read(value, ShardLeaderRecord) if value else None

    def leader_host(self, shard: int) -> str | None:
        """Return the host that leads a shard according to the replica, or None if the shard has no leader."""
        record = self.record(shard)
        return None if record is None else record.leader

    def term(self, shard: int) -> int:
        """Return the term of the shard's leader according to the replica, or 0 if the shard has no leader."""
        return self._replica.revision_of(shard_leader_key(shard))

    def grace_end(self, shard: int) -> float:
        """Return the time of day until which an earlier leader may still act, or 0 if there is no record."""
        record = self.record(shard)
        return 0.0 if record is None else record.until

    @contextmanager
    def pending_write(self, shard: int) -> Iterator[None]:
        """Mark a write of the shard's record as in flight for the duration of the `with` block."""
        self.pending_writes.add(shard)
        try:
            yield
        finally:
            self.pending_writes.discard(shard)

    async def write(self, shard: int, record: ShardLeaderRecord, expected_term: int, lease: int) -> int:
        """Write a shard's leader record under a lease if the term is still `expected_term`, and return the new term.

        Raises CompareFailedError (another controller wrote first), LeaseExpiredError, StoreUnavailableError (nothing
        was written) or OutcomeUnknownError (the caller must read the record back, see `term_if_written`).
        """
        return await self._store.transact(
            [term_condition(shard, expected_term)],
            [put(shard_leader_key(shard), records.write(record), lease)],
            Urgency.LEADERSHIP,
        )

    async def term_if_written(self, shard: int, record: ShardLeaderRecord, expected_term: int) -> int | None:
        """Read a record back after a write of unknown outcome. Return the term if it was written, or else None.

        None means that the write was not applied yet, that the record was written again after it, or that the record
        can't be read now and the watch has not reported the write.
        """
        with suppress(StoreUnavailableError):
            await self.refresh(shard)
        term = self.term(shard)
        return term if term > expected_term and self.record(shard) == record else None

    def learn(self, shard: int, record: ShardLeaderRecord, term: int) -> None:
        """Add a record to the replica that this controller has just written, before the watch reports it."""
        self._replica.apply_early(shard_leader_key(shard), bytes(records.write(record)), term)

    async def refresh(self, shard: int) -> None:
        """Read a shard's record into the replica. Raises StoreUnavailableError."""
        key = shard_leader_key(shard)
        item = await self._store.get(key, Urgency.LEADERSHIP)
        if item is not None:
            self._replica.apply_early(key, bytes(item.value), item.revision)
