"""Shard leadership: the lease, the election, and the right to act for a shard.

Owns the keys `b/parts/N` (who leads shard N) and `b/fleet` (who runs the autoscaler) of the key-value store. May import
transport, protocol, settings, storage and connectivity, and no other package of `coordination`.
"""
