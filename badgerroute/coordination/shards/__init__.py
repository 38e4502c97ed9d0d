"""One owned shard at work: takeover, fencing, members, heartbeats, migration, machine transfers, shares and progress.

Owns what is in memory for a shard. Imports `jobs`, `ownership` and `quota_allocator`.
"""
