"""The leader of a shard at work: failover, fencing, members, heartbeats, rounds, transfers, quota and progress.

Owns the keys `b/machines/MACHINE` (members) and `b/gone/SHARD/PAGE` (tombstones), the assignment of a job's tasks to
shards in `b/jobs/JOB`, and everything that is in memory for a led shard. `shard_leaders` has all leaders of this
controller, `shard_leader` is one of them, and `leader_parts` builds what it consists of. May import `transport`,
`protocol`, `settings`, `storage`, `scheduling` and `connectivity`, and of `coordination` the packages `jobs`,
`leadership` and `quotas`.
"""
