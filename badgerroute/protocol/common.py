"""What all interfaces share: numbers as the wire may write them, and JSON in and out."""

from typing import Any, TypeVar

import msgspec

T = TypeVar("T")
NO_LIMIT = 2**64


class MalformedError(ValueError):
    """A message that breaks its interface's rules; the text names the field."""


def decode(data: bytes, decoder: msgspec.json.Decoder) -> Any:
    """Decode one JSON message; everything that can be wrong with it becomes `MalformedError`."""
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError, OverflowError) as error:
        raise MalformedError(str(error)) from None


encode = msgspec.json.encode
