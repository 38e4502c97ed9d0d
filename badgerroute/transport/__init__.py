"""Event loop, clocks, connections, HTTP and mesh framing; independent of jobs and of the key-value store.

Contains everything that waits: coroutines, timers, sockets. Imports no other package. Other packages import the names
of the event loop from `loop` and those of HTTP from `http`.
"""
