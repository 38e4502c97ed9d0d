"""Machines of the cloud: types, renting, returning and deleting.

Owns the talk with the cloud. Imports `ownership`, `jobs` and `shards`.
"""
