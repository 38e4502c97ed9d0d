"""The shards that this controller leads: one `ShardLeader` each, from its election until leadership is lost."""

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
    """Shard number -> its leader, and the notifications that concern all of them.

    Leaders that are not ready yet are not notified: their failover loads everything as it is then.
    """

    def __init__(self, group: TaskGroup) -> None:
        super().__init__()
        self._group = group

    def ready(self) -> Iterator[ShardLeader]:
        """The leaders whose failover is complete."""
        return (leader for leader in self.values() if leader.ready)

    def job_changed(self, ref: str) -> None:
        """A job's record, progress or release has changed."""
        for leader in self.ready():
            leader.job_changed(ref)

    def job_released(self, ref: str) -> None:
        """A job no longer waits for others."""
        self.job_changed(ref)

    def job_record_changed(self, key: str, value: bytes | None, revision: int) -> None:
        """Listener of the replica, for keys under `JOBS`."""
        self.job_changed(key.removeprefix(JOBS))

    def done_page_changed(self, key: str, value: bytes | None, revision: int) -> None:
        """Listener of the replica, for keys under `DONE`."""
        self.job_changed(key.removeprefix(DONE).rpartition("/")[0])

    def machine_record_changed(self, key: str, value: bytes | None, revision: int) -> None:
        """Listener of the replica, for keys under `MACHINES`."""
        for leader in self.ready():
            leader.machine_changed(key.removeprefix(MACHINES), value)

    def machines_deleted(self, names: list[str]) -> None:
        """Have machines that the cloud says are gone removed, and remembered by the leaders of their shards."""
        members = {name for leader in self.values() for name in leader.shard.machines}
        for index, leader in enumerate(list(self.values())):
            # A machine that never was a member is remembered by any one of our shards.
            deleted = [name for name in names if name in leader.shard.machines or (index == 0 and name not in members)]
            if deleted:
                self._group.spawn(leader.tombstone_writer.forget(deleted), "forget")


class MachineDeletion(Protocol):
    """Deletes machines, when their turn comes."""

    def cancel(self, names: Iterable[str]) -> None:
        """These machines are not to be deleted after all."""


class LeaderLifecycle:
    """Begins and ends leaders as shards are won and lost; what a lost shard wanted deleted is left alone."""

    def __init__(self, leaders: ShardLeaders, context: LeaderContext, deletion: MachineDeletion) -> None:
        self._leaders, self._context, self._deletion = leaders, context, deletion

    def elected(self, shard: int, leadership: Leadership) -> None:
        """This controller has won a shard: begin the failover."""
        leader = ShardLeader(shard, leadership, self._context)
        self._leaders[shard] = leader
        leader.start()

    def deposed(self, shard: int) -> None:
        """This controller has lost a shard, if it led it: end everything that is done for it."""
        leader = self._leaders.pop(shard, None)
        if leader is not None:
            log.info("event=shard_released shard=%d", shard)
            self._deletion.cancel(leader.shard.machines)
            leader.close()
