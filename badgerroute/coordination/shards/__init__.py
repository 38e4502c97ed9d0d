"""The leader of a shard: failover, fencing, members, heartbeats, scheduling rounds, transfers, quota and progress.

A member of a shard is a machine that is registered in it. This package owns the keys `b/machines/MACHINE` (the members)
and `b/gone/SHARD/PAGE` (tombstones), the assignment of a job's tasks to shards in `b/jobs/JOB`, and all state in memory
of the shards that this controller leads. `shard_leaders` has all leaders of this controller, `shard_leader` one of
them, and `leader_parts` builds its components.

May import `transport`, `protocol`, `settings`, `storage`, `scheduling` and `connectivity`, and of `coordination` the
packages `jobs`, `leadership` and `quotas`.
"""
