"""Shard leadership: the lease, the election, and the right to act for a shard.

Owns the keys `b/parts/SHARD` (who leads a shard) and `b/fleet` (who runs the autoscaler), this controller's lease, and
in memory the terms that it holds with their last confirmation. May import `transport`, `protocol`, `settings`,
`storage` and `connectivity`, and no other package of `coordination`.
"""
