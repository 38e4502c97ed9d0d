"""Rebalancing: serving hot teams fairly, locality at measured cost, moving running work, draining machines.

Off unless the settings switch it on. Owns what is measured and moved for this; decisions of scheduling stay in
`scheduling`, which asks for advice through its `Guidance`. Imports any layer
below: transport, protocol, settings, storage, scheduling, connectivity, coordination.
"""
