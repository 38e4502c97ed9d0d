"""Responses that every kind of request has in common."""

from badgerroute.protocol.common import encode
from badgerroute.transport.http import Response


def answer(status: int, message: object, headers: dict[str, str] | None = None) -> Response:
    """A response with a JSON body."""
    return Response(status, encode(message), headers or {})


def error(status: int, text: str) -> Response:
    """A response that says what is wrong."""
    return answer(status, {"error": text})


def retry_later(text: str, status: int = 503) -> Response:
    """A response to what can't be decided now."""
    return answer(status, {"error": text}, {"Retry-After": "1"})
