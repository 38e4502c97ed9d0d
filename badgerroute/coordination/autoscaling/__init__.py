"""Machines of the cloud: their types, renting them, deleting them, and returning those that are idle.

Owns all use of the cloud, the key `b/catalog` (or `b/catalog/TYPE` for each type), and in memory the machines that are
booting, those to be deleted, and the names of deleted ones (read from `b/gone/`, which `shards` writes). May import
`transport`, `protocol`, `settings`, `storage`, `scheduling` and `connectivity`, and of `coordination` the packages
`jobs`, `leadership` and `shards`.
"""
