"""The cluster's members: connections to the other controllers, their last gossip, and transfers of shards to them.

Owns the mesh connections, the gossip of the peers, the connectivity mode's inputs, and the forwarding of requests. May
import transport, protocol, settings, storage, scheduling and connectivity, and of `coordination` the packages
`leadership` and `shards`.
"""
