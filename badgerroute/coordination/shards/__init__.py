"""One owned shard at work: takeover, fencing, members, reports, migration, loans, shares and progress.

Owns what is in memory for a shard. Imports `jobs`, `ownership` and `quotas`.
"""
