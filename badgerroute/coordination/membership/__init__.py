"""The cluster's members: connections to the other controllers, their last gossip, and transfers of shards to them.

Owns in memory the mesh connections, the gossip of the peers, the inputs of the connectivity mode, and the requests that
are forwarded. It owns no keys: a transfer is written by `leadership`. May import `transport`, `protocol`, `settings`,
`storage`, `scheduling` and `connectivity`, and of `coordination` the packages `leadership` and `shards`.
"""
