"""The shards' shares of each team's limit.

Owns the quota records. Imports nothing of the other coordination packages.
"""
