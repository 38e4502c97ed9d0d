"""Records deleted machines, so that a late copy of a heartbeat does not make a deleted machine a member again."""

from badgerroute.coordination.autoscaling.machine_tombstones import MachineTombstones
from badgerroute.coordination.shards.shard_leaders import ShardLeaders


class DeletionRecorder:
    """Adds deleted machines to the tombstones in memory at once, and has this controller's shard leaders store them."""

    def __init__(self, tombstones: MachineTombstones, leaders: ShardLeaders) -> None:
        self._tombstones, self._leaders = tombstones, leaders

    def machines_deleted(self, names: list[str]) -> None:
        """Record the names of machines whose deletion the cloud has confirmed."""
        self._tombstones.add(names)
        self._leaders.machines_deleted(names)
