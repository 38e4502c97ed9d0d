"""Task lists of machines, taken into the shard, whether they come as heartbeats or as answers to commands."""

from collections.abc import Callable
from datetime import timedelta

from badgerroute.coordination.shards.progress_batch import ProgressBatch
from badgerroute.protocol.workers import Heartbeat
from badgerroute.scheduling import draining
from badgerroute.scheduling.model import Machine
from badgerroute.scheduling.shard import Shard
from badgerroute.transport.loop import Loop, TaskGroup

QUARANTINE_DRAIN = timedelta(seconds=3)  # for the tasks of a quarantined machine to save their work


class HeartbeatIntake:
    """Applies task lists to one shard, and retires machines that these show to fail everything."""

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
        """Take in a machine's task list; whether it said anything new.

        `periodic`: the machine sent it by itself, not as its answer to a command.
        """
        events = self._shard.on_heartbeat(machine, heartbeat, periodic, self._loop.now())
        if events is None:
            return False
        if events.progressed:
            self._progress.add(events.progressed)
        if not self._shard.reconciled:
            self._shard.reconcile()
        for quarantined in events.quarantined:
            self._group.spawn(self._retire(quarantined), "retire")
        return True

    async def _retire(self, machine: Machine) -> None:
        """Drain a quarantined machine, then have it deleted: it fails everything, so it is worth nothing."""
        for placement in list(machine.placements.values()):
            self._shard.stop(placement, draining.save_time(placement.job))
        await self._loop.sleep(QUARANTINE_DRAIN)
        self._delete_machines([machine.name])
