"""Registers new members of a shard: writes their records to the key-value store before any start is sent to them."""

import logging
from dataclasses import dataclass, field
from datetime import timedelta

from badgerroute.coordination.leadership.leadership_state import LeadershipState
from badgerroute.coordination.shards.shard_storage import WRITE_ERRORS, ShardStorage
from badgerroute.storage import records
from badgerroute.storage.errors import CompareFailedError
from badgerroute.storage.keys import MACHINES
from badgerroute.storage.operations import compare, put
from badgerroute.storage.rate_limiter import Urgency
from badgerroute.storage.records import MachineRecord
from badgerroute.transport.loop import Future, Loop, TaskGroup

log = logging.getLogger(__name__)
BATCH_DELAY = timedelta(milliseconds=20)  # so that machines that start together are registered in one transaction


@dataclass(frozen=True, slots=True)
class _Registration:
    """A new member's record, and a future whose result is whether the record was written."""

    record: MachineRecord
    written: Future = field(default_factory=Future)


class MemberRegistry:
    """Writes the records of new members, several in one transaction."""

    def __init__(
        self, *, loop: Loop, group: TaskGroup, leadership_state: LeadershipState, storage: ShardStorage
    ) -> None:
        self._loop, self._group, self._leadership_state = loop, group, leadership_state
        self._storage, self._replica, self._store = storage, storage.replica, storage.store
        self._queue: dict[str, _Registration] = {}  # by machine
        self._writing = False

    def add(self, name: str, record: MachineRecord) -> Future:
        """Queue a new member. The result of the returned future is whether its record was written."""
        registration = self._queue.get(name)
        if registration is None:
            registration = self._queue[name] = _Registration(record)
        return registration.written

    def start(self) -> None:
        """Begin to write the queued records, unless that is in progress already."""
        if not self._writing and self._queue:
            self._writing = True
            self._group.spawn(self._write_queue(), "registrar")

    async def _write_queue(self) -> None:
        try:
            await self._loop.sleep(BATCH_DELAY)
            while self._queue:
                names = list(self._queue)[: self._store.max_changes]
                await self._register_batch({name: self._queue.pop(name) for name in names})
        finally:
            self._writing = False

    async def _register_batch(self, batch: dict[str, _Registration]) -> None:
        """Write one batch of records, and set the futures of its members."""
        written: set[str] = set()
        try:
            written = await self._write({name: registration.record for name, registration in batch.items()})
        except WRITE_ERRORS as error:
            log.info("event=machine_registration_failed machines=%d error=%s", len(batch), error)
        finally:
            for name, registration in batch.items():
                registration.written.set(name in written)

    async def _write(self, batch: dict[str, MachineRecord]) -> set[str]:
        """Write the records of the machines that have none yet and belong to a shard that this controller leads.

        Either all of these records are written or none. Returns the names of the machines whose records were written.
        """
        batch = {
            name: record
            for name, record in batch.items()
            if record.shard in self._leadership_state.leaderships and not self._replica.revision_of(MACHINES + name)
        }
        if not batch:
            return set()
        conditions = [
            self._leadership_state.leadership_condition(shard) for shard in {record.shard for record in batch.values()}
        ]
        conditions += [compare(MACHINES + name, 0) for name in batch]
        changes = [put(MACHINES + name, records.write(record)) for name, record in batch.items()]
        try:
            await self._storage.write(conditions, changes, Urgency.SUBMIT)
        except CompareFailedError as error:
            await self._refresh_replica(error.failed)
            raise
        return set(batch)

    async def _refresh_replica(self, keys: list[str]) -> None:
        """Update the replica with the current values of the keys whose compares failed."""
        for key in keys:
            item = await self._store.get(key, Urgency.SUBMIT)
            if item is not None:
                self._replica.apply_early(key, bytes(item.value), item.revision)
