"""An HTTP server that limits connections, message sizes and all waits."""

import logging
from collections.abc import Awaitable, Callable
from datetime import timedelta

from badgerroute.transport.http_messages import Request, Response, encode_response
from badgerroute.transport.http_parser import BadMessageError, Reader
from badgerroute.transport.loop import CoroutineTask, Loop, TaskGroup, TimeLimitError
from badgerroute.transport.net import Listener, Stream

log = logging.getLogger(__name__)

REFUSAL_LIMIT = timedelta(seconds=1)  # time limit for sending the response to a malformed request

Handler = Callable[[Request], Awaitable[Response]]


class Server:
    """Serves each connection in a task of its own.

    `max_connections`: the limit of open connections. Once it is reached, each new connection closes the one that has
    been idle longest, if any is idle. `idle_limit`: how long a connection is allowed to stay idle between requests.
    `transfer_limit`: the time limit for receiving a request once its first bytes have arrived, and for sending its
    response.
    """

    def __init__(
        self,
        loop: Loop,
        group: TaskGroup,
        handler: Handler,
        max_connections: int,
        idle_limit: timedelta = timedelta(seconds=90),
        transfer_limit: timedelta = timedelta(seconds=6),
    ) -> None:
        self._loop = loop
        self._group = group
        self._handler = handler
        self._max_connections = max_connections
        self._idle_limit = idle_limit
        self._transfer_limit = transfer_limit
        self._idle_tasks: dict[Stream, CoroutineTask | None] = {}  # by idle connection, the one idle longest first
        self.open_connections = 0

    async def serve(self, listener: Listener) -> None:
        """Accept connections and serve their requests until cancelled."""
        try:
            while True:
                stream = await listener.accept()
                if self.open_connections >= self._max_connections:
                    self._close_longest_idle()
                self.open_connections += 1
                self._group.spawn(self._serve_connection(stream), "http")
        finally:
            listener.close()

    def _close_longest_idle(self) -> None:
        """Close the connection that has been idle for the longest time, to stay within the limit."""
        if self._idle_tasks:
            stream = next(iter(self._idle_tasks))
            task = self._idle_tasks.pop(stream)
            if task is not None:
                task.cancel()

    async def _serve_connection(self, stream: Stream) -> None:
        reader = Reader(stream)
        try:
            while True:
                request = await self._read_request(stream, reader)
                if request is None:
                    return
                response = await self._handle(request)
                keep_alive = request.keep_alive and response.keep_alive
                with self._loop.limit(self._transfer_limit):
                    await stream.write(encode_response(response, keep_alive))
                if not keep_alive:
                    return
        except BadMessageError as error:
            log.info("event=request_rejected error=%s", error)
            await self._send_bad_request(stream)
        except (OSError, TimeLimitError) as error:
            log.debug("event=connection_closed error=%s", error)
        finally:
            self._idle_tasks.pop(stream, None)
            stream.close()
            self.open_connections -= 1

    async def _handle(self, request: Request) -> Response:
        """Return the handler's response, or a 503 response if the handler fails."""
        try:
            return await self._handler(request)
        except Exception as error:
            log.error(
                "event=request_handler_failed method=%s path=%s error=%r",
                request.method,
                request.path[:80],
                error,
                exc_info=error,
            )
            return Response(503, b'{"error":"internal"}', {"Retry-After": "1"})

    async def _read_request(self, stream: Stream, reader: Reader) -> Request | None:
        """Read a connection's next request. Return None if the client has closed the connection between requests."""
        if not reader.has_buffered_data:
            self._idle_tasks[stream] = self._loop.current
            try:
                with self._loop.limit(self._idle_limit):
                    if not await reader.read_more():
                        return None
            finally:
                self._idle_tasks.pop(stream, None)
        with self._loop.limit(self._transfer_limit):  # an incomplete request must not occupy a socket forever
            return await reader.read_request()

    async def _send_bad_request(self, stream: Stream) -> None:
        body = b'{"error":"malformed request"}'
        try:
            with self._loop.limit(REFUSAL_LIMIT):
                await stream.write(encode_response(Response(400, body), keep_alive=False))
        except (OSError, TimeLimitError):
            log.debug("event=refusal_send_failed")
