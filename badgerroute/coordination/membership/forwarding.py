"""Forwards requests that this controller can't answer itself to a peer over the mesh.

The forwarding controller makes no decision about a request. The peer answers it from the shards that it leads and from
its own view of the key-value store, and never forwards it again. If a message is lost, the request times out.
"""

from collections.abc import Awaitable, Callable
from datetime import timedelta

from badgerroute.protocol.mesh import ForwardedRequest, ForwardedResponse, Message
from badgerroute.transport.http import Request, Response
from badgerroute.transport.loop import Future, Loop, TaskGroup

Handler = Callable[[Request, str], Awaitable[Response]]
FIRST_REQUEST_NUMBER_RANGE = 1 << 48  # the first request number is random below this


class RequestForwarder:
    """Forwards requests to peers, and answers the requests that peers forward.

    `send` queues a message for a peer. At most `max_concurrent` requests are in flight in each direction.
    """

    def __init__(
        self,
        loop: Loop,
        group: TaskGroup,
        host: str,
        max_concurrent: int,
        first_request_number: int,
        send: Callable[[str, Message], None],
    ) -> None:
        self._loop, self._group, self._host, self._max_concurrent = loop, group, host, max_concurrent
        self._send = send
        # Numbers start at a random value, so that a response to a request of an earlier run of this process is ignored.
        self._last_request_number = first_request_number
        self._pending_responses: dict[tuple[str, int], Future] = {}  # by peer and request number
        self._requests_in_progress = 0
        self.dropped_requests = 0  # requests not handled because `max_concurrent` were in flight

    async def forward(self, target: str, request: Request, timeout: timedelta) -> Response | None:
        """Return a peer's response, or None if none arrives within `timeout` or too many requests are in flight."""
        if len(self._pending_responses) >= self._max_concurrent:
            self.dropped_requests += 1
            return None
        self._last_request_number += 1
        request_number = self._last_request_number
        response_future = self._pending_responses[target, request_number] = Future()
        try:
            self._send(target, ForwardedRequest(self._host, request_number, request.method, request.path, request.body))
            if not await self._loop.first(response_future, timeout):
                return None
            response: ForwardedResponse = response_future.result
            return Response(response.status, response.body)
        finally:
            del self._pending_responses[target, request_number]

    def on_response(self, message: ForwardedResponse) -> None:
        """Deliver a peer's response to the request that waits for it. A late or duplicate response is ignored."""
        response_future = self._pending_responses.get((message.host, message.number))
        if response_future is not None:
            response_future.set(message)

    def on_request(self, message: ForwardedRequest, handle: Handler) -> None:
        """Answer a request that a peer forwarded, by running `handle` in a background task."""
        if self._requests_in_progress >= self._max_concurrent:
            self.dropped_requests += 1
            return
        self._requests_in_progress += 1
        self._group.spawn(self._answer(message, handle), "forwarded")

    async def _answer(self, message: ForwardedRequest, handle: Handler) -> None:
        try:
            request = Request(message.method, message.path, "", message.body)
            response = await handle(request, message.host)
            forwarded_response = ForwardedResponse(self._host, message.number, response.status, response.body)
            self._send(message.host, forwarded_response)
        finally:
            self._requests_in_progress -= 1
