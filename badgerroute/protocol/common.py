"""What all interfaces share: the range of counters, and JSON in and out."""

import re
from typing import Any

import msgspec

NO_LIMIT = 2**64  # counts, versions, tokens and attempts are integers below this
# How msgspec says which field is wrong: "... missing required field `x`", or "... - at `$.x`".
_FIELD_IN_TEXT = re.compile(r"(?:missing required field `|- at `\$\.)([^`]+)`")


class MalformedError(ValueError):
    """A message that breaks its interface's rules. Its text goes to the sender, who has to correct the message.

    `field`: which field is wrong, by its name on the wire; "" if it is the message as a whole.
    """

    def __init__(self, text: str, field: str = "") -> None:
        super().__init__(text)
        self.field = field

    @classmethod
    def of_field(cls, field: str, problem: str) -> "MalformedError":
        """What is wrong with one field; the text begins with its name."""
        return cls(f"{field}: {problem}", field)


def decode(data: bytes, decoder: msgspec.json.Decoder) -> Any:
    """Decode one JSON message; everything that can be wrong with it becomes `MalformedError`."""
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError, OverflowError) as error:
        text = str(error)
        found = _FIELD_IN_TEXT.search(text)
        raise MalformedError(text, found[1] if found else "") from None


encode = msgspec.json.encode
