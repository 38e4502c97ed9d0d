"""Definitions shared by all interfaces: the range of counters, JSON encoding and decoding."""

import re
from typing import Any

import msgspec

COUNTER_LIMIT = 2**64  # exclusive upper bound of counts, versions, fencing tokens and attempt numbers
# msgspec's errors name the invalid field: "... missing required field `x`", or "... - at `$.x`".
_FIELD_IN_ERROR_TEXT = re.compile(r"(?:missing required field `|- at `\$\.)([^`]+)`")


class MalformedError(ValueError):
    """An invalid message. The error text is returned to the sender.

    `field`: the invalid field by its name on the wire, or "" if the error is not about a single field.
    """

    def __init__(self, text: str, field: str = "") -> None:
        super().__init__(text)
        self.field = field

    @classmethod
    def for_field(cls, field: str, problem: str) -> "MalformedError":
        """Return an error about one field. Its text begins with the field's name."""
        return cls(f"{field}: {problem}", field)


def decode(data: bytes, decoder: msgspec.json.Decoder) -> Any:
    """Decode one JSON message; raise MalformedError if it is invalid in any way."""
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError, OverflowError) as error:
        text = str(error)
        match = _FIELD_IN_ERROR_TEXT.search(text)
        raise MalformedError(text, match[1] if match else "") from None


encode = msgspec.json.encode
