"""HTTP/1.1 requests and responses, and the encoding of responses."""

from dataclasses import dataclass, field
from urllib.parse import unquote_plus

REASONS = {
    200: "OK",
    201: "Created",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    421: "Misdirected Request",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


@dataclass(slots=True)
class Request:
    """A complete HTTP request. `keep_alive`: whether the connection stays open after the response."""

    method: str
    path: str
    query: str
    body: bytes = b""
    keep_alive: bool = True


@dataclass(slots=True)
class Response:
    """An HTTP response. `keep_alive`: whether the connection stays open after it."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    keep_alive: bool = True


def parse_query(query: str) -> dict[str, str]:
    """Parse a query string into its parameters. The last value of a repeated parameter wins."""
    pairs = (part.partition("=") for part in query.split("&") if part)
    return {unquote_plus(name): unquote_plus(value) for name, _, value in pairs}


def encode_response(response: Response, keep_alive: bool) -> bytes:
    """Encode a response. Without `keep_alive`, a header tells the client that the connection will be closed."""
    lines = [f"HTTP/1.1 {response.status} {REASONS.get(response.status, 'Status')}"]
    if response.body:
        lines.append("Content-Type: application/json")
    lines.append(f"Content-Length: {len(response.body)}")
    lines.extend(f"{name}: {value}" for name, value in response.headers.items())
    if not keep_alive:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + response.body
