"""The pure core: what to start, what to stop and which machines to wish for in one shard.

Owns the model in memory of one shard (machines, placements, jobs, quota in use, reservations) and the planner's state.
No I/O and no clock of its own: the time is always an argument. It reads and writes no key. May import `protocol`,
`settings`, and of `storage` the modules `records`, `bitset` and `task_ranges`.
"""
