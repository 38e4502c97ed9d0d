"""Scheduling decisions: which tasks a shard starts, stops or gives to other shards, and which machines to rent.

Contains the state of a shard (`shard`, `model`) and every decision on it. Does no I/O; the time is an argument.
Imports the messages (`protocol`), the settings, and from `storage` the records, their bit sets and task ranges.
"""
