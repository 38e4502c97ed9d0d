"""Rebalancing: hot teams, locality at measured cost, moving running work, draining machines. Off unless switched on.

Owns the keys `b/drains/MACHINE` (operators' drain requests), and in memory the measured waits, the view of imbalance,
and the moves and drains under way. May import `transport`, `protocol`, `settings`, `storage`, `scheduling`,
`connectivity` and `coordination`. Only `assembly` and `cli` import it, and only when it is used.
"""
