"""What a controller can reach, and what it may do when that is only a part.

Owns failure detection, the connectivity modes with their table of permissions, flap damping, and the routes of
heartbeats that reach the wrong controller. Pure: no I/O, and the time is always an argument. May import protocol,
settings and scheduling.
"""
