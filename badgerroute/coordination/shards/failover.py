"""Failover: rebuilds the state of a shard from the key-value store and its machines before any task is placed."""

import logging
from datetime import timedelta

from badgerroute.coordination.jobs.job_store import JobStore
from badgerroute.coordination.shards.fencing import Fencing
from badgerroute.coordination.shards.job_sync import JobSync
from badgerroute.coordination.shards.leader_status import LeaderStatus
from badgerroute.coordination.shards.machine_sync import MachineSync
from badgerroute.protocol.cloud import MachineType
from badgerroute.scheduling.shard import Shard
from badgerroute.storage.keys import MACHINES
from badgerroute.storage.replica import Replica
from badgerroute.transport.loop import Loop

log = logging.getLogger(__name__)
CATALOG_RETRY_PAUSE = timedelta(milliseconds=100)


class Failover:
    """Takes one shard over from its former leader."""

    def __init__(
        self,
        *,
        shard: Shard,
        loop: Loop,
        replica: Replica,
        job_store: JobStore,
        catalog: dict[str, MachineType],
        status: LeaderStatus,
        job_sync: JobSync,
        machine_sync: MachineSync,
        fencing: Fencing,
    ) -> None:
        self._shard, self._loop, self._replica = shard, loop, replica
        self._job_store, self._catalog, self._status = job_store, catalog, status
        self._job_sync, self._machine_sync, self._fencing = job_sync, machine_sync, fencing

    async def run(self) -> None:
        """Load the shard's members and jobs, mark the leader as ready, then begin to fence the members."""
        await self._replica.wait_for_revision(self._shard.term)  # every write of the former leader has a lower revision
        while not self._catalog:
            await self._loop.sleep(CATALOG_RETRY_PAUSE)
        loaded_at = self._loop.now()
        self._load()
        self._status.ready = True
        log.info(
            "event=failover_completed shard=%d term=%d machines=%d jobs=%d",
            self._shard.number,
            self._shard.term,
            len(self._shard.machines),
            len(self._shard.jobs),
        )
        for machine in list(self._shard.machines.values()):
            self._fencing.fence(machine)
        self._shard.led_since = min(self._shard.led_since, loaded_at)

    def _load(self) -> None:
        for key in self._replica.keys_under(MACHINES):
            self._machine_sync.machine_changed(key.removeprefix(MACHINES), self._replica.value(key))
        for ref in list(self._job_store.active):
            self._job_sync.job_changed(ref)
