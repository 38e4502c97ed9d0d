"""An HTTP client that keeps its connections."""

from datetime import timedelta
from typing import NamedTuple

from badgerroute.transport.http_messages import Response
from badgerroute.transport.http_parser import BadMessageError, Reader
from badgerroute.transport.loop import CancelledError, Loop, TimeLimitError
from badgerroute.transport.net import Network, Stream


class NoAnswerError(Exception):
    """No answer came. `sent`: the other side may have got the request all the same, so it may have been carried out."""

    def __init__(self, why: str, sent: bool) -> None:
        super().__init__(why)
        self.sent = sent


class _IdleConnection(NamedTuple):
    stream: Stream
    reader: Reader
    since: timedelta


class Client:
    """Requests to one server over a few kept connections.

    `idle`: how long an unused connection is kept, `most_idle`: how many. `connect`: how long connecting may take.
    """

    def __init__(
        self,
        loop: Loop,
        network: Network,
        address: str,
        idle: timedelta = timedelta(seconds=20),
        most_idle: int = 4,
        connect: timedelta = timedelta(seconds=2),
    ) -> None:
        self._loop = loop
        self._network = network
        self._address = address
        self._idle_limit = idle
        self._max_idle = most_idle
        self._connect_limit = connect
        self._idle: list[_IdleConnection] = []

    def _take_idle(self) -> _IdleConnection | None:
        """A connection that was kept, the last used first; None if there is none."""
        while self._idle:
            connection = self._idle.pop()
            if self._loop.now() - connection.since < self._idle_limit:
                return connection
            connection.stream.close()
        return None

    async def request(self, method: str, target: str, body: bytes, limit: timedelta, fresh: bool = False) -> Response:
        """Send a request and wait for its response, both within `limit`; NoAnswerError if there is none.

        `fresh`: over a new connection, where a kept one might be dead.
        """
        sent = False
        stream: Stream | None = None
        try:
            with self._loop.limit(limit):
                kept = None if fresh else self._take_idle()
                if kept is None:
                    stream = await self._network.connect(self._address, min(limit, self._connect_limit))
                    reader = Reader(stream)
                else:
                    stream, reader = kept.stream, kept.reader
                sent = True
                await stream.write(self._encode(method, target, body))
                response = await reader.response()
        except (OSError, TimeLimitError, BadMessageError, CancelledError) as error:
            if stream is not None:
                stream.close()
            if isinstance(error, CancelledError):
                raise
            if not isinstance(error, TimeLimitError):
                self.drop()  # the other side was restarted, most likely: its other connections are dead as well
            raise NoAnswerError(str(error), sent) from None
        if response.keep and len(self._idle) < self._max_idle and not reader.started:
            self._idle.append(_IdleConnection(stream, reader, self._loop.now()))
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
        for connection in self._idle:
            connection.stream.close()
        self._idle.clear()
