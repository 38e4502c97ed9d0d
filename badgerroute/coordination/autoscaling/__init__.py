"""Autoscaling: the catalog of machine types, renting and deleting machines, and returning idle ones.

Owns all use of the cloud API and the key `b/catalog` (or `b/catalog/TYPE` for each type). Holds in memory the pending
machines (rented ones that are not members of a shard yet), the queue of machines to delete, and the tombstones (the
names of deleted machines, read from `b/gone/`, which the package `shards` writes). May import `transport`, `protocol`,
`settings`, `storage`, `scheduling` and `connectivity`, and of `coordination` the packages `jobs`, `leadership` and
`shards`.
"""
