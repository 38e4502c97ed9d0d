"""TCP connections on the event loop. Tests use a simulated network instead of `TcpNetwork`."""

import errno
import logging
import selectors
import socket
from datetime import timedelta
from typing import Protocol

from badgerroute.transport.loop import Loop, SelectorPoller

log = logging.getLogger(__name__)
MAX_READ_BYTES = 65536
ACCEPT_RETRY_DELAY = timedelta(milliseconds=100)  # used when the system has run out of file descriptors or memory
LISTEN_BACKLOG = 4096  # after a failover, all workers might connect at once; the system may cap this


class Stream(Protocol):
    """A connection, read and written as a stream of bytes."""

    async def read(self) -> bytes:
        """Wait for data and return it; return empty bytes at the end of the stream."""

    async def write(self, data: bytes) -> None:
        """Write all of the data. Wait whenever the connection accepts no more bytes for now."""

    def close(self) -> None:
        """Close the connection; closing twice does nothing."""


class Listener(Protocol):
    """Accepts incoming connections on one address, until it is closed."""

    async def accept(self) -> Stream:
        """Wait for an incoming connection and return it."""

    def close(self) -> None:
        """Stop listening."""


class Network(Protocol):
    """Opens connections and listeners. The implementations are TcpNetwork and the simulated networks of the tests."""

    async def connect(self, address: str, limit: timedelta) -> Stream:
        """Open a connection. Raise OSError if that fails, or TimeLimitError if it takes longer than `limit`."""

    def listen(self, address: str) -> Listener:
        """Start listening on an address."""


def split_address(address: str) -> tuple[str, int]:
    """Split an address into host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class TcpStream:
    """A `Stream` over a TCP socket. Reads and writes raise OSError if the connection fails."""

    __slots__ = ("_poller", "_sock")

    def __init__(self, poller: SelectorPoller, sock: socket.socket) -> None:
        self._poller = poller
        self._sock = sock

    async def read(self) -> bytes:
        while True:
            try:
                return self._sock.recv(MAX_READ_BYTES)
            except BlockingIOError:
                await self._poller.wait(self._sock.fileno(), selectors.EVENT_READ)

    async def write(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            try:
                view = view[self._sock.send(view) :]
            except BlockingIOError:
                await self._poller.wait(self._sock.fileno(), selectors.EVENT_WRITE)

    def close(self) -> None:
        if self._sock.fileno() >= 0:
            self._poller.cancel_waits(self._sock.fileno())
            self._sock.close()


class TcpListener:
    """A `Listener` on a TCP socket."""

    def __init__(self, loop: Loop, poller: SelectorPoller, sock: socket.socket) -> None:
        self._loop = loop
        self._poller = poller
        self._sock = sock

    async def accept(self) -> TcpStream:
        while True:
            try:
                sock, _ = self._sock.accept()
            except BlockingIOError:
                await self._poller.wait(self._sock.fileno(), selectors.EVENT_READ)
            except OSError as error:
                if error.errno not in (errno.EMFILE, errno.ENFILE, errno.ECONNABORTED, errno.ENOMEM, errno.ENOBUFS):
                    raise
                # Out of file descriptors or memory: an immediate retry would waste scarce processor time.
                log.warning("event=accept_failed error=%s", error)
                await self._loop.sleep(ACCEPT_RETRY_DELAY)
            else:
                sock.setblocking(False)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                return TcpStream(self._poller, sock)

    def close(self) -> None:
        if self._sock.fileno() >= 0:
            self._poller.cancel_waits(self._sock.fileno())
            self._sock.close()


class TcpNetwork:
    """Opens TCP connections and listeners with the sockets of the operating system."""

    def __init__(self, loop: Loop, poller: SelectorPoller) -> None:
        self._loop = loop
        self._poller = poller

    async def connect(self, address: str, limit: timedelta) -> TcpStream:
        """Open a TCP connection. Raise OSError if that fails, or TimeLimitError if it takes longer than `limit`."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            error_code = sock.connect_ex(split_address(address))
            if error_code not in (0, errno.EINPROGRESS):
                raise OSError(error_code, "connect failed")
            if error_code:
                with self._loop.limit(limit):
                    await self._poller.wait(sock.fileno(), selectors.EVENT_WRITE)
                error_code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
                if error_code:
                    raise OSError(error_code, "connect failed")
        except BaseException:
            if sock.fileno() >= 0:
                self._poller.cancel_waits(sock.fileno())
            sock.close()
            raise
        return TcpStream(self._poller, sock)

    def listen(self, address: str) -> TcpListener:
        """Open a TCP socket that listens on an address."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind(split_address(address))
        sock.listen(LISTEN_BACKLOG)
        return TcpListener(self._loop, self._poller, sock)


__all__ = ["Listener", "Network", "Stream", "TcpNetwork", "split_address"]
