"""Rebalancing: starts the tasks of teams with long queue waits sooner, uses measured image fetch times and waits to
decide where tasks start, moves running tasks and drains machines. It is off unless the operators' settings have a
`rebalancing` block.

Owns the keys `b/drains/MACHINE` (operators' drain requests) and, in memory, the measured queue waits, the view of the
whole fleet's waits, the record of recent moves and the progress of drains. May import `transport`, `protocol`,
`settings`, `storage`, `scheduling`, `connectivity` and `coordination`. Only `assembly` and `cli` import it, and only
when it is used.
"""
