"""Machines to be drained: the operators' records, and what the leader of such a machine does by them."""

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
ORPHANED_AFTER = timedelta(
    seconds=60
)  # a machine that is no member for so long has gone; one that is transferred comes back


@dataclass(frozen=True, slots=True)
class Drain:
    """A machine that is to be empty by a deadline on the steady clock."""

    deadline: timedelta
    delete: bool


class DrainRegistry:
    """The drains on record, as the replica has them. They belong to no leader, so they outlive every one."""

    def __init__(self, loop: Loop, replica: Replica, store: KeyValueClient) -> None:
        self._loop, self._replica, self._store = loop, replica, store
        self._orphaned: dict[str, timedelta] = {}  # machine -> since when it is no member

    def names(self) -> list[str]:
        """The machines that are to be drained."""
        return [key.removeprefix(DRAINS) for key in self._replica.under(DRAINS)]

    def get(self, machine: str) -> Drain | None:
        """A machine's drain, if there is one."""
        value = self._replica.value(DRAINS + machine)
        if value is None:
            return None
        record = records.read(value, DrainRecord)
        left = record.deadline - self._loop.clock.today().timestamp()
        return Drain(self._loop.now() + timedelta(seconds=left), record.delete)

    async def remove_orphans(self) -> None:
        """Remove the drains of machines that have gone; called now and then, by the holder of the autoscaler
        leadership.
        """
        now = self._loop.now()
        gone = {name for name in self.names() if self._replica.value(MACHINES + name) is None}
        self._orphaned = {name: self._orphaned.get(name, now) for name in gone}
        for name, since in self._orphaned.items():
            if now - since >= ORPHANED_AFTER:
                await self._remove(name)

    async def _remove(self, name: str) -> None:
        key = DRAINS + name
        try:
            at = await self._store.transact(
                [compare(key, self._replica.revision_of(key)), compare(MACHINES + name, 0)],
                [remove(key)],
                Urgency.PROGRESS,
            )
        except (StoreUnavailableError, OutcomeUnknownError, CompareFailedError) as error:
            log.info("event=drain_removal_failed machine=%s error=%s", name, error)
            return
        self._replica.learn(key, None, at)
        log.info("event=drain_removed machine=%s", name)


class DrainProgress:
    """Which of a shard's drained machines are empty, told once each."""

    def __init__(self, shard: int) -> None:
        self._shard = shard
        self._empty: set[str] = set()

    def apply(self, machine: Machine, drain: Drain | None) -> None:
        """Take note of a drain that is new, changed or taken back."""
        if drain is None:
            if machine.drain_deadline is not None:
                log.info("event=drain_ended machine=%s shard=%d", machine.name, self._shard)
            machine.drain_deadline = None
            self._empty.discard(machine.name)
            return
        if machine.drain_deadline is None:
            log.info("event=machine_cordoned machine=%s shard=%d", machine.name, self._shard)
        machine.drain_deadline = drain.deadline

    def emptied(self, machine: Machine) -> bool:
        """Whether a drained machine has become empty since this was asked last. Only its own heartbeat proves that."""
        if not (machine.empty and machine.fenced and machine.alive):
            self._empty.discard(machine.name)
            return False
        if machine.name in self._empty:
            return False
        self._empty.add(machine.name)
        log.info("event=machine_drained machine=%s shard=%d", machine.name, self._shard)
        return True
