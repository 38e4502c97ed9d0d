"""Applies stored records of machines, as the replica reports them, to the state of a shard in memory."""

from badgerroute.coordination.shards.gang_migration import GangMigration
from badgerroute.protocol.cloud import MachineType
from badgerroute.scheduling.shard import Shard
from badgerroute.storage import records
from badgerroute.storage.records import MachineRecord
from badgerroute.transport.loop import Loop


class MachineSync:
    """Keeps the members of one shard up to date."""

    def __init__(
        self, *, shard: Shard, loop: Loop, catalog: dict[str, MachineType], gang_migration: GangMigration
    ) -> None:
        self._shard, self._loop, self._catalog, self._gang_migration = shard, loop, catalog, gang_migration

    def machine_changed(self, name: str, value: bytes | None) -> None:
        """Apply a machine's record that was created or changed, or removed if `value` is None."""
        now = self._loop.now()
        record = records.read(value, MachineRecord) if value else None
        member = self._shard.machines.get(name)
        if record is None or record.shard != self._shard.number:
            if member is not None:
                self._shard.remove_machine(name, now)
            return
        machine_type = self._catalog.get(record.type)
        if member is None and machine_type is not None:
            machine = self._shard.add_machine(name, record, machine_type, now)
            self._gang_migration.machine_joined(machine, now)
