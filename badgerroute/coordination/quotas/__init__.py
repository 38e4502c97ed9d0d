"""The shards' shares of each team's limit.

Owns the share records. Imports nothing of the other coordination packages.
"""
