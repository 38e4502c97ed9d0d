"""Autoscaling: the catalog of machine types, renting and deleting machines, and returning idle ones.

Owns all use of the cloud API and the key `b/catalog` (or `b/catalog/TYPE` for each type). Holds in memory the pending
machines, the deletion queue, and the tombstones (read from `b/gone/`, which `shards` writes). May import
`transport`, `protocol`, `settings`, `storage`, `scheduling` and `connectivity`, and of `coordination` the packages
`jobs`, `leadership` and `shards`.
"""
