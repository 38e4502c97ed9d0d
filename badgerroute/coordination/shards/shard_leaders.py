"""The shards that this controller leads: one `ShardLeader` each, from its election until it loses the leadership."""

import logging
from collections.abc import Iterable, Iterator
from typing import Protocol

from badgerroute.coordination.leadership.leadership_state import Leadership
from badgerroute.coordination.shards.leader_context import LeaderContext
from badgerroute.coordination.shards.shard_leader import ShardLeader
from badgerroute.storage.keys import DONE, JOBS, MACHINES
from badgerroute.transport.loop import TaskGroup

log = logging.getLogger(__name__)


class ShardLeaders(dict[int, ShardLeader]):
    """Maps shard numbers to their leaders, and forwards notifications to these leaders.

    Leaders that are not ready yet are not notified, since their failover loads the current state when it runs.
    """

    def __init__(self, group: TaskGroup) -> None:
        super().__init__()
        self._group = group

    def ready(self) -> Iterator[ShardLeader]:
        """Iterate over the leaders whose failover is complete."""
        return (leader for leader in self.values() if leader.ready)

    def job_changed(self, ref: str) -> None:
        """Tell the ready leaders that a job's record or progress has changed, or that it was released."""
        for leader in self.ready():
            leader.job_changed(ref)

    def job_released(self, ref: str) -> None:
        """Tell the ready leaders that a job no longer waits for upstream jobs."""
        self.job_changed(ref)

    def job_record_changed(self, key: str, value: bytes | None, revision: int) -> None:
        """Handle a change of a key under `JOBS` that the replica reports."""
        self.job_changed(key.removeprefix(JOBS))

    def done_page_changed(self, key: str, value: bytes | None, revision: int) -> None:
        """Handle a change of a key under `DONE` that the replica reports."""
        self.job_changed(key.removeprefix(DONE).rpartition("/")[0])

    def machine_record_changed(self, key: str, value: bytes | None, revision: int) -> None:
        """Handle a change of a key under `MACHINES` that the replica reports."""
        for leader in self.ready():
            leader.machine_changed(key.removeprefix(MACHINES), value)

    def machines_deleted(self, names: list[str]) -> None:
        """Have the shards' leaders remove machines that the cloud has deleted, and write these machines' tombstones."""
        members = {name for leader in self.values() for name in leader.shard.machines}
        for index, leader in enumerate(list(self.values())):
            # If a machine is a member of none of these shards, any leader may write its tombstone: the first one does.
            deleted = [name for name in names if name in leader.shard.machines or (index == 0 and name not in members)]
            if deleted:
                self._group.spawn(leader.tombstone_writer.remove_machines(deleted), "forget")


class MachineDeletion(Protocol):
    """The queue of machines that are to be deleted at the cloud."""

    def cancel(self, names: Iterable[str]) -> None:
        """Remove machines from the queue, since they are no longer to be deleted."""


class LeaderLifecycle:
    """Creates a `ShardLeader` when this controller wins a shard, and closes it when the controller loses the shard.

    Deletions that the leader of a lost shard requested are cancelled, since its successor decides about the machines.
    """

    def __init__(self, leaders: ShardLeaders, context: LeaderContext, deletion: MachineDeletion) -> None:
        self._leaders, self._context, self._deletion = leaders, context, deletion

    def elected(self, shard: int, leadership: Leadership) -> None:
        """Begin the failover of a shard that this controller has won."""
        leader = ShardLeader(shard, leadership, self._context)
        self._leaders[shard] = leader
        leader.start()

    def deposed(self, shard: int) -> None:
        """Close the leader of a shard that this controller has lost, if it had one."""
        leader = self._leaders.pop(shard, None)
        if leader is not None:
            log.info("event=shard_released shard=%d", shard)
            self._deletion.cancel(leader.shard.machines)
            leader.close()
