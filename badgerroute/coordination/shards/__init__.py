"""The leader of a shard: failover, fencing, members, heartbeats, scheduling rounds, transfers, quota and progress.

Owns the keys `b/machines/MACHINE` (the members of shards) and `b/gone/SHARD/PAGE` (tombstones), the assignment of a
job's tasks to shards in `b/jobs/JOB`, and all state in memory of a shard that this controller leads. `shard_leaders`
has all leaders of this controller, `shard_leader` one of them, and `leader_parts` builds its components. A member of a
shard is a machine that is registered in it. May import `transport`,
`protocol`, `settings`, `storage`, `scheduling` and `connectivity`, and of `coordination` the packages `jobs`,
`leadership` and `quotas`.
"""
