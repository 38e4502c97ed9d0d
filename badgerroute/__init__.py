"""badgerroute: a cluster scheduler of cooperating controllers.

The modules at this level are entry points: `cli` (command line), `daemon` (runs a controller as a process) and
`assembly` (builds a controller with the optional subsystems that are enabled). They own no state and no keys of the
key-value store, and may import every package.
"""
