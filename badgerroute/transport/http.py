"""HTTP/1.1: a strict parser, a server with limits on everything, and a client that keeps its connections."""

import logging
import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from datetime import timedelta
from urllib.parse import unquote_plus

from badgerroute.transport.loop import CancelledError, CoroutineTask, Loop, TaskGroup, TimeLimitError
from badgerroute.transport.net import Listener, Network, Stream

log = logging.getLogger(__name__)

MAX_HEAD = 8192
MAX_BODY = 65536
MAX_ANSWER = 64 * 1024 * 1024  # answers of our own servers: a watch has no size limit of its own
REASONS = {
    200: "OK",
    201: "Created",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    421: "Misdirected Request",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    500: "Internal Server Error",
    503: "Service Unavailable",
}
METHODS = frozenset({b"GET", b"POST", b"PUT", b"DELETE", b"HEAD", b"OPTIONS", b"PATCH", b"TRACE", b"CONNECT"})
HEADER = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([^\x00-\x08\x0a-\x1f]*?)[ \t]*").fullmatch
TARGET = re.compile(rb"/[\x21-\x7e]*").fullmatch


class BadMessageError(Exception):
    """Bytes that are no acceptable HTTP message: answered 400, and the connection is closed."""


@dataclass(slots=True)
class Request:
    """An HTTP request that was read whole."""

    method: str
    path: str
    query: str
    body: bytes = b""
    keep: bool = True


@dataclass(slots=True)
class Response:
    """An HTTP response."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    keep: bool = True


Handler = Callable[[Request], Awaitable[Response]]


def parse_query(query: str) -> dict[str, str]:
    """The parameters of a query string."""
    pairs = (part.partition("=") for part in query.split("&") if part)
    return {unquote_plus(name): unquote_plus(value) for name, _, value in pairs}


def _headers(lines: list[bytes]) -> dict[bytes, bytes]:
    found: dict[bytes, bytes] = {}
    for line in lines:
        matched = HEADER(line)
        if matched is None:
            raise BadMessageError("bad header line")
        name, value = matched.groups()
        name = name.lower()
        if name in found and name in (b"content-length", b"transfer-encoding", b"host"):
            raise BadMessageError("repeated header")
        found[name] = value
    return found


def _length(headers: dict[bytes, bytes], most: int) -> int:
    if b"transfer-encoding" in headers:
        raise BadMessageError("transfer codings are not accepted")
    raw = headers.get(b"content-length", b"0")
    if not raw.isdigit() or len(raw) > 12:
        raise BadMessageError("bad content-length")
    length = int(raw)
    if length > most:
        raise BadMessageError("body too large")
    return length


class Reader:
    """Cuts messages out of a stream. Pipelined bytes are kept for the next message."""

    __slots__ = ("_stream", "_data")

    def __init__(self, stream: Stream) -> None:
        self._stream = stream
        self._data = b""

    @property
    def started(self) -> bool:
        """Whether bytes of a message have been read."""
        return bool(self._data)

    async def more(self) -> bool:
        """Read on; whether there was anything."""
        chunk = await self._stream.read()
        self._data = self._data + chunk if self._data else chunk
        return bool(chunk)

    async def _head(self) -> list[bytes]:
        while True:
            end = self._data.find(b"\r\n\r\n")
            if end >= 0:
                break
            if len(self._data) > MAX_HEAD:
                raise BadMessageError("header too large")
            if not await self.more():
                raise ConnectionError("closed in mid-message" if self._data else "closed")
        if end > MAX_HEAD:
            raise BadMessageError("header too large")
        head, self._data = self._data[:end], self._data[end + 4 :]
        return head.split(b"\r\n")

    async def _body(self, length: int) -> bytes:
        if length > len(self._data):
            parts, have = [self._data], len(self._data)
            while have < length:
                chunk = await self._stream.read()
                if not chunk:
                    raise ConnectionError("closed in mid-body")
                parts.append(chunk)
                have += len(chunk)
            self._data = b"".join(parts)
        body, self._data = self._data[:length], self._data[length:]
        return body

    async def request(self) -> Request:
        """Read a request."""
        lines = await self._head()
        words = lines[0].split(b" ")
        if len(words) != 3 or not words[2].startswith(b"HTTP/"):
            raise BadMessageError("bad request line")
        if words[2] not in (b"HTTP/1.1", b"HTTP/1.0"):
            raise BadMessageError("unknown version")
        if words[0] not in METHODS or TARGET(words[1]) is None:
            raise BadMessageError("bad request line")
        method, target = words[0].decode(), words[1].decode()
        headers = _headers(lines[1:])
        body = await self._body(_length(headers, MAX_BODY))
        path, _, query = target.partition("?")
        keep = words[2] == b"HTTP/1.1" and headers.get(b"connection", b"").lower() != b"close"
        return Request(method, path, query, body, keep)

    async def response(self) -> Response:
        """Read a response."""
        lines = await self._head()
        words = lines[0].split(b" ", 2)
        if len(words) < 2 or not words[0].startswith(b"HTTP/1.") or not words[1].isdigit() or len(words[1]) != 3:
            raise BadMessageError("bad status line")
        headers = _headers(lines[1:])
        status = int(words[1])
        if headers.get(b"transfer-encoding", b"").lower() == b"chunked":
            body = await self._chunks()
        else:
            body = b"" if status in (204, 304) else await self._body(_length(headers, MAX_ANSWER))
        kept = {"retry-after": headers[b"retry-after"].decode("latin-1")} if b"retry-after" in headers else {}
        return Response(status, body, kept, headers.get(b"connection", b"").lower() != b"close")

    async def _chunks(self) -> bytes:
        parts: list[bytes] = []
        size = 0
        while True:
            while b"\r\n" not in self._data:
                if len(self._data) > MAX_HEAD or not await self.more():
                    raise BadMessageError("bad chunk")
            line, _, self._data = self._data.partition(b"\r\n")
            try:
                length = int(line.split(b";")[0], 16)
            except ValueError:
                raise BadMessageError("bad chunk") from None
            size += length
            if size > MAX_ANSWER or length < 0:
                raise BadMessageError("answer too large")
            chunk = await self._body(length + 2)
            if length == 0:
                return b"".join(parts)
            parts.append(chunk[:-2])


def encode_response(response: Response, keep: bool) -> bytes:
    """A response as it is sent."""
    lines = [f"HTTP/1.1 {response.status} {REASONS.get(response.status, 'Status')}"]
    if response.body:
        lines.append("Content-Type: application/json")
    lines.append(f"Content-Length: {len(response.body)}")
    lines.extend(f"{name}: {value}" for name, value in response.headers.items())
    if not keep:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + response.body


class Server:
    """Every connection is a task of its own; connections, waits and sizes are all bounded."""

    def __init__(
        self,
        loop: Loop,
        group: TaskGroup,
        handler: Handler,
        most: int,
        idle: timedelta = timedelta(seconds=90),
        slow: timedelta = timedelta(seconds=6),
    ) -> None:
        self._loop, self._group, self._handler = loop, group, handler
        self._most, self._idle, self._slow = most, idle, slow
        self._connections: dict[
            Stream, tuple[CoroutineTask | None, timedelta]
        ] = {}  # idle ones: their task, and since when

        self.open = 0

    async def serve(self, listener: Listener) -> None:
        """Accept connections and answer their requests until cancelled."""
        try:
            while True:
                stream = await listener.accept()
                if self.open >= self._most:
                    self._evict()
                self.open += 1
                self._group.spawn(self._connection(stream), "http")
        finally:
            listener.close()

    def _evict(self) -> None:
        """Out of connections: the one that has idled longest makes room for the new one."""
        if self._connections:
            stream = next(iter(self._connections))
            task, _ = self._connections.pop(stream)
            if task is not None:
                task.cancel()

    async def _connection(self, stream: Stream) -> None:
        reader = Reader(stream)
        try:
            while True:
                request = await self._next(stream, reader)
                if request is None:
                    return
                try:
                    response = await self._handler(request)
                except Exception as error:
                    log.error(
                        "event=request_handler_failed method=%s path=%s error=%r",
                        request.method,
                        request.path[:80],
                        error,
                        exc_info=error,
                    )
                    response = Response(503, b'{"error":"internal"}', {"Retry-After": "1"})
                keep = request.keep and response.keep
                with self._loop.limit(self._slow):
                    await stream.write(encode_response(response, keep))
                if not keep:
                    return
        except BadMessageError as error:
            log.info("event=request_rejected error=%s", error)
            await self._refuse(stream)
        except (OSError, TimeLimitError) as error:
            log.debug("event=connection_closed error=%s", error)
        finally:
            self._connections.pop(stream, None)
            stream.close()
            self.open -= 1

    async def _next(self, stream: Stream, reader: Reader) -> Request | None:
        if not reader.started:
            self._connections[stream] = (self._loop.current, self._loop.now())
            try:
                with self._loop.limit(self._idle):
                    if not await reader.more():
                        return None
            finally:
                self._connections.pop(stream, None)
        with self._loop.limit(self._slow):  # half a request must not hold a socket for ever
            return await reader.request()

    async def _refuse(self, stream: Stream) -> None:
        body = b'{"error":"malformed request"}'
        try:
            with self._loop.limit(timedelta(seconds=1)):
                await stream.write(encode_response(Response(400, body), keep=False))
        except (OSError, TimeLimitError):
            log.debug("event=refusal_send_failed")


class NoAnswerError(Exception):
    """No answer came. `sent` tells whether the other side may have got the request all the same."""

    def __init__(self, why: str, sent: bool) -> None:
        super().__init__(why)
        self.sent = sent


class Client:
    """Requests to one server over a few kept connections."""

    def __init__(
        self,
        loop: Loop,
        network: Network,
        address: str,
        idle: timedelta = timedelta(seconds=20),
        most_idle: int = 4,
        connect: timedelta = timedelta(seconds=2),
    ) -> None:
        self._loop, self._network, self._address = loop, network, address
        self._idle_limit, self._most_idle, self._connect = idle, most_idle, connect
        self._idle: list[tuple[Stream, Reader, timedelta]] = []

    def _kept(self) -> tuple[Stream, Reader] | None:
        while self._idle:
            stream, reader, since = self._idle.pop()
            if self._loop.now() - since < self._idle_limit:
                return stream, reader
            stream.close()
        return None

    async def request(self, method: str, target: str, body: bytes, limit: timedelta, fresh: bool = False) -> Response:
        """Send a request and wait for its response; NoAnswerError tells whether it may have been sent."""
        sent = False
        stream: Stream | None = None
        try:
            with self._loop.limit(limit):
                kept = None if fresh else self._kept()
                if kept is None:
                    stream = await self._network.connect(self._address, min(limit, self._connect))
                    reader = Reader(stream)
                else:
                    stream, reader = kept
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
        if response.keep and len(self._idle) < self._most_idle and not reader.started:
            self._idle.append((stream, reader, self._loop.now()))
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
        for stream, _, _ in self._idle:
            stream.close()
        self._idle.clear()
