"""Event loop, clocks, connections, HTTP and mesh framing; independent of jobs and of the key-value store.

Everything that waits is in this package: coroutines, timers and sockets. It imports no other package of badgerroute.
Other packages import the names of the event loop from `loop` and the names of HTTP from `http`.
"""
