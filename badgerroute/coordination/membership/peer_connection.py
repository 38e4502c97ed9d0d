"""The outgoing connection to one peer, which is reopened whenever it is lost."""

import logging
from datetime import timedelta

from badgerroute.coordination.membership.send_queue import SendQueue
from badgerroute.transport.frames import FrameReader
from badgerroute.transport.loop import Loop, TaskGroup, TimeLimitError
from badgerroute.transport.net import Network, Stream

log = logging.getLogger(__name__)
CONNECT_TIMEOUT = timedelta(seconds=1)
RECONNECT_PAUSE = timedelta(milliseconds=500)
WRITE_TIMEOUT = timedelta(seconds=3)
ACK_TIMEOUT = timedelta(seconds=4)  # without an acknowledgement for this long, the connection is reopened


class PeerConnection:
    """Sends the queued frames to one peer, over one connection at a time."""

    def __init__(self, host: str, address: str, loop: Loop, network: Network, group: TaskGroup) -> None:
        self.host, self._address = host, address
        self._loop, self._network, self._group = loop, network, group
        self.queue = SendQueue()
        self._unacknowledged_since: timedelta | None = None  # None if nothing was sent since the last acknowledgement
        self._closed_by_peer: OSError | None = None  # the error with which the peer closed the connection

    async def run(self) -> None:
        """Maintain a connection and send the queued frames until cancelled."""
        while True:
            try:
                stream = await self._network.connect(self._address, CONNECT_TIMEOUT)
            except (OSError, TimeLimitError) as error:
                log.debug("event=mesh_connect_failed peer=%s error=%s", self.host, error)
                self.queue.take_all()
                await self._loop.sleep(RECONNECT_PAUSE)
                continue
            await self._send_until_lost(stream)

    async def _send_until_lost(self, stream: Stream) -> None:
        self._unacknowledged_since = self._closed_by_peer = None
        ack_reader = self._group.spawn(self._read_acks(stream), "mesh-acks")
        try:
            while True:
                await self.queue.wait()
                self._check_alive()
                with self._loop.limit(WRITE_TIMEOUT):
                    await stream.write(self.queue.take_all())
        except (OSError, TimeLimitError) as error:
            log.info("event=mesh_connection_lost peer=%s error=%s", self.host, error)
        finally:
            ack_reader.cancel()
            stream.close()

    def _check_alive(self) -> None:
        """Raise the error that closed the connection, or TimeLimitError if the peer no longer acknowledges frames."""
        if self._closed_by_peer is not None:
            raise self._closed_by_peer
        if self._unacknowledged_since is None:
            self._unacknowledged_since = self._loop.now()
        elif self._loop.now() - self._unacknowledged_since > ACK_TIMEOUT:
            raise TimeLimitError("no acknowledgement from the peer")

    async def _read_acks(self, stream: Stream) -> None:
        """Record the peer's acknowledgements, and the error if it closes the connection.

        A successful write does not prove that the peer receives anything: bytes written to a connection that the peer
        has abandoned are lost without an error. Without the check of acknowledgements, such a connection would be kept,
        and the peer would suspect this controller.
        """
        reader = FrameReader(stream)
        try:
            while True:
                await reader.next()
                self._unacknowledged_since = None
        except OSError as error:
            self._closed_by_peer = error
            self.queue.wake()
