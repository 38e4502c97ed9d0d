"""The controllers of the cluster: connections to the peers, their last gossip, and leadership transfers to them.

Owns in memory the mesh connections, the peers' gossip, the inputs of the connectivity mode, and the forwarded requests
in flight. It owns no keys, since `leadership` writes the transfers. May import `transport`, `protocol`, `settings`,
`storage`, `scheduling` and `connectivity`, and of `coordination` the packages `leadership` and `shards`.
"""
