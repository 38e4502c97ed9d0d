"""Records deleted machines, so that a late copy of a heartbeat makes none of them a member again."""

from collections.abc import Mapping

from badgerroute.coordination.autoscaling.machine_tombstones import MachineTombstones
from badgerroute.coordination.shards.shard_leader import ShardLeader
from badgerroute.transport.loop import TaskGroup


class DeletionRecorder:
    """Adds tombstones in memory at once, and has the leaders of this controller's shards write them down.

    `leaders` is the map of these by shard, which changes while this is in use.
    """

    def __init__(self, tombstones: MachineTombstones, leaders: Mapping[int, ShardLeader], group: TaskGroup) -> None:
        self._tombstones, self._leaders, self._group = tombstones, leaders, group

    def machines_deleted(self, names: list[str]) -> None:
        """See `MachineDeletionListener`."""
        self._tombstones.add(names)
        leaders = list(self._leaders.values())
        members = {name for leader in leaders for name in leader.shard.machines}
        for index, leader in enumerate(leaders):
            # A machine that never was a member may be recorded by any of our shards, so the first one does.
            own = [name for name in names if name in leader.shard.machines or (index == 0 and name not in members)]
            if own:
                self._group.spawn(leader.tombstone_writer.forget(own), "forget")
