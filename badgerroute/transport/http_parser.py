"""A strict HTTP/1.1 parser that reads requests and responses from a stream and limits their size."""

import re

from badgerroute.transport.http_messages import Request, Response
from badgerroute.transport.net import Stream

MAX_HEAD_BYTES = 8192  # maximum size of the request line or status line and the headers together
MAX_REQUEST_BYTES = 65536  # maximum size of a request's body
# Maximum size of a response's body. It is large, because the key-value store does not limit the size of its responses
# to a watch.
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
MAX_LENGTH_DIGITS = 12
METHODS = frozenset({b"GET", b"POST", b"PUT", b"DELETE", b"HEAD", b"OPTIONS", b"PATCH", b"TRACE", b"CONNECT"})
_match_header = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([^\x00-\x08\x0a-\x1f]*?)[ \t]*").fullmatch
_match_target = re.compile(rb"/[\x21-\x7e]*").fullmatch


class BadMessageError(Exception):
    """An HTTP message is invalid or unsupported. A server that receives it responds with 400 and disconnects."""


def _parse_headers(lines: list[bytes]) -> dict[bytes, bytes]:
    """Parse header lines into a map by lower-case name. Reject a repeated Host, Content-Length or Transfer-Encoding."""
    headers: dict[bytes, bytes] = {}
    for line in lines:
        match = _match_header(line)
        if match is None:
            raise BadMessageError("bad header line")
        name, value = match.groups()
        name = name.lower()
        if name in headers and name in (b"content-length", b"transfer-encoding", b"host"):
            raise BadMessageError("repeated header")
        headers[name] = value
    return headers


def _content_length(headers: dict[bytes, bytes], max_bytes: int) -> int:
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
    """Reads messages from a stream. Bytes that follow a message are buffered for the next one."""

    __slots__ = ("_stream", "_buffer")

    def __init__(self, stream: Stream) -> None:
        self._stream = stream
        self._buffer = b""

    @property
    def has_buffered_data(self) -> bool:
        """Whether bytes of the next message are already in the buffer."""
        return bool(self._buffer)

    async def read_more(self) -> bool:
        """Read more bytes into the buffer. Return False at the end of the stream."""
        chunk = await self._stream.read()
        self._buffer = self._buffer + chunk if self._buffer else chunk
        return bool(chunk)

    async def _read_head(self) -> list[bytes]:
        while True:
            end = self._buffer.find(b"\r\n\r\n")
            if end >= 0:
                break
            if len(self._buffer) > MAX_HEAD_BYTES:
                raise BadMessageError("header too large")
            if not await self.read_more():
                raise ConnectionError("closed in mid-message" if self._buffer else "closed")
        if end > MAX_HEAD_BYTES:
            raise BadMessageError("header too large")
        head, self._buffer = self._buffer[:end], self._buffer[end + 4 :]
        return head.split(b"\r\n")

    async def _read_body(self, length: int) -> bytes:
        if length > len(self._buffer):
            chunks = [self._buffer]
            size = len(self._buffer)
            while size < length:
                chunk = await self._stream.read()
                if not chunk:
                    raise ConnectionError("closed in mid-body")
                chunks.append(chunk)
                size += len(chunk)
            self._buffer = b"".join(chunks)
        body, self._buffer = self._buffer[:length], self._buffer[length:]
        return body

    async def read_request(self) -> Request:
        """Read a request. Raise BadMessageError if it is invalid, ConnectionError if the stream ends too early."""
        lines = await self._read_head()
        words = lines[0].split(b" ")
        if len(words) != 3 or not words[2].startswith(b"HTTP/"):
            raise BadMessageError("bad request line")
        if words[2] not in (b"HTTP/1.1", b"HTTP/1.0"):
            raise BadMessageError("unknown version")
        if words[0] not in METHODS or _match_target(words[1]) is None:
            raise BadMessageError("bad request line")
        method, target = words[0].decode(), words[1].decode()
        headers = _parse_headers(lines[1:])
        body = await self._read_body(_content_length(headers, MAX_REQUEST_BYTES))
        path, _, query = target.partition("?")
        keep_alive = words[2] == b"HTTP/1.1" and headers.get(b"connection", b"").lower() != b"close"
        return Request(method, path, query, body, keep_alive)

    async def read_response(self) -> Response:
        """Read a response. Raise BadMessageError if it is invalid, ConnectionError if the stream ends too early."""
        lines = await self._read_head()
        words = lines[0].split(b" ", 2)
        if len(words) < 2 or not words[0].startswith(b"HTTP/1.") or not words[1].isdigit() or len(words[1]) != 3:
            raise BadMessageError("bad status line")
        headers = _parse_headers(lines[1:])
        status = int(words[1])
        if headers.get(b"transfer-encoding", b"").lower() == b"chunked":
            body = await self._read_chunks()
        else:
            body = b"" if status in (204, 304) else await self._read_body(_content_length(headers, MAX_RESPONSE_BYTES))
        retry_after = {"retry-after": headers[b"retry-after"].decode("latin-1")} if b"retry-after" in headers else {}
        keep_alive = headers.get(b"connection", b"").lower() != b"close"
        return Response(status, body, retry_after, keep_alive)

    async def _read_chunks(self) -> bytes:
        chunks: list[bytes] = []
        size = 0
        while True:
            while b"\r\n" not in self._buffer:
                if len(self._buffer) > MAX_HEAD_BYTES or not await self.read_more():
                    raise BadMessageError("bad chunk")
            line, _, self._buffer = self._buffer.partition(b"\r\n")
            try:
                length = int(line.split(b";")[0], 16)
            except ValueError:
                raise BadMessageError("bad chunk") from None
            size += length
            if size > MAX_RESPONSE_BYTES or length < 0:
                raise BadMessageError("answer too large")
            chunk = await self._read_body(length + 2)
            if length == 0:
                return b"".join(chunks)
            chunks.append(chunk[:-2])  # without the CRLF that ends each chunk
