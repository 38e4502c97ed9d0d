"""HTTP/1.1: re-exports messages, parser, server and client for the other packages."""

from badgerroute.transport.http_client import Client, NoAnswerError
from badgerroute.transport.http_messages import Request, Response, encode_response, parse_query
from badgerroute.transport.http_parser import BadMessageError, Reader
from badgerroute.transport.http_server import Handler, Server

__all__ = [
    "BadMessageError",
    "Client",
    "Handler",
    "NoAnswerError",
    "Reader",
    "Request",
    "Response",
    "Server",
    "encode_response",
    "parse_query",
]
