"""An HTTP server with limits on everything: connections, waits, sizes."""

import logging
from collections.abc import Awaitable, Callable
from datetime import timedelta

from badgerroute.transport.http_messages import Request, Response, encode_response
from badgerroute.transport.http_parser import BadMessageError, Reader
from badgerroute.transport.loop import CoroutineTask, Loop, TaskGroup, TimeLimitError
from badgerroute.transport.net import Listener, Stream

log = logging.getLogger(__name__)

REFUSAL_LIMIT = timedelta(seconds=1)  # for sending the answer to a malformed request

Handler = Callable[[Request], Awaitable[Response]]


class Server:
    """Every connection is a task of its own; connections, waits and sizes are all bounded.

    `most`: open connections. `idle`: how long one may wait for a request. `slow`: how long a request may take to arrive
    once it has begun, and again its response to be sent.
    """

    def __init__(
        self,
        loop: Loop,
        group: TaskGroup,
        handler: Handler,
        most: int,
        idle: timedelta = timedelta(seconds=90),
        slow: timedelta = timedelta(seconds=6),
    ) -> None:
        self._loop = loop
        self._group = group
        self._handler = handler
        self._max_connections = most
        self._idle_limit = idle
        self._transfer_limit = slow
        self._idle_tasks: dict[Stream, CoroutineTask | None] = {}  # of idle connections, the longest idle one first
        self.open = 0  # connections

    async def serve(self, listener: Listener) -> None:
        """Accept connections and answer their requests until cancelled."""
        try:
            while True:
                stream = await listener.accept()
                if self.open >= self._max_connections:
                    self._evict()
                self.open += 1
                self._group.spawn(self._connection(stream), "http")
        finally:
            listener.close()

    def _evict(self) -> None:
        """Out of connections: the one that has idled longest makes room for the new one."""
        if self._idle_tasks:
            stream = next(iter(self._idle_tasks))
            task = self._idle_tasks.pop(stream)
            if task is not None:
                task.cancel()

    async def _connection(self, stream: Stream) -> None:
        reader = Reader(stream)
        try:
            while True:
                request = await self._next(stream, reader)
                if request is None:
                    return
                response = await self._handle(request)
                keep = request.keep and response.keep
                with self._loop.limit(self._transfer_limit):
                    await stream.write(encode_response(response, keep))
                if not keep:
                    return
        except BadMessageError as error:
            log.info("event=request_rejected error=%s", error)
            await self._refuse(stream)
        except (OSError, TimeLimitError) as error:
            log.debug("event=connection_closed error=%s", error)
        finally:
            self._idle_tasks.pop(stream, None)
            stream.close()
            self.open -= 1

    async def _handle(self, request: Request) -> Response:
        """The handler's response; 503 if it fails."""
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

    async def _next(self, stream: Stream, reader: Reader) -> Request | None:
        """The next request of a connection; None if the other side has closed it between two requests."""
        if not reader.started:
            self._idle_tasks[stream] = self._loop.current
            try:
                with self._loop.limit(self._idle_limit):
                    if not await reader.more():
                        return None
            finally:
                self._idle_tasks.pop(stream, None)
        with self._loop.limit(self._transfer_limit):  # half a request must not hold a socket for ever
            return await reader.request()

    async def _refuse(self, stream: Stream) -> None:
        body = b'{"error":"malformed request"}'
        try:
            with self._loop.limit(REFUSAL_LIMIT):
                await stream.write(encode_response(Response(400, body), keep=False))
        except (OSError, TimeLimitError):
            log.debug("event=refusal_send_failed")
