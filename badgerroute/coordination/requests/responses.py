"""Responses that every kind of request has in common, and the errors that each of them stands for."""

from badgerroute.protocol.common import encode
from badgerroute.storage.errors import LeaseExpiredError, OutcomeUnknownError, StoreUnavailableError
from badgerroute.transport.http import Response

# Errors of the key-value store after which nothing is known to have been decided: the user repeats the request.
UNDECIDED_ERRORS = (StoreUnavailableError, OutcomeUnknownError, LeaseExpiredError)
RETRY_AFTER_S = "1"


def answer(status: int, message: object, headers: dict[str, str] | None = None) -> Response:
    """A response with a JSON body."""
    return Response(status, encode(message), headers or {})


def error(status: int, text: str) -> Response:
    """A response that says what is wrong."""
    return answer(status, {"error": text})


def retry_later(text: str, status: int = 503) -> Response:
    """A response to what can't be decided now."""
    return answer(status, {"error": text}, {"Retry-After": RETRY_AFTER_S})


def store_unreachable() -> Response:
    """The response to a request that needs the key-value store, which did not decide it."""
    return retry_later("the state service can't be reached")


def method_not_allowed() -> Response:
    """The response to a known path that was asked for with another method."""
    return error(405, "method not allowed")


def no_such_job() -> Response:
    """The response to an id that nobody submitted, or that is no job id at all."""
    return error(404, "no such job")
