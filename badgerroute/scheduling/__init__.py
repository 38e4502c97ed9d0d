"""Scheduling decisions of one shard: what to start where, what to stop, what to ask for and what to give away.

Owns the state of a shard (`shard`, `model`) and every decision on it. Pure: no I/O, and the time is an argument.
Imports the messages (`protocol`), the settings and the stored records (`storage.records`).
"""
