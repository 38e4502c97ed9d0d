"""Machines of the cloud: their types, renting them, deleting them, and returning those that are idle.

Owns all use of the cloud, the catalog record in the key-value store, and the tombstones in memory. May import the
transport, protocol, settings, storage, scheduling and connectivity packages, and `jobs`, `leadership` and `shards` of
`coordination`.
"""
