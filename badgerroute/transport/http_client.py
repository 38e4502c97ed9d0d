"""An HTTP client with persistent connections."""

from datetime import timedelta
from typing import NamedTuple

from badgerroute.transport.http_messages import Response
from badgerroute.transport.http_parser import BadMessageError, Reader
from badgerroute.transport.loop import CancelledError, Loop, TimeLimitError
from badgerroute.transport.net import Network, Stream


class NoAnswerError(Exception):
    """A request got no valid response.

    `sent`: whether sending had begun; if so, the server might have received and executed the request.
    """

    def __init__(self, reason: str, sent: bool) -> None:
        super().__init__(reason)
        self.sent = sent


class _IdleConnection(NamedTuple):
    stream: Stream
    reader: Reader
    idle_since: timedelta


class Client:
    """Sends requests to one server, reusing idle connections.

    `idle_limit`: how long an idle connection is kept. `most_idle`: the maximum number of idle connections. `connect`:
    the time limit for opening a connection.
    """

    def __init__(
        self,
        loop: Loop,
        network: Network,
        address: str,
        idle_limit: timedelta = timedelta(seconds=20),
        most_idle: int = 4,
        connect: timedelta = timedelta(seconds=2),
    ) -> None:
        self._loop = loop
        self._network = network
        self._address = address
        self._idle_limit = idle_limit
        self._max_idle = most_idle
        self._connect_limit = connect
        self._idle_connections: list[_IdleConnection] = []

    def _pop_idle_connection(self) -> _IdleConnection | None:
        """Return the most recently used idle connection, or None. Close connections that were idle for too long."""
        while self._idle_connections:
            connection = self._idle_connections.pop()
            if self._loop.now() - connection.idle_since < self._idle_limit:
                return connection
            connection.stream.close()
        return None

    async def request(self, method: str, target: str, body: bytes, limit: timedelta, fresh: bool = False) -> Response:
        """Send a request and return its response. Raise NoAnswerError if none arrives within `limit`.

        `fresh`: use a new connection; an idle one might be broken without the client having noticed.
        """
        sent = False
        stream: Stream | None = None
        try:
            with self._loop.limit(limit):
                idle_connection = None if fresh else self._pop_idle_connection()
                if idle_connection is None:
                    stream = await self._network.connect(self._address, min(limit, self._connect_limit))
                    reader = Reader(stream)
                else:
                    stream, reader = idle_connection.stream, idle_connection.reader
                sent = True
                await stream.write(self._encode(method, target, body))
                response = await reader.read_response()
        except (OSError, TimeLimitError, BadMessageError, CancelledError) as error:
            if stream is not None:
                stream.close()
            if isinstance(error, CancelledError):
                raise
            if not isinstance(error, TimeLimitError):
                self.drop()  # the server has probably restarted, which breaks the idle connections too
            raise NoAnswerError(str(error), sent) from None
        if response.keep_alive and len(self._idle_connections) < self._max_idle and not reader.has_buffered_data:
            self._idle_connections.append(_IdleConnection(stream, reader, self._loop.now()))
        else:
            stream.close()
        return response

    def _encode(self, method: str, target: str, body: bytes) -> bytes:
        head = f"{method} {target} HTTP/1.1\r\nHost: {self._address}\r\nContent-Length: {len(body)}\r\n"
        if body:
            head += "Content-Type: application/json\r\n"
        return head.encode("latin-1") + b"\r\n" + body

    def drop(self) -> None:
        """Close all idle connections."""
        for connection in self._idle_connections:
            connection.stream.close()
        self._idle_connections.clear()
