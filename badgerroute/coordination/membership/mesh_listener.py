"""Accepts the incoming connections of the mesh, and decodes and acknowledges their messages."""

import logging
from collections.abc import Callable
from datetime import timedelta

import msgspec

from badgerroute.protocol import mesh as wire
from badgerroute.transport.frames import FrameReader, frame
from badgerroute.transport.loop import Loop, TaskGroup, TimeLimitError
from badgerroute.transport.net import Listener, Stream

log = logging.getLogger(__name__)
IDLE_TIMEOUT = timedelta(seconds=20)  # a connection without messages for this long is closed
WRITE_TIMEOUT = timedelta(seconds=3)
ACK_INTERVAL = timedelta(seconds=1)
ACK = frame(b"")


class MeshListener:
    """Accepts up to `max_connections` at a time, and passes each message to `receive`."""

    def __init__(
        self, loop: Loop, group: TaskGroup, max_connections: int, receive: Callable[[wire.Message], None]
    ) -> None:
        self._loop, self._group, self._receive = loop, group, receive
        self._connections = 0
        self._max_connections = max_connections

    async def accept_all(self, listener: Listener) -> None:
        """Accept connections until cancelled, then close the listener. Those beyond the limit are closed at once."""
        try:
            while True:
                stream = await listener.accept()
                if self._connections >= self._max_connections:
                    stream.close()
                    continue
                self._connections += 1
                self._group.spawn(self._read(stream), "mesh-in")
        finally:
            listener.close()

    async def _read(self, stream: Stream) -> None:
        reader = FrameReader(stream)
        acknowledged_at = self._loop.now()
        try:
            while True:
                with self._loop.limit(IDLE_TIMEOUT):
                    frame_body = await reader.next()
                if self._loop.now() - acknowledged_at >= ACK_INTERVAL:
                    acknowledged_at = self._loop.now()
                    with self._loop.limit(WRITE_TIMEOUT):
                        await stream.write(ACK)
                self._handle(frame_body)
        except (OSError, TimeLimitError) as error:
            log.debug("event=mesh_connection_closed error=%s", error)
        finally:
            stream.close()
            self._connections -= 1

    def _handle(self, data: bytes) -> None:
        try:
            message = wire.decoder.decode(data)
        except msgspec.DecodeError as error:
            log.warning("event=mesh_message_rejected error=%s", error)
            return
        try:
            self._receive(message)
        except Exception as error:  # a failure to handle one message must not close the connection
            log.error("event=mesh_message_failed error=%r", error, exc_info=error)
