"""What a controller can reach, and which actions that allows.

Owns failure detection, the connectivity modes with their permissions, flap damping, and the routing of heartbeats that
reach a controller other than the shard's leader. All state is in memory; no key is read or written. The package does no
I/O, and the time is always passed as an argument. May import `protocol`, `settings` and `scheduling`.
"""
