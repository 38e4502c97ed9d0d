"""The catalog of machine types. It is fetched from the cloud and kept in the key-value store.

The stored catalog serves controllers that restart during an outage of the cloud.
"""

import logging
from datetime import timedelta

import msgspec

from badgerroute.coordination.leadership.leadership_state import LeadershipState
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
REFRESH_INTERVAL = timedelta(seconds=60)
RETRY_PAUSE = timedelta(seconds=2)


class CatalogRecord(msgspec.Struct):
    """The stored form of machine types: all types in one value or, if that would be too large, one type per value."""

    types: list[MachineType]


class MachineCatalog:
    """The known machine types; `types` holds them by name.

    Other objects keep references to this dictionary, so it is never replaced. Types are added and updated in it, but
    never removed.
    """

    def __init__(
        self, loop: Loop, cloud: CloudClient, store: KeyValueClient, replica: Replica, leadership_state: LeadershipState
    ) -> None:
        self._loop, self._cloud, self._store, self._replica, self._leadership_state = (
            loop,
            cloud,
            store,
            replica,
            leadership_state,
        )
        self.types: dict[str, MachineType] = {}
        replica.listen(CATALOG, self._record_changed)

    def _record_changed(self, key: str, value: bytes | None, revision: int) -> None:
        if value is not None:
            self._learn(records.read(value, CatalogRecord).types)

    def _learn(self, types: list[MachineType]) -> None:
        self.types.update({machine_type.name: machine_type for machine_type in types})

    async def run(self) -> None:
        """Refresh the catalog if this controller is the autoscaler leader or knows no types; runs until cancelled."""
        await self._replica.ready
        while True:
            pause = REFRESH_INTERVAL
            if self._leadership_state.autoscaler_term is not None or not self.types:
                try:
                    await self._refresh()
                except (CloudUnavailableError, NoCapacityError) as error:
                    log.info("event=catalog_fetch_failed error=%s", error)
                    pause = RETRY_PAUSE
            await self._loop.sleep(pause)

    async def _refresh(self) -> None:
        types = await self._cloud.fetch_catalog()
        names_changed = set(self.types) != {machine_type.name for machine_type in types}
        self._learn(types)
        if names_changed or not any(key.startswith(CATALOG) for key in self._replica.entries):
            await self._store_types(types)

    async def _store_types(self, types: list[MachineType]) -> None:
        """Write one key for all types, or one key per type if the value would be too large.

        All versions of the controllers read both forms.
        """
        values = {CATALOG: records.write(CatalogRecord(types))}
        if len(bytes(values[CATALOG])) > self._store.max_value_bytes:
            values = {
                f"{CATALOG}/{machine_type.name}": records.write(CatalogRecord([machine_type])) for machine_type in types
            }
        for key, value in values.items():
            if self._replica.value(key) != bytes(value) and len(bytes(value)) <= self._store.max_value_bytes:
                await self._write(key, value)

    async def _write(self, key: str, value: msgspec.Raw) -> None:
        """Write one key. If that fails, it is tried again only if no catalog is stored or the set of types changes."""
        unchanged = compare(key, self._replica.revision_of(key))
        try:
            revision = await self._store.transact([unchanged], [put(key, value)], Urgency.PROGRESS)
        except (StoreUnavailableError, OutcomeUnknownError, CompareFailedError) as error:
            log.debug("event=catalog_write_failed error=%s", error)
        else:
            self._replica.apply_early(key, bytes(value), revision)
