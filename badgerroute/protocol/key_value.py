"""Messages from controllers to the key-value store.

They are specified in the section "Controller nodes -> state service" of the platform's protocol specification.

The store has one revision number, which it increments with every transaction. All changes of a transaction have the
same revision.
"""

from typing import Any

import msgspec
from msgspec import UNSET, Raw, Struct, UnsetType, field


class KeyValueEntry(Struct):
    """A key, its value and the revision of its last change: response to GET /kv/{key}, item of GET /kv."""

    key: str
    value: Raw = Raw(b"null")
    revision: int = field(name="mark", default=0)
    lease: int | None = field(name="tether", default=None)


class KeyMissing(Struct):
    """The key does not exist: 404 response to GET /kv/{key}. `revision`: the store's revision when the key was read."""

    revision: int = field(name="ledger", default=0)


class KeyValuePage(Struct):
    """A page of the keys under a prefix, in key order: response to GET /kv. `more`: whether further keys follow."""

    items: list[KeyValueEntry] = field(name="rows")
    revision: int = field(name="ledger")
    more: bool = False


class Compare(Struct):
    """Condition of POST /txn: the revision that a key must have, or 0 if the key must not exist."""

    key: str
    revision: int = field(name="mark")


class Put(Struct, omit_defaults=True):
    """Change of POST /txn: writes a key and optionally attaches it to a lease."""

    key: str = field(name="write")
    value: Any
    lease: int | UnsetType = field(name="tether", default=UNSET)


class Remove(Struct):
    """Change of POST /txn: removes a key."""

    key: str = field(name="remove")


class Transaction(Struct):
    """Changes that are applied together if all conditions hold: POST /txn. Encoded only, never decoded."""

    conditions: list[Compare] = field(name="if")
    changes: list[Put | Remove] = field(name="apply")


class Applied(Struct):
    """The revision at which a transaction was applied: 200 response to POST /txn."""

    revision: int = field(name="ledger")


class CompareFailed(Struct):
    """The keys whose conditions did not hold, so that no change was applied: 409 response to POST /txn."""

    failed: list[str]
    revision: int = field(name="ledger", default=0)


class Lease(Struct):
    """A granted lease: response to POST /grants."""

    lease: int = field(name="tether")


class Change(Struct):
    """A change of a watched key: item of GET /follow. Either `put` or `removed` names the key."""

    revision: int = field(name="mark")
    put: str | UnsetType = field(name="write", default=UNSET)
    removed: str | UnsetType = field(name="remove", default=UNSET)
    value: Raw = Raw(b"null")


class Changes(Struct):
    """All changes after the requested revision, up to and including `revision`: response to GET /follow."""

    revision: int = field(name="ledger")
    changes: list[Change] = field(name="log")


class Refusal(Struct):
    """Why the store rejected a request: 400 response to any request, for example to a write under an ended lease."""

    error: str = ""


NO_SUCH_LEASE = "no such lease"


def names_ended_lease(body: bytes) -> bool:
    """Return whether a write was rejected because its lease has ended."""
    try:
        return refusal_decoder.decode(body).error == NO_SUCH_LEASE
    except msgspec.DecodeError:
        return False


refusal_decoder = msgspec.json.Decoder(Refusal)
entry_decoder = msgspec.json.Decoder(KeyValueEntry)
page_decoder = msgspec.json.Decoder(KeyValuePage)
applied_decoder = msgspec.json.Decoder(Applied)
conflict_decoder = msgspec.json.Decoder(CompareFailed)
missing_decoder = msgspec.json.Decoder(KeyMissing)
lease_decoder = msgspec.json.Decoder(Lease)
changes_decoder = msgspec.json.Decoder(Changes)
