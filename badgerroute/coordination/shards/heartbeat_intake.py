"""Applies the task lists that machines send, in heartbeats or in answers to commands, to the state of the shard."""

from collections.abc import Callable
from datetime import timedelta

from badgerroute.coordination.shards.progress_batch import ProgressBatch
from badgerroute.protocol.workers import Heartbeat
from badgerroute.scheduling import draining
from badgerroute.scheduling.model import Machine
from badgerroute.scheduling.shard import Shard
from badgerroute.transport.loop import Loop, TaskGroup

QUARANTINE_DRAIN_TIME = timedelta(seconds=3)  # time for the tasks of a quarantined machine to save their work


class HeartbeatIntake:
    """Applies task lists to one shard, and retires machines on which every task fails according to these lists."""

    def __init__(
        self,
        *,
        shard: Shard,
        loop: Loop,
        group: TaskGroup,
        progress: ProgressBatch,
        delete_machines: Callable[[list[str]], None],
    ) -> None:
        self._shard, self._loop, self._group = shard, loop, group
        self._progress, self._delete_machines = progress, delete_machines

    def apply(self, machine: Machine, heartbeat: Heartbeat, periodic: bool) -> bool:
        """Apply a machine's task list. Return False if the list is outdated.

        `periodic` is true for a heartbeat, and false for an answer to a command.
        """
        events = self._shard.on_heartbeat(machine, heartbeat, periodic, self._loop.now())
        if events is None:
            return False
        if events.progressed:
            self._progress.add(events.progressed)
        if not self._shard.reconciled:
            self._shard.reconcile()
        for quarantined in events.quarantined:
            self._group.spawn(self._retire_machine(quarantined), "retire")
        return True

    async def _retire_machine(self, machine: Machine) -> None:
        """Drain a quarantined machine, then have it deleted, since every task fails on it."""
        for placement in list(machine.placements.values()):
            self._shard.stop(placement, draining.save_time(placement.job))
        await self._loop.sleep(QUARANTINE_DRAIN_TIME)
        self._delete_machines([machine.name])
