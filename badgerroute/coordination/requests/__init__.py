"""Handles the requests of users, workers and other controllers.

This package owns the HTTP paths, the dispatch of messages between controllers (the mesh), admission control, and the
routing of heartbeats that arrive at a controller other than the leader of the machine's shard. It owns no keys in the
key-value store: the package that owns a key also writes it. It may import `transport`, `protocol`, `settings`,
`storage`, `scheduling` and `connectivity`, and every other package of `coordination`.
"""
