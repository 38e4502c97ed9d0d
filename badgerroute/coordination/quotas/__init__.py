"""Quotas: the limits of teams, divided among the shards.

Owns the keys `b/shares/TEAM` (each shard's allocation of a team's limit) and their copy in memory. May import
`transport`, `protocol`, `settings`, `storage` and `scheduling`, and no other package of `coordination`. If it needs
an object of another `coordination` package, the object is passed in, typed by a protocol that the module declares.
"""
