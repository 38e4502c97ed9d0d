"""Machine transfers: the leader of empty machines gives them to a shard that is too small for a gang, in one write."""

import logging
from collections.abc import Callable
from datetime import timedelta

from badgerroute.connectivity.modes import Action
from badgerroute.coordination.shards.leader_context import LeaderContext
from badgerroute.protocol.key_value import Put
from badgerroute.protocol.mesh import MachineRequest
from badgerroute.scheduling.model import Machine
from badgerroute.scheduling.placement_constraints import allows
from badgerroute.scheduling.resources import need_of
from badgerroute.scheduling.shard import Shard
from badgerroute.storage import records
from badgerroute.storage.budget import Urgency
from badgerroute.storage.key_value_client import (
    CompareFailedError,
    LeaseExpiredError,
    OutcomeUnknownError,
    StoreUnavailableError,
    compare,
    put,
)
from badgerroute.storage.records import MachineRecord
from badgerroute.storage.replica import MACHINES
from badgerroute.transport.loop import TaskGroup

log = logging.getLogger(__name__)


class MachineTransfers:
    """`active` tells whether the shard's leader is still the one it was."""

    def __init__(self, shard: Shard, context: LeaderContext, group: TaskGroup, active: Callable[[], bool]) -> None:
        self._shard, self._loop, self._group, self._active = shard, context.loop, group, active
        self._store, self._replica, self._election = context.store, context.replica, context.election
        self._policy = context.policy
        self._publish = context.publish

    def _acting(self) -> bool:
        """A leader that has ended must give nothing away, even if this controller holds the shard again."""
        return self._active() and self._policy.allows_for(self._shard.number, Action.TRANSFER_MACHINES)

    async def transfer(self, message: MachineRequest) -> None:
        """Give empty machines to a shard that is too small for a gang, in one conditional write.

        Only a machine with nothing on it and no start on its way is given, and from before the write on nothing
        starts on it here.
        """
        if not self._shard.reconciled or not self._acting():
            return
        given = self._transferable(message)
        if not given:
            return
        puts = [self._transfer(machine, message.shard) for machine in given]
        conditions = [self._election.condition(self._shard.number)]
        conditions += [compare(change.key, self._replica.revision_of(change.key)) for change in puts]
        try:
            at = await self._store.transact(conditions, puts, Urgency.PROGRESS)
        except (CompareFailedError, StoreUnavailableError, LeaseExpiredError) as error:
            log.debug("event=machine_transfer_failed shard=%d error=%s", self._shard.number, error)
            for machine in given:
                machine.draining = False
        except OutcomeUnknownError:
            # It may yet be applied, so these machines are of no use here until a write of ours rules that out.
            for machine in given:
                self._group.spawn(self._reconcile_machine(machine), "settle-lend")
        else:
            log.info(
                "event=machines_transferred shard=%d to=%d machines=%s",
                self._shard.number,
                message.shard,
                ",".join(machine.name for machine in given),
            )
            for change in puts:
                self._replica.learn(change.key, bytes(change.value), at)
                self._publish(change.key, bytes(change.value), at)

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

    async def _reconcile_machine(self, machine: Machine) -> None:
        key = MACHINES + machine.name
        while self._shard.machines.get(machine.name) is machine:
            try:
                item = await self._store.get(key, Urgency.COMPLETE)
                if item is None or records.read(bytes(item.value), MachineRecord).shard != self._shard.number:
                    return  # the watch brings it
                conditions = [self._election.condition(self._shard.number), compare(key, item.revision)]
                at = await self._store.transact(conditions, [put(key, item.value)], Urgency.COMPLETE)
                self._replica.learn(key, bytes(item.value), at)
                machine.draining = False
                return
            except (StoreUnavailableError, OutcomeUnknownError, CompareFailedError, LeaseExpiredError):
                await self._loop.sleep(timedelta(milliseconds=500))
