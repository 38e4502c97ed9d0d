"""The leader of a shard at work: failover, fencing, members, heartbeats, rounds, transfers, quota and progress.

Owns what is in memory for a shard. `shard_leaders` has all leaders of this controller, `shard_leader` is one of them,
and `leader_parts` builds the parts that it consists of. May import `coordination.jobs`, `coordination.leadership` and
`coordination.quotas`, and the layers below `coordination`.
"""
