"""New members of a shard, written down before the first start is sent to them."""

import logging
from datetime import timedelta

from badgerroute.coordination.shards.leader_context import LeaderContext
from badgerroute.storage import records
from badgerroute.storage.errors import CompareFailedError, LeaseExpiredError, OutcomeUnknownError, StoreUnavailableError
from badgerroute.storage.keys import MACHINES
from badgerroute.storage.operations import compare, put
from badgerroute.storage.rate_limiter import Urgency
from badgerroute.storage.records import MachineRecord
from badgerroute.transport.loop import Future, TaskGroup

log = logging.getLogger(__name__)


class MemberRegistry:
    """Writes new members down, several in one transaction."""

    def __init__(self, context: LeaderContext, group: TaskGroup) -> None:
        self._loop, self._group, self._election = context.loop, group, context.election
        self._store, self._replica, self._publish = context.store, context.replica, context.publish
        self._waiting: dict[str, tuple[MachineRecord, Future]] = {}
        self._running = False

    def add(self, name: str, record: MachineRecord) -> Future:
        """Queue a new member; the future tells whether it was written down."""
        queued = self._waiting.get(name)
        if queued is None:
            queued = self._waiting[name] = (record, Future())
        return queued[1]

    def start(self) -> None:
        """Begin to write what is queued, unless that is under way."""
        if not self._running and self._waiting:
            self._running = True
            self._group.spawn(self._run(), "registrar")

    async def _run(self) -> None:
        try:
            await self._loop.sleep(timedelta(milliseconds=20))  # machines that come up together go in together
            while self._waiting:
                names = list(self._waiting)[: self._store.max_changes]
                batch = {name: self._waiting.pop(name) for name in names}
                written: set[str] = set()
                try:
                    written = await self._write({name: record for name, (record, _) in batch.items()})
                except (StoreUnavailableError, OutcomeUnknownError, CompareFailedError, LeaseExpiredError) as error:
                    log.info("event=machine_registration_failed machines=%d error=%s", len(batch), error)
                finally:
                    for name, (_, future) in batch.items():
                        future.set(name in written)
        finally:
            self._running = False

    async def _write(self, batch: dict[str, MachineRecord]) -> set[str]:
        batch = {
            name: record
            for name, record in batch.items()
            if record.shard in self._election.leaderships and not self._replica.revision_of(MACHINES + name)
        }
        if not batch:
            return set()
        conditions = [self._election.condition(shard) for shard in {record.shard for record in batch.values()}]
        conditions += [compare(MACHINES + name, 0) for name in batch]
        values = {MACHINES + name: records.write(record) for name, record in batch.items()}
        try:
            at = await self._store.transact(conditions, [put(*item) for item in values.items()], Urgency.SUBMIT)
        except CompareFailedError as error:
            for key in error.failed:
                item = await self._store.get(key, Urgency.SUBMIT)
                if item is not None:
                    self._replica.learn(key, bytes(item.value), item.revision)
            raise
        for key, value in values.items():
            self._replica.learn(key, bytes(value), at)
            self._publish(key, bytes(value), at)
        return set(batch)
