"""The shard leader records in the key-value store: who leads each shard, and in which term.

The key of a record is attached to its leader's lease, so it is removed when the lease ends. The record's revision is
the shard's term, which is also the fencing token of the workers.
"""

from collections.abc import Iterator
from contextlib import contextmanager

from badgerroute.protocol.key_value import Compare
from badgerroute.storage import records
from badgerroute.storage.key_value_client import KeyValueClient
from badgerroute.storage.keys import SHARD_LEADERS
from badgerroute.storage.operations import compare, put
from badgerroute.storage.rate_limiter import Urgency
from badgerroute.storage.records import ShardLeaderRecord
from badgerroute.storage.replica import Replica


def shard_leader_key(shard: int) -> str:
    """The key of a shard's leader record."""
    return f"{SHARD_LEADERS}{shard}"


def shard_of_key(key: str) -> int:
    """The shard whose leader record has this key."""
    return int(key.removeprefix(SHARD_LEADERS))


def term_condition(shard: int, term: int) -> Compare:
    """Holds as long as a shard is led in this term; term 0: as long as it has no leader."""
    return compare(shard_leader_key(shard), term)


class LeaderRecords:
    """Reads leader records from the replica, and writes them conditionally.

    Invariant: this controller has at most one write per shard on its way; writers enter `pending_write` and check
    `pending` before.
    """

    def __init__(self, store: KeyValueClient, replica: Replica) -> None:
        self._store, self._replica = store, replica
        self.pending_writes: set[int] = set()  # shards with a write of this controller on its way

    def record(self, shard: int) -> ShardLeaderRecord | None:
        """A shard's leader record, as far as is known here; None: the shard has no leader."""
        value = self._replica.value(shard_leader_key(shard))
        return records.read(value, ShardLeaderRecord) if value else None

    def leader(self, shard: int) -> str | None:
        """The host that leads a shard, as far as is known here; None: the shard has no leader."""
        record = self.record(shard)
        return None if record is None else record.leader

    def term(self, shard: int) -> int:
        """The term of the last leader that is known here; 0 if there is none."""
        return self._replica.revision_of(shard_leader_key(shard))

    def grace_end(self, shard: int) -> float:
        """The time of day until which an earlier leader may still act; 0 if there is no record."""
        record = self.record(shard)
        return 0.0 if record is None else record.until

    @contextmanager
    def pending_write(self, shard: int) -> Iterator[None]:
        """Marks a shard's record as being written in the body."""
        self.pending_writes.add(shard)
        try:
            yield
        finally:
            self.pending_writes.discard(shard)

    async def write(self, shard: int, record: ShardLeaderRecord, expected_term: int, lease: int) -> int:
        """Write a shard's leader record under a lease, if its term is the expected one; returns the new term.

        Raises CompareFailedError (somebody else wrote before), LeaseExpiredError, StoreUnavailableError (nothing was
        written) or OutcomeUnknownError (read back before the next write).
        """
        return await self._store.transact(
            [term_condition(shard, expected_term)],
            [put(shard_leader_key(shard), records.write(record), lease)],
            Urgency.LEADERSHIP,
        )

    def learn(self, shard: int, record: ShardLeaderRecord, term: int) -> None:
        """Take a record that was just written into the replica, ahead of the watch."""
        self._replica.learn(shard_leader_key(shard), bytes(records.write(record)), term)

    async def refresh(self, shard: int) -> None:
        """Read a shard's record into the replica. Raises StoreUnavailableError."""
        key = shard_leader_key(shard)
        item = await self._store.get(key, Urgency.LEADERSHIP)
        if item is not None:
            self._replica.learn(key, bytes(item.value), item.revision)
