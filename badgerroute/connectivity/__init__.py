"""What a controller can reach, and what it may do when that is not everything.

Owns failure detection, the connectivity modes with their table of permissions, flap damping, and the routes of
heartbeats that reach the wrong controller; all of it is in memory, and no key is read or written. Pure: no I/O, and the
time is always an argument. May import `protocol`, `settings` and `scheduling`.
"""
