"""Shard leadership: the lease, the election, and the checks before an action for a shard.

Owns the keys `b/parts/SHARD` (the leader of a shard) and `b/fleet` (the controller that runs the autoscaler), this
controller's lease, and in memory the terms that it holds with their last confirmation. May import `transport`,
`protocol`, `settings`, `storage` and `connectivity`, and no other package of `coordination`.
"""
