"""badgerroute: a cluster scheduler of cooperating controllers.

The modules here are the programs: `cli` (command line), `daemon` (one controller as a process) and `assembly` (a
controller with the subsystems that are switched on). They own no state and no keys, and may import every package.
"""
