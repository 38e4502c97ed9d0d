"""Rebalancing of tasks among teams, machines and shards.

It starts the tasks of teams with long queue waits sooner, decides where tasks start by measured image fetch times and
by estimated waits for machines that cache an image, moves running tasks, and drains machines. It is off unless the
operators' settings have a `rebalancing` block.

Owns the keys `b/drains/MACHINE` (operators' drain requests) and, in memory, the measured queue waits, the statistics of
queue waits in the whole fleet, the record of recent moves and the progress of drains. It is allowed to import
`transport`, `protocol`, `settings`, `storage`, `scheduling`, `connectivity` and `coordination`. Only `assembly` and
`cli` import this package, and only when it is used.
"""
