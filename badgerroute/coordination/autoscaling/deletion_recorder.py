"""Records deleted machines, so that a delayed duplicate of a heartbeat does not make one a member again."""

from badgerroute.coordination.autoscaling.machine_tombstones import MachineTombstones
from badgerroute.coordination.shards.shard_leaders import ShardLeaders


class DeletionRecorder:
    """Adds tombstones in memory at once, and has the leaders of this controller's shards store them."""

    def __init__(self, tombstones: MachineTombstones, leaders: ShardLeaders) -> None:
        self._tombstones, self._leaders = tombstones, leaders

    def machines_deleted(self, names: list[str]) -> None:
        """See `MachineDeletionListener`."""
        self._tombstones.add(names)
        self._leaders.machines_deleted(names)
