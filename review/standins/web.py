"""A small HTTP/1.1 server and client on asyncio, for JSON bodies. Connections stay open; nothing is pipelined."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qsl, unquote

REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 429: "Too Many", 503: "Unavailable"}


@dataclass
class Call:
    """A request as a server sees it. `query` holds the parameters; `raw` is the body's text."""

    method: str
    path: str
    query: dict[str, str]
    raw: bytes

    @property
    def body(self) -> Any:
        """The JSON body, or None if it is not JSON."""
        try:
            return json.loads(self.raw)
        except ValueError:
            return None


Answer = tuple[int, Any]
Handler = Callable[[Call], Awaitable[Answer | None]]


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Read a message: its first line, headers and body. Return None at the end of the stream."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.rstrip("\r\n").split("\r\n")
    headers = {name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return first, headers, body


async def serve(handler: Handler, host: str = "127.0.0.1", port: int = 0) -> tuple[asyncio.Server, str]:
    """Serve requests on a loopback address; return the server and its address.

    If the handler returns None, the connection is closed without a response.
    """

    async def connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (message := await read_message(reader)) is not None:
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                path, _, query = target.partition("?")
                answer = await handler(Call(method, unquote(path), dict(parse_qsl(query)), body))
                if answer is None:
                    return
                status, value = answer
                data = json.dumps(value).encode()
                head = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\nContent-Type: application/json\r\n"
                writer.write(head.encode() + f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    return
        except (ConnectionError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    server = await asyncio.start_server(connection, host, port, limit=1 << 22)
    return server, f"{host}:{server.sockets[0].getsockname()[1]}"


class Connection:
    """A client's connection to one server, which is kept open between requests and reopened when it was lost."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    def close(self) -> None:
        """Close the connection, if it is open."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None

    async def request(self, method: str, path: str, body: Any = None, limit: float = 5.0) -> Answer | None:
        """Send a request and return status and body of the response, or None without one within `limit` seconds."""
        try:
            return await asyncio.wait_for(self._request(method, path, body), limit)
        except (OSError, TimeoutError, ValueError):
            self.close()
            return None
        except asyncio.CancelledError:
            self.close()
            raise

    async def _request(self, method: str, path: str, body: Any) -> Answer:
        if self._streams is None or self._streams[0].at_eof():
            self.close()
            host, _, port = self.address.rpartition(":")
            self._streams = await asyncio.open_connection(host, int(port), limit=1 << 22)
        reader, writer = self._streams
        data = b"" if body is None else json.dumps(body).encode()
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: {self.address}\r\nContent-Length: {len(data)}\r\n\r\n".encode()
        )
        writer.write(data)
        await writer.drain()
        message = await read_message(reader)
        if message is None:
            raise ConnectionError("no response")
        first, headers, answer = message
        if headers.get("connection", "").lower() == "close":
            self.close()
        return int(first.split(" ")[1]), json.loads(answer) if answer else None


async def ask(address: str, method: str, path: str, body: Any = None, limit: float = 5.0) -> Answer | None:
    """Send one request over a connection of its own."""
    connection = Connection(address)
    try:
        return await connection.request(method, path, body, limit)
    finally:
        connection.close()
