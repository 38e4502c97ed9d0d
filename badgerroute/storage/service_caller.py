"""Requests to a service, as both clients need them: within a rate limit, with typed errors for missing answers."""

from dataclasses import dataclass
from datetime import timedelta
from typing import Any, NamedTuple

import msgspec

from badgerroute.protocol.common import MalformedError, decode
from badgerroute.storage.rate_limiter import RateLimiter, RateLimitExceededError, Urgency
from badgerroute.transport.http import Client, NoAnswerError, Response
from badgerroute.transport.loop import Loop

RECENT_FAILURE = timedelta(seconds=3)
UNAVAILABLE_STATUS = 503


@dataclass(frozen=True, slots=True)
class ServiceRequest:
    """One HTTP request. `limit`: how long it may wait for the rate limiter, and again for its answer."""

    method: str
    target: str
    urgency: Urgency
    limit: timedelta
    body: bytes = b""


class ErrorTypes(NamedTuple):
    """What a caller raises: `not_done` if nothing was or will be done, `unknown` if the request may have been done."""

    not_done: type[Exception]
    unknown: type[Exception]


class ServiceCaller:
    """Sends requests to one service within a rate limit. `service` names it in the text of errors."""

    def __init__(self, loop: Loop, limiter: RateLimiter, service: str) -> None:
        self._loop = loop
        self._limiter = limiter
        self._service = service
        self._failed_at: timedelta | None = None  # when a request last got no answer, or one of UNAVAILABLE_STATUS
        self.requests = 0  # sent, answered or not

    async def send(self, client: Client, request: ServiceRequest, errors: ErrorTypes) -> Response:
        """The answer, whatever its status. Raises one of `errors` if there is none."""
        try:
            await self._limiter.take(1, request.urgency, request.limit)
        except RateLimitExceededError as error:
            raise errors.not_done(str(error)) from None
        self.requests += 1
        try:
            response = await client.request(request.method, request.target, request.body, request.limit)
        except NoAnswerError as error:
            self._failed_at = self._loop.now()
            error_type = errors.unknown if error.sent else errors.not_done
            raise error_type(str(error)) from None
        if response.status == UNAVAILABLE_STATUS:
            self._failed_at = self._loop.now()
        return response

    def failed_recently(self) -> bool:
        """Whether a request went unanswered or was refused as in an outage within the last RECENT_FAILURE."""
        return self._failed_at is not None and self._loop.now() - self._failed_at < RECENT_FAILURE

    def decode(self, response: Response, decoder: msgspec.json.Decoder, errors: ErrorTypes) -> Any:
        """An answer's message. One that can't be read says nothing about what was done: `errors.unknown`."""
        try:
            return decode(response.body, decoder)
        except MalformedError as error:
            raise errors.unknown(f"malformed answer from the {self._service}: {error}") from None
