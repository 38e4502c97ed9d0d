"""Rebalancing: serves overloaded teams sooner, weighs data locality by measured cost, moves running tasks and drains
machines. It is off unless the operators' settings have a `rebalancing` block.

Owns the keys `b/drains/MACHINE` (operators' drain requests) and, in memory, the measured queue waits, the view of the
whole fleet's waits, and the moves and drains in progress. May import `transport`, `protocol`, `settings`, `storage`,
`scheduling`, `connectivity` and `coordination`. Only `assembly` and `cli` import it, and only when it is used.
"""
