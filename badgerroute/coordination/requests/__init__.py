"""What users, workers and other shards ask for, and who answers it.

Owns the HTTP paths, the dispatch of mesh messages, admission, and the routes of misrouted heartbeats. It owns no keys:
what a request changes is written by the package of its subject. May import `transport`, `protocol`, `settings`,
`storage`, `scheduling` and `connectivity`, and every other package of `coordination`.
"""
