"""Who holds which shard: leased claims and the right to act for a shard.

Owns the keys under `shards` and `fleet`. Imports nothing of the other coordination packages.
"""
