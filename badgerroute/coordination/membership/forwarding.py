"""Requests that this controller can't answer itself, passed over the mesh to one that can.

Nothing is decided on the way. Whoever answers does so by its own claims and its own reading of the key-value store, and
a request that was passed on once is not passed on again. A message that is lost costs time.
"""

import logging
from collections.abc import Awaitable, Callable
from datetime import timedelta

from badgerroute.protocol.mesh import ForwardedRequest, ForwardedResponse, Message
from badgerroute.transport.http import Request, Response
from badgerroute.transport.loop import Future, Loop, TaskGroup

log = logging.getLogger(__name__)
Handler = Callable[[Request, str], Awaitable[Response]]
FIRST_NUMBERS = 1 << 48  # to draw the first of from


class RequestForwarder:
    """Both ends of it: `send` queues a message for a peer."""

    def __init__(
        self,
        loop: Loop,
        group: TaskGroup,
        host: str,
        most: int,
        first_number: int,
        send: Callable[[str, Message], None],
    ) -> None:
        self._loop, self._group, self._host, self._most = loop, group, host, most
        self._send = send
        self._next = first_number  # drawn, so that the answer to an earlier life of this process fits no request
        self._waiting: dict[tuple[str, int], Future] = {}
        self._serving = 0
        self.dropped = 0  # requests that came while as many as may be were under way

    async def forward(self, target: str, request: Request, limit: timedelta) -> Response | None:
        """A peer's answer; None if none came in time, or too many requests are on their way."""
        if len(self._waiting) >= self._most:
            self.dropped += 1
            return None
        self._next += 1
        key = (target, self._next)
        answered = self._waiting[key] = Future()
        try:
            self._send(target, ForwardedRequest(self._host, self._next, request.method, request.path, request.body))
            if not await self._loop.first(answered, limit):
                return None
            response: ForwardedResponse = answered.result
            return Response(response.status, response.body)
        finally:
            del self._waiting[key]

    def on_response(self, message: ForwardedResponse) -> None:
        """A peer's answer has come. One that is late, or came before, is of no use to anybody."""
        answered = self._waiting.get((message.host, message.number))
        if answered is not None:
            answered.set(message)

    def on_request(self, message: ForwardedRequest, handle: Handler) -> None:
        """Have a request that a peer passed on answered by `handle`, and send the response back."""
        if self._serving >= self._most:
            self.dropped += 1
            return
        self._serving += 1
        self._group.spawn(self._answer(message, handle), "forwarded")

    async def _answer(self, message: ForwardedRequest, handle: Handler) -> None:
        try:
            request = Request(message.method, message.path, "", message.body)
            response = await handle(request, message.host)
            answer = ForwardedResponse(self._host, message.number, response.status, response.body)
            self._send(message.host, answer)
        finally:
            self._serving -= 1
