"""The mesh: one persistent connection to each peer, for messages that may be lost."""

import logging
from collections.abc import Callable, Iterable
from datetime import timedelta

from badgerroute.coordination.membership.gossip_size import encode_gossip
from badgerroute.coordination.membership.mesh_listener import MeshListener
from badgerroute.coordination.membership.peer_connection import PeerConnection
from badgerroute.protocol import mesh as wire
from badgerroute.settings import Settings
from badgerroute.transport.frames import MAX_FRAME_BYTES, frame
from badgerroute.transport.loop import Loop, TaskGroup
from badgerroute.transport.net import Network

log = logging.getLogger(__name__)
RESTART_PAUSE = timedelta(seconds=1)
MessageHandler = Callable[[wire.Message], None]

MAX_INCOMING_PER_PEER = 4  # connections that a peer has abandoned may still be open on this side


class Mesh:
    """Sends messages to the peers, and receives theirs."""

    def __init__(
        self,
        settings: Settings,
        loop: Loop,
        network: Network,
        group: TaskGroup,
    ) -> None:
        self._loop, self._network, self._group = loop, network, group
        self._address = settings.platform.mesh_addr
        self._connections = {
            peer.host_name: PeerConnection(peer.host_name, peer.endpoint, loop, network, group)
            for peer in settings.platform.peers
        }

    def start(self, on_message: MessageHandler) -> None:
        """Listen, and maintain a connection to each peer. `on_message` is called with every message received."""
        max_incoming = MAX_INCOMING_PER_PEER * (max(1, len(self._connections)) + 1)
        listener = MeshListener(self._loop, self._group, max_incoming, on_message)
        self._group.spawn(listener.accept_all(self._network.listen(self._address)), "mesh-accept")
        for connection in self._connections.values():
            self._group.run_forever(connection.run, f"mesh-{connection.host}", RESTART_PAUSE)

    def send(self, host: str, message: wire.Message) -> None:
        """Queue a message for one peer. The message is dropped if the host is not a peer."""
        connection = self._connections.get(host)
        if connection is not None:
            self._queue([connection], wire.encoder.encode(message))

    def broadcast(self, message: wire.Message) -> None:
        """Queue a message for every peer."""
        self._queue(self._connections.values(), wire.encoder.encode(message))

    def broadcast_gossip(self, gossip: wire.Gossip) -> None:
        """Queue gossip for every peer, as much of it as fits into a frame."""
        self._queue(self._connections.values(), encode_gossip(gossip))

    @staticmethod
    def _queue(connections: Iterable[PeerConnection], payload: bytes) -> None:
        if len(payload) > MAX_FRAME_BYTES:  # the peer would close the connection
            log.warning("event=mesh_message_too_large bytes=%d", len(payload))
            return
        encoded_frame = frame(payload)
        for connection in connections:
            connection.queue.add(encoded_frame)
