"""Event loop, clocks, streams, HTTP and mesh framing. Nothing here knows what a job is.

Owns everything that waits: tasks, timers, sockets. It knows no keys. Imports no other package. Other packages import
the names of the event loop from `loop`, those of HTTP from `http`.
"""
