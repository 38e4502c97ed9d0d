"""Machine transfers: a leader gives empty machines of its shard to a shard that is too small for a gang."""

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
    """Answers other shards' requests for machines by giving them empty machines of this shard."""

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

        Only machines without tasks and without start commands in flight are given. This shard stops starting tasks on
        them before it sends the write.
        """
        if not self._shard.reconciled or not self._status.allows(Action.TRANSFER_MACHINES):
            return
        machines = self._select_machines(message)
        if not machines:
            return
        changes = [self._prepare_transfer(machine, message.shard) for machine in machines]
        conditions = [self._leadership_state.leadership_condition(self._shard.number)]
        conditions += [compare(change.key, self._replica.revision_of(change.key)) for change in changes]
        result = await self._storage.try_write(conditions, changes, Urgency.PROGRESS)
        match result.outcome:
            case WriteOutcome.APPLIED:
                self._log_transferred(machines, message.shard)
                self._storage.record_applied(changes, result.revision)
            case WriteOutcome.NOT_APPLIED:
                log.debug("event=machine_transfer_failed shard=%d error=%s", self._shard.number, result.error)
                for machine in machines:
                    machine.unschedulable = False
            case WriteOutcome.UNKNOWN:
                # The write may still be applied. Start nothing on these machines until another write has ruled that
                # out.
                for machine in machines:
                    self._group.spawn(self._reconcile(machine), "settle-lend")

    def _select_machines(self, message: MachineRequest) -> list[Machine]:
        """Return empty machines that can run the requested number of tasks, or as many of these as possible."""
        need = need_of(message.job)
        selected: list[Machine] = []
        slots = 0
        for machine in self._shard.machines.values():
            if slots >= message.count or len(selected) >= self._store.max_changes:
                break
            fits = machine.usable and machine.empty and machine.reserved_for is None and machine.free.holds(need)
            if fits and allows(message.job, machine.machine_type.name, machine.zone, machine.spot):
                slots += machine.free.count_fitting(need)
                selected.append(machine)
        return selected

    @staticmethod
    def _prepare_transfer(machine: Machine, shard: int) -> Put:
        """Stop placement on a machine, and return the write that makes it a member of another shard."""
        machine.unschedulable = True
        record = MachineRecord(shard, machine.address, machine.machine_type.name, machine.zone, machine.spot)
        return put(MACHINES + machine.name, records.write(record))

    def _log_transferred(self, machines: list[Machine], shard: int) -> None:
        names = ",".join(machine.name for machine in machines)
        log.info("event=machines_transferred shard=%d to=%d machines=%s", self._shard.number, shard, names)

    async def _reconcile(self, machine: Machine) -> None:
        """Rewrite a machine's record unchanged, with retries, so that the transaction can't be applied later."""
        key = MACHINES + machine.name
        while self._shard.machines.get(machine.name) is machine:
            try:
                entry = await self._store.get(key, Urgency.COMPLETE)
                if entry is None or records.read(bytes(entry.value), MachineRecord).shard != self._shard.number:
                    return  # this shard has lost the machine: the watch reports the change
                conditions = [
                    self._leadership_state.leadership_condition(self._shard.number),
                    compare(key, entry.revision),
                ]
                revision = await self._store.transact(conditions, [put(key, entry.value)], Urgency.COMPLETE)
                self._replica.apply_early(key, bytes(entry.value), revision)
                machine.unschedulable = False
                return
            except WRITE_ERRORS:
                await self._loop.sleep(RECONCILE_RETRY_INTERVAL)
