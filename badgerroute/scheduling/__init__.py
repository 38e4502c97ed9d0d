"""Scheduling decisions for one shard: which tasks to start where, to stop, to request from and to give to peers.

Contains the state of a shard (`shard`, `model`) and every decision on it. Does no I/O; the time is an argument.
Imports the messages (`protocol`), the settings and the stored records (`storage.records`).
"""
