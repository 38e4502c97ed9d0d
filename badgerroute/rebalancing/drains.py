"""Draining of machines: reads the stored drain requests, called drains, and applies them to a shard's machines."""

import logging
from dataclasses import dataclass
from datetime import timedelta

from badgerroute.scheduling.model import Machine
from badgerroute.storage import records
from badgerroute.storage.errors import CompareFailedError, OutcomeUnknownError, StoreUnavailableError
from badgerroute.storage.key_value_client import KeyValueClient
from badgerroute.storage.keys import DRAINS, MACHINES
from badgerroute.storage.operations import compare, remove
from badgerroute.storage.rate_limiter import Urgency
from badgerroute.storage.records import DrainRecord
from badgerroute.storage.replica import Replica
from badgerroute.transport.loop import Loop

log = logging.getLogger(__name__)
# A drain is removed once its machine has had no record in the key-value store for this long. A machine's record can
# also be missing while the machine is transferred to another shard, but such a transfer takes less time than this.
ORPHANED_AFTER = timedelta(seconds=60)


@dataclass(frozen=True, slots=True)
class Drain:
    """A request to empty one machine by `deadline`, on the monotonic clock.

    `delete`: whether to delete the machine at the cloud once it is empty.
    """

    deadline: timedelta
    delete: bool


class DrainRegistry:
    """The drains in the key-value store, read from the local replica. They outlast a failover of a machine's shard."""

    def __init__(self, loop: Loop, replica: Replica, store: KeyValueClient) -> None:
        self._loop, self._replica, self._store = loop, replica, store
        self._missing_since: dict[str, timedelta] = {}  # machine -> when its record was first found missing

    def machine_names(self) -> list[str]:
        """Return the names of the machines for which a drain is stored."""
        return [key.removeprefix(DRAINS) for key in self._replica.keys_under(DRAINS)]

    def get(self, machine: str) -> Drain | None:
        """Return the drain of a machine, or None if none is stored."""
        value = self._replica.value(DRAINS + machine)
        if value is None:
            return None
        record = records.read(value, DrainRecord)
        remaining_s = record.deadline - self._loop.clock.today().timestamp()
        return Drain(self._loop.now() + timedelta(seconds=remaining_s), record.delete)

    async def remove_orphans(self) -> None:
        """Remove the drains of machines that have had no record for ORPHANED_AFTER.

        Only the autoscaler leader calls this, periodically.
        """
        now = self._loop.now()
        missing = {name for name in self.machine_names() if self._replica.value(MACHINES + name) is None}
        self._missing_since = {name: self._missing_since.get(name, now) for name in missing}
        for name, missing_since in self._missing_since.items():
            if now - missing_since >= ORPHANED_AFTER:
                await self._remove(name)

    async def _remove(self, name: str) -> None:
        key = DRAINS + name
        try:
            revision = await self._store.transact(
                [compare(key, self._replica.revision_of(key)), compare(MACHINES + name, 0)],
                [remove(key)],
                Urgency.PROGRESS,
            )
        except (StoreUnavailableError, OutcomeUnknownError, CompareFailedError) as error:
            log.info("event=drain_removal_failed machine=%s error=%s", name, error)
            return
        self._replica.apply_early(key, None, revision)
        log.info("event=drain_removed machine=%s", name)


class DrainProgress:
    """Applies drains to the machines of one shard, and determines when a drained machine has become empty."""

    def __init__(self, shard: int) -> None:
        self._shard = shard
        self._reported_empty: set[str] = set()

    def apply(self, machine: Machine, drain: Drain | None) -> None:
        """Apply a machine's current drain. If `drain` is None, end the draining of the machine if it was draining."""
        if drain is None:
            if machine.drain_deadline is not None:
                log.info("event=drain_ended machine=%s shard=%d", machine.name, self._shard)
            machine.drain_deadline = None
            self._reported_empty.discard(machine.name)
            return
        if machine.drain_deadline is None:
            log.info("event=machine_cordoned machine=%s shard=%d", machine.name, self._shard)
        machine.drain_deadline = drain.deadline

    def became_empty(self, machine: Machine) -> bool:
        """Return whether a drained machine is empty and was not empty at the previous call.

        A machine counts as empty only once it has listed its tasks in a heartbeat to the shard's current leader.
        """
        if not (machine.empty and machine.fenced and machine.alive):
            self._reported_empty.discard(machine.name)
            return False
        if machine.name in self._reported_empty:
            return False
        self._reported_empty.add(machine.name)
        log.info("event=machine_drained machine=%s shard=%d", machine.name, self._shard)
        return True
