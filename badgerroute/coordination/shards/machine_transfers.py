"""Machine transfers: the leader of empty machines gives them to a shard that is too small for a gang, in one write."""

import logging
from datetime import timedelta

from badgerroute.connectivity.modes import Action
from badgerroute.coordination.leadership.leadership_state import LeadershipState
from badgerroute.coordination.shards.leader_status import LeaderStatus
from badgerroute.coordination.shards.shard_storage import WRITE_ERRORS, ShardStorage, WriteOutcome
from badgerroute.protocol.key_value import Put
from badgerroute.protocol.mesh import MachineRequest
from badgerroute.scheduling.model import Machine
from badgerroute.scheduling.placement_constraints import allows
from badgerroute.scheduling.resources import need_of
from badgerroute.scheduling.shard import Shard
from badgerroute.storage import records
from badgerroute.storage.keys import MACHINES
from badgerroute.storage.operations import compare, put
from badgerroute.storage.rate_limiter import Urgency
from badgerroute.storage.records import MachineRecord
from badgerroute.transport.loop import Loop, TaskGroup

log = logging.getLogger(__name__)
RECONCILE_RETRY_INTERVAL = timedelta(milliseconds=500)


class MachineTransfers:
    """Answers other shards' requests for machines with those of this shard that are empty."""

    def __init__(
        self,
        *,
        shard: Shard,
        loop: Loop,
        group: TaskGroup,
        storage: ShardStorage,
        leadership_state: LeadershipState,
        status: LeaderStatus,
    ) -> None:
        self._shard, self._loop, self._group, self._status = shard, loop, group, status
        self._storage, self._replica, self._store = storage, storage.replica, storage.store
        self._leadership_state = leadership_state

    async def transfer(self, message: MachineRequest) -> None:
        """Give empty machines to a shard that is too small for a gang, in one conditional write.

        Only a machine with nothing on it and no start on its way is given, and from before the write on nothing
        starts on it here.
        """
        if not self._shard.reconciled or not self._status.allows(Action.TRANSFER_MACHINES):
            return
        machines = self._transferable(message)
        if not machines:
            return
        changes = [self._transfer(machine, message.shard) for machine in machines]
        conditions = [self._leadership_state.condition(self._shard.number)]
        conditions += [compare(change.key, self._replica.revision_of(change.key)) for change in changes]
        result = await self._storage.try_write(conditions, changes, Urgency.PROGRESS)
        match result.outcome:
            case WriteOutcome.APPLIED:
                self._log_transferred(machines, message.shard)
                self._storage.record_applied(changes, result.revision)
            case WriteOutcome.NOT_APPLIED:
                log.debug("event=machine_transfer_failed shard=%d error=%s", self._shard.number, result.error)
                for machine in machines:
                    machine.draining = False
            case WriteOutcome.UNKNOWN:
                # It may yet be applied, so these machines are of no use here until a write of ours rules that out.
                for machine in machines:
                    self._group.spawn(self._reconcile(machine), "settle-lend")

    def _transferable(self, message: MachineRequest) -> list[Machine]:
        """Empty machines for as many of the gang's tasks as are asked for."""
        need = need_of(message.job)
        transferable: list[Machine] = []
        slots = 0
        for machine in self._shard.machines.values():
            if slots >= message.count or len(transferable) >= self._store.max_changes:
                break
            fits = machine.usable and machine.empty and machine.reserved_for is None and machine.free.holds(need)
            if fits and allows(message.job, machine.kind.name, machine.zone, machine.spot):
                slots += machine.free.times(need)
                transferable.append(machine)
        return transferable

    @staticmethod
    def _transfer(machine: Machine, shard: int) -> Put:
        """The record that makes a machine another shard's; from here on nothing starts on it here."""
        machine.draining = True
        record = MachineRecord(shard, machine.address, machine.kind.name, machine.zone, machine.spot)
        return put(MACHINES + machine.name, records.write(record))

    def _log_transferred(self, machines: list[Machine], shard: int) -> None:
        names = ",".join(machine.name for machine in machines)
        log.info("event=machines_transferred shard=%d to=%d machines=%s", self._shard.number, shard, names)

    async def _reconcile(self, machine: Machine) -> None:
        """Rewrite a machine's record as it is until the lost transaction can't be applied any more."""
        key = MACHINES + machine.name
        while self._shard.machines.get(machine.name) is machine:
            try:
                item = await self._store.get(key, Urgency.COMPLETE)
                if item is None or records.read(bytes(item.value), MachineRecord).shard != self._shard.number:
                    return  # the watch brings it
                conditions = [self._leadership_state.condition(self._shard.number), compare(key, item.revision)]
                revision = await self._store.transact(conditions, [put(key, item.value)], Urgency.COMPLETE)
                self._replica.learn(key, bytes(item.value), revision)
                machine.draining = False
                return
            except WRITE_ERRORS:
                await self._loop.sleep(RECONCILE_RETRY_INTERVAL)
