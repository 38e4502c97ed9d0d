"""TCP streams over the event loop. Tests use another `Network` in place of the real one."""

import errno
import logging
import selectors
import socket
from datetime import timedelta
from typing import Protocol

from badgerroute.transport.loop import Loop, SelectorPoller

log = logging.getLogger(__name__)
READ_BYTES = 65536  # at a time
ACCEPT_PAUSE = timedelta(milliseconds=100)  # when the system has no sockets left
BACKLOG = 4096  # all workers may connect at once when a controller takes over; the system may allow fewer


class Stream(Protocol):
    """A connection."""

    async def read(self) -> bytes:
        """Some bytes; empty at the end of the stream."""

    async def write(self, data: bytes) -> None:
        """Write all of the data."""

    def close(self) -> None:
        """Close the connection; closing twice does nothing."""


class Listener(Protocol):
    """Accepts connections."""

    async def accept(self) -> Stream:
        """Wait for a connection."""

    def close(self) -> None:
        """Stop listening."""


class Network(Protocol):
    """Opens connections and listeners: the real one, or a stand-in."""

    async def connect(self, address: str, limit: timedelta) -> Stream:
        """Open a connection; OSError or TimeLimitError if that fails."""

    def listen(self, address: str) -> Listener:
        """Listen on an address."""


def split(address: str) -> tuple[str, int]:
    """Host and port of an address."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class TcpStream:
    """See Stream. OSError if the connection fails."""

    __slots__ = ("_poller", "_sock")

    def __init__(self, poller: SelectorPoller, sock: socket.socket) -> None:
        self._poller = poller
        self._sock = sock

    async def read(self) -> bytes:
        while True:
            try:
                return self._sock.recv(READ_BYTES)
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
            self._poller.forget(self._sock.fileno())
            self._sock.close()


class TcpListener:
    """See Listener."""

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
                # Out of sockets: trying again at once would use up the little processor time there is.
                log.warning("event=accept_failed error=%s", error)
                await self._loop.sleep(ACCEPT_PAUSE)
            else:
                sock.setblocking(False)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                return TcpStream(self._poller, sock)

    def close(self) -> None:
        if self._sock.fileno() >= 0:
            self._poller.forget(self._sock.fileno())
            self._sock.close()


class TcpNetwork:
    """The network of the machine."""

    def __init__(self, loop: Loop, poller: SelectorPoller) -> None:
        self._loop = loop
        self._poller = poller

    async def connect(self, address: str, limit: timedelta) -> TcpStream:
        """See Network."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            error_code = sock.connect_ex(split(address))
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
                self._poller.forget(sock.fileno())
            sock.close()
            raise
        return TcpStream(self._poller, sock)

    def listen(self, address: str) -> TcpListener:
        """See Network."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind(split(address))
        sock.listen(BACKLOG)
        return TcpListener(self._loop, self._poller, sock)


__all__ = ["Listener", "Network", "Stream", "TcpNetwork", "split"]
