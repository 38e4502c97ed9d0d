"""Tells whether the leader of a shard may act now. Its components check this before they write."""

from badgerroute.connectivity.modes import Action
from badgerroute.coordination.leadership.action_policy import ActionPolicy


class LeaderStatus:
    """The state of one `ShardLeader`: `ready` from the end of its failover until it is closed."""

    __slots__ = ("_policy", "_shard", "ready")

    def __init__(self, shard: int, policy: ActionPolicy) -> None:
        self._shard, self._policy = shard, policy
        self.ready = False

    def allows(self, action: Action) -> bool:
        """Whether this leader may take the action for the shard now.

        A closed leader must not give tasks or machines to other shards, even if this controller leads the shard again:
        the new leadership has a `ShardLeader` of its own.
        """
        return self.ready and self._policy.allows_for(self._shard, action)
