"""Rate-limited requests to an external service, with the errors to raise when there is no response.

Used by the clients of the key-value store and of the cloud.
"""

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
    """One HTTP request. `timeout` limits the wait for the rate limiter, and separately the wait for the response."""

    method: str
    target: str
    urgency: Urgency
    timeout: timedelta
    body: bytes = b""


class ErrorTypes(NamedTuple):
    """The errors to raise for a request without a usable response.

    `not_executed` is for a request that certainly was not and will not be executed, `outcome_unknown` for any other.
    """

    not_executed: type[Exception]
    outcome_unknown: type[Exception]


class ServiceCaller:
    """Sends requests to one service within a rate limit. `service` is its name in error messages."""

    def __init__(self, loop: Loop, limiter: RateLimiter, service: str) -> None:
        self._loop = loop
        self._limiter = limiter
        self._service = service
        self._failed_at: timedelta | None = None  # when a request last got no response or UNAVAILABLE_STATUS
        self.request_count = 0  # number of requests sent, with or without a response

    async def send(self, client: Client, request: ServiceRequest, errors: ErrorTypes) -> Response:
        """Send a request and return the response, whatever its status. Raise one of `errors` if no response arrives."""
        try:
            await self._limiter.take(1, request.urgency, request.timeout)
        except RateLimitExceededError as error:
            raise errors.not_executed(str(error)) from None
        self.request_count += 1
        try:
            response = await client.request(request.method, request.target, request.body, request.timeout)
        except NoAnswerError as error:
            self._failed_at = self._loop.now()
            error_type = errors.outcome_unknown if error.sent else errors.not_executed
            raise error_type(str(error)) from None
        if response.status == UNAVAILABLE_STATUS:
            self._failed_at = self._loop.now()
        return response

    def failed_recently(self) -> bool:
        """Return whether a request got no response, or UNAVAILABLE_STATUS, within the last RECENT_FAILURE."""
        return self._failed_at is not None and self._loop.now() - self._failed_at < RECENT_FAILURE

    def decode(self, response: Response, decoder: msgspec.json.Decoder, errors: ErrorTypes) -> Any:
        """Decode a response body. A malformed one does not show the outcome, so it raises `errors.outcome_unknown`."""
        try:
            return decode(response.body, decoder)
        except MalformedError as error:
            raise errors.outcome_unknown(f"malformed response from the {self._service}: {error}") from None
