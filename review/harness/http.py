"""A small HTTP/1.1 server and client on asyncio, as the interfaces of PROTOCOL need them."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qsl

Answer = tuple[int, object]
Handler = Callable[[str, str, dict[str, str], bytes], Awaitable[Answer | None]]
MAX_LINE = 65536  # PROTOCOL: no body of a request and no line of a response may be longer


async def read_message(reader: asyncio.StreamReader) -> tuple[list[str], dict[str, str], bytes]:
    """Read the first line, the headers and the body of a request or a response."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return head[0].split(" ", 2), headers, body


class Server:
    """Serves one address on loopback. A handler that returns None closes the connection without an answer."""

    def __init__(self, handler: Handler) -> None:
        self.handler, self.port = handler, 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> int:
        """Listen on a free port and return it."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=1024)
        self.port = self._server.sockets[0].getsockname()[1]
        return self.port

    def close(self) -> None:
        """Stop listening, and reset the open connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                (method, target, _), headers, body = await read_message(reader)
                path, _, query = target.partition("?")
                answer = await self.handler(method, path, dict(parse_qsl(query)), body)
                if answer is None:
                    return
                data = json.dumps(answer[1], separators=(",", ":")).encode()
                writer.write(
                    f"HTTP/1.1 {answer[0]} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()


class Client:
    """Sends requests to one address, over one connection that it keeps while it can."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._host, self._port = host, int(port)
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None

    async def request(self, method: str, path: str, message: object = None, timeout: float = 5.0) -> tuple[int, bytes]:
        """Return status and body. Raises OSError without an answer in time."""
        body = b"" if message is None else json.dumps(message, separators=(",", ":")).encode()
        try:
            async with asyncio.timeout(timeout):
                if self._streams is None:
                    self._streams = await asyncio.open_connection(self._host, self._port, limit=1 << 24)
                reader, writer = self._streams
                writer.write(
                    f"{method} {path} HTTP/1.1\r\nHost: {self._host}\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n".encode()
                    + body
                )
                await writer.drain()
                first, headers, data = await read_message(reader)
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            self.close()
            raise OSError(f"no answer: {error!r}") from None
        except BaseException:
            self.close()
            raise
        if headers.get("connection", "").lower() == "close":
            self.close()
        return int(first[1]), data
