"""A strict parser of HTTP/1.1: it cuts requests and responses out of a stream, within limits on their size."""

import re

from badgerroute.transport.http_messages import Request, Response
from badgerroute.transport.net import Stream

MAX_HEAD_BYTES = 8192  # of the request or status line and the headers
MAX_REQUEST_BYTES = 65536  # of a request's body
MAX_RESPONSE_BYTES = 64 * 1024 * 1024  # of a response's body: a watch of the key-value store has no limit of its own
MAX_LENGTH_DIGITS = 12
METHODS = frozenset({b"GET", b"POST", b"PUT", b"DELETE", b"HEAD", b"OPTIONS", b"PATCH", b"TRACE", b"CONNECT"})
_match_header = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([^\x00-\x08\x0a-\x1f]*?)[ \t]*").fullmatch
_match_target = re.compile(rb"/[\x21-\x7e]*").fullmatch


class BadMessageError(Exception):
    """Bytes that are no acceptable HTTP message. A server answers 400 and closes the connection."""


def _parse_headers(lines: list[bytes]) -> dict[bytes, bytes]:
    """Header lines by name in lower case. Repeated headers that decide where a message ends are refused."""
    found: dict[bytes, bytes] = {}
    for line in lines:
        matched = _match_header(line)
        if matched is None:
            raise BadMessageError("bad header line")
        name, value = matched.groups()
        name = name.lower()
        if name in found and name in (b"content-length", b"transfer-encoding", b"host"):
            raise BadMessageError("repeated header")
        found[name] = value
    return found


def _body_length(headers: dict[bytes, bytes], max_bytes: int) -> int:
    if b"transfer-encoding" in headers:
        raise BadMessageError("transfer codings are not accepted")
    raw = headers.get(b"content-length", b"0")
    if not raw.isdigit() or len(raw) > MAX_LENGTH_DIGITS:
        raise BadMessageError("bad content-length")
    length = int(raw)
    if length > max_bytes:
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
        """Read more bytes; False if the stream has ended."""
        chunk = await self._stream.read()
        self._data = self._data + chunk if self._data else chunk
        return bool(chunk)

    async def _head(self) -> list[bytes]:
        while True:
            end = self._data.find(b"\r\n\r\n")
            if end >= 0:
                break
            if len(self._data) > MAX_HEAD_BYTES:
                raise BadMessageError("header too large")
            if not await self.more():
                raise ConnectionError("closed in mid-message" if self._data else "closed")
        if end > MAX_HEAD_BYTES:
            raise BadMessageError("header too large")
        head, self._data = self._data[:end], self._data[end + 4 :]
        return head.split(b"\r\n")

    async def _body(self, length: int) -> bytes:
        if length > len(self._data):
            chunks = [self._data]
            size = len(self._data)
            while size < length:
                chunk = await self._stream.read()
                if not chunk:
                    raise ConnectionError("closed in mid-body")
                chunks.append(chunk)
                size += len(chunk)
            self._data = b"".join(chunks)
        body, self._data = self._data[:length], self._data[length:]
        return body

    async def request(self) -> Request:
        """Read a request; BadMessageError if it is none, ConnectionError if the stream ends before it does."""
        lines = await self._head()
        words = lines[0].split(b" ")
        if len(words) != 3 or not words[2].startswith(b"HTTP/"):
            raise BadMessageError("bad request line")
        if words[2] not in (b"HTTP/1.1", b"HTTP/1.0"):
            raise BadMessageError("unknown version")
        if words[0] not in METHODS or _match_target(words[1]) is None:
            raise BadMessageError("bad request line")
        method, target = words[0].decode(), words[1].decode()
        headers = _parse_headers(lines[1:])
        body = await self._body(_body_length(headers, MAX_REQUEST_BYTES))
        path, _, query = target.partition("?")
        keep = words[2] == b"HTTP/1.1" and headers.get(b"connection", b"").lower() != b"close"
        return Request(method, path, query, body, keep)

    async def response(self) -> Response:
        """Read a response; BadMessageError if it is none, ConnectionError if the stream ends before it does."""
        lines = await self._head()
        words = lines[0].split(b" ", 2)
        if len(words) < 2 or not words[0].startswith(b"HTTP/1.") or not words[1].isdigit() or len(words[1]) != 3:
            raise BadMessageError("bad status line")
        headers = _parse_headers(lines[1:])
        status = int(words[1])
        if headers.get(b"transfer-encoding", b"").lower() == b"chunked":
            body = await self._chunks()
        else:
            body = b"" if status in (204, 304) else await self._body(_body_length(headers, MAX_RESPONSE_BYTES))
        returned = {"retry-after": headers[b"retry-after"].decode("latin-1")} if b"retry-after" in headers else {}
        keep = headers.get(b"connection", b"").lower() != b"close"
        return Response(status, body, returned, keep)

    async def _chunks(self) -> bytes:
        chunks: list[bytes] = []
        size = 0
        while True:
            while b"\r\n" not in self._data:
                if len(self._data) > MAX_HEAD_BYTES or not await self.more():
                    raise BadMessageError("bad chunk")
            line, _, self._data = self._data.partition(b"\r\n")
            try:
                length = int(line.split(b";")[0], 16)
            except ValueError:
                raise BadMessageError("bad chunk") from None
            size += length
            if size > MAX_RESPONSE_BYTES or length < 0:
                raise BadMessageError("answer too large")
            chunk = await self._body(length + 2)
            if length == 0:
                return b"".join(chunks)
            chunks.append(chunk[:-2])  # without the line end that follows each chunk
