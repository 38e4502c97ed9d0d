"""HTTP responses shared by all request handlers."""

from badgerroute.protocol.common import encode
from badgerroute.storage.errors import LeaseExpiredError, OutcomeUnknownError, StoreUnavailableError
from badgerroute.transport.http import Response

# Errors of the key-value store after which a request may not have taken effect, so that the user must repeat it.
UNDECIDED_ERRORS = (StoreUnavailableError, OutcomeUnknownError, LeaseExpiredError)
RETRY_AFTER_S = "1"


def answer(status: int, message: object, headers: dict[str, str] | None = None) -> Response:
    """Return a response with a JSON body."""
    return Response(status, encode(message), headers or {})


def error(status: int, text: str) -> Response:
    """Return a response that describes an error."""
    return answer(status, {"error": text})


def retry_later(text: str, status: int = 503) -> Response:
    """Return a response that asks the client to retry a request that cannot be decided at the moment."""
    return answer(status, {"error": text}, {"Retry-After": RETRY_AFTER_S})


def store_unreachable() -> Response:
    """Return the response to a request that could not be decided because the key-value store gave no answer."""
    return retry_later("the state service can't be reached")


def method_not_allowed() -> Response:
    """Return the response to a request for a known path with a method that the path does not support."""
    return error(405, "method not allowed")


def no_such_job() -> Response:
    """Return the response to a request for a job that no controller has accepted, or for an invalid job id."""
    return error(404, "no such job")
