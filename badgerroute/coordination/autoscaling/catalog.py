"""The machine types there are: asked of the cloud, and kept where a restart in an outage of the cloud finds them."""

import logging
from datetime import timedelta

import msgspec

from badgerroute.coordination.leadership.leader_election import LeaderElection
from badgerroute.protocol.cloud import MachineType
from badgerroute.storage import records
from badgerroute.storage.cloud_client import CloudClient
from badgerroute.storage.errors import (
    CloudUnavailableError,
    CompareFailedError,
    NoCapacityError,
    OutcomeUnknownError,
    StoreUnavailableError,
)
from badgerroute.storage.key_value_client import KeyValueClient
from badgerroute.storage.keys import CATALOG
from badgerroute.storage.operations import compare, put
from badgerroute.storage.rate_limiter import Urgency
from badgerroute.storage.replica import Replica
from badgerroute.transport.loop import Loop

log = logging.getLogger(__name__)
REFRESH = timedelta(seconds=60)
RETRY = timedelta(seconds=2)


class CatalogRecord(msgspec.Struct):
    """Machine types as they are stored."""

    types: list[MachineType]


class MachineCatalog:
    """`types` are those known so far, by name; others may hold on to the dictionary, which is only added to."""

    def __init__(
        self, loop: Loop, cloud: CloudClient, store: KeyValueClient, replica: Replica, election: LeaderElection
    ) -> None:
        self._loop, self._cloud, self._store, self._replica, self._election = loop, cloud, store, replica, election
        self.types: dict[str, MachineType] = {}
        replica.listen(CATALOG, self._changed)

    def _changed(self, key: str, value: bytes | None, revision: int) -> None:
        if value is not None:
            self._learn(records.read(value, CatalogRecord).types)

    def _learn(self, types: list[MachineType]) -> None:
        self.types.update({kind.name: kind for kind in types})

    async def run(self) -> None:
        """Learn the machine types, and keep them where a restart in an outage of the cloud finds them."""
        await self._replica.ready
        while True:
            pause = REFRESH
            if self._election.autoscaler_term is not None or not self.types:
                try:
                    types = await self._cloud.catalog()
                except (CloudUnavailableError, NoCapacityError) as trouble:
                    log.info("event=catalog_fetch_failed error=%s", trouble)
                    pause = RETRY
                else:
                    fresh = set(self.types) != {kind.name for kind in types}
                    self._learn(types)
                    if fresh or not any(key.startswith(CATALOG) for key in self._replica.entries):
                        await self._persist(types)
            await self._loop.sleep(pause)

    async def _persist(self, types: list[MachineType]) -> None:
        """In one key, or in one for each type where that would be too large: every version reads both."""
        values = {CATALOG: records.write(CatalogRecord(types))}
        if len(bytes(values[CATALOG])) > self._store.max_value_bytes:
            values = {f"{CATALOG}/{kind.name}": records.write(CatalogRecord([kind])) for kind in types}
        for key, value in values.items():
            if self._replica.value(key) == bytes(value) or len(bytes(value)) > self._store.max_value_bytes:
                continue
            try:
                at = await self._store.transact(
                    [compare(key, self._replica.revision_of(key))], [put(key, value)], Urgency.PROGRESS
                )
            except (StoreUnavailableError, OutcomeUnknownError, CompareFailedError) as trouble:
                log.debug("event=catalog_write_failed error=%s", trouble)
            else:
                self._replica.learn(key, bytes(value), at)
