"""The mesh: one kept connection to each peer, for messages that may be lost."""

import logging
from collections import deque
from collections.abc import Callable
from datetime import timedelta
from functools import partial

import msgspec

from badgerroute.protocol import mesh as wire
from badgerroute.settings import Settings
from badgerroute.transport.frames import FrameReader, frame
from badgerroute.transport.loop import Future, Loop, TaskGroup, TimeLimitError
from badgerroute.transport.net import Listener, Network, Stream

log = logging.getLogger(__name__)
MAX_QUEUED_BYTES = 4 << 20  # for one peer: the frames of thousands of machines that come at once, and no more
SILENCE = timedelta(seconds=20)
WRITE_LIMIT = timedelta(seconds=3)
ACK_EVERY = timedelta(seconds=1)
ACKNOWLEDGEMENT_LIMIT = timedelta(seconds=4)  # a link on which nothing was acknowledged for so long is opened anew
ACK = frame(b"")

MessageHandler = Callable[[wire.Message], None]


class _Link:
    """What is on its way to one peer. While it can't be reached, old messages make way for new ones."""

    def __init__(self, host: str, address: str) -> None:
        self.host, self.address = host, address
        self.queue: deque[bytes] = deque()
        self.queued_bytes = 0
        self.wake = Future()
        self.unacknowledged: timedelta | None = None  # since when what we wrote has not been acknowledged
        self.lost: Exception | None = None  # why the other side will hear no more on this connection

    def add(self, data: bytes) -> None:
        """Queue a frame; the oldest make way for it if there are too many."""
        self.queue.append(data)
        self.queued_bytes += len(data)
        while self.queued_bytes > MAX_QUEUED_BYTES:
            self.queued_bytes -= len(self.queue.popleft())
        self.wake.set()

    def take_all(self) -> bytes:
        """All that is queued, to be written at once."""
        data = b"".join(self.queue)
        self.queue.clear()
        self.queued_bytes = 0
        return data


class Mesh:
    """Connections to and from the other controllers."""

    def __init__(
        self,
        settings: Settings,
        loop: Loop,
        network: Network,
        group: TaskGroup,
    ) -> None:
        self._loop, self._network, self._group = loop, network, group
        self._links = {peer.host_name: _Link(peer.host_name, peer.endpoint) for peer in settings.platform.peers}
        self._address = settings.platform.mesh_addr
        self._incoming = 0
        self._most_incoming = 4 * max(1, len(self._links)) + 4

    def start(self, on_message: MessageHandler) -> None:
        """Listen, and keep a connection to each peer. `on_message` is called with every message that arrives."""
        listener = self._network.listen(self._address)
        self._group.spawn(self._accept(listener, on_message), "mesh-accept")
        for link in self._links.values():
            self._group.run_forever(partial(self._speak, link), f"mesh-{link.host}", timedelta(seconds=1))

    def send(self, host: str, message: wire.Message) -> None:
        """Queue a message for one peer."""
        link = self._links.get(host)
        if link is not None:
            link.add(frame(wire.encoder.encode(message)))

    def broadcast(self, message: wire.Message) -> None:
        """Queue a message for every peer."""
        data = frame(wire.encoder.encode(message))
        for link in self._links.values():
            link.add(data)

    async def _speak(self, link: _Link) -> None:
        while True:
            try:
                stream = await self._network.connect(link.address, timedelta(seconds=1))
            except (OSError, TimeLimitError) as error:
                log.debug("event=mesh_connect_failed peer=%s error=%s", link.host, error)
                link.take_all()
                await self._loop.sleep(timedelta(milliseconds=500))
                continue
            link.unacknowledged = link.lost = None
            acks = self._group.spawn(self._acknowledged(link, stream), "mesh-acks")
            try:
                while True:
                    if not link.queue:
                        link.wake = Future()
                        await link.wake
                    if link.lost is not None:
                        raise link.lost
                    if link.unacknowledged is None:
                        link.unacknowledged = self._loop.now()
                    elif self._loop.now() - link.unacknowledged > ACKNOWLEDGEMENT_LIMIT:
                        raise TimeLimitError("nothing is acknowledged")
                    with self._loop.limit(WRITE_LIMIT):
                        await stream.write(link.take_all())
            except (OSError, TimeLimitError) as error:
                log.info("event=mesh_connection_lost peer=%s error=%s", link.host, error)
            finally:
                acks.cancel()
                stream.close()

    async def _acknowledged(self, link: _Link, stream: Stream) -> None:
        """Notice that a peer hears us, or that it has closed the connection.

        Writing does not tell. A peer gave up on a controller that was paused for half a minute; that one wrote into
        the closed connection for the rest of the day, and since nobody heard of it, nothing was ever handed back to it.
        """
        reader = FrameReader(stream)
        try:
            while True:
                await reader.next()
                link.unacknowledged = None
        except OSError as error:
            link.lost = error
            link.wake.set()

    async def _accept(self, listener: Listener, on_message: MessageHandler) -> None:
        try:
            while True:
                stream = await listener.accept()
                if self._incoming >= self._most_incoming:
                    stream.close()
                    continue
                self._incoming += 1
                self._group.spawn(self._hear(stream, on_message), "mesh-in")
        finally:
            listener.close()

    async def _hear(self, stream: Stream, on_message: MessageHandler) -> None:
        reader = FrameReader(stream)
        acknowledged = self._loop.now()
        try:
            while True:
                with self._loop.limit(SILENCE):
                    data = await reader.next()
                if self._loop.now() - acknowledged >= ACK_EVERY:
                    acknowledged = self._loop.now()
                    with self._loop.limit(WRITE_LIMIT):
                        await stream.write(ACK)
                try:
                    message = wire.decoder.decode(data)
                except msgspec.DecodeError as error:
                    log.warning("event=mesh_message_rejected error=%s", error)
                    continue
                try:
                    on_message(message)
                except Exception as error:
                    log.error("event=mesh_message_failed error=%r", error, exc_info=error)
        except (OSError, TimeLimitError) as error:
            log.debug("event=mesh_connection_closed error=%s", error)
        finally:
            stream.close()
            self._incoming -= 1
