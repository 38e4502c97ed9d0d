"""Controllers -> key-value store: PROTOCOL, "Controller nodes -> state service".

A revision counts all changes of the store; every change of one transaction has the same.
"""

from typing import Any

import msgspec
from msgspec import UNSET, Raw, Struct, UnsetType, field


class KeyValueEntry(Struct):
    """A key, its value and the revision at which it last changed: response of GET /kv/{key}, item of GET /kv."""

    key: str
    value: Raw = Raw(b"null")
    revision: int = field(name="mark", default=0)
    lease: int | None = field(name="tether", default=None)


class KeyMissing(Struct):
    """The key does not exist (404 of GET /kv/{key}). `revision`: up to which changes had been applied by then."""

    revision: int = field(name="ledger", default=0)


class KeyValuePage(Struct):
    """A page of keys under a prefix, sorted: response of GET /kv. `more`: others follow the last of them."""

    items: list[KeyValueEntry] = field(name="rows")
    revision: int = field(name="ledger")
    more: bool = False


class Compare(Struct):
    """Condition of POST /txn: the revision that a key must have; 0: it must not exist."""

    key: str
    revision: int = field(name="mark")


class Put(Struct, omit_defaults=True):
    """Change of POST /txn: writes a key, attached to a lease or to none."""

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
    """The revision at which a transaction was applied: 200 of POST /txn."""

    revision: int = field(name="ledger")


class CompareFailed(Struct):
    """The keys whose conditions did not hold, so that nothing was applied: 409 of POST /txn."""

    failed: list[str]
    revision: int = field(name="ledger", default=0)


class Lease(Struct):
    """A lease that was granted: response of POST /grants."""

    lease: int = field(name="tether")


class Change(Struct):
    """One change of a watched key (GET /follow): either `put` or `removed` names the key."""

    revision: int = field(name="mark")
    put: str | UnsetType = field(name="write", default=UNSET)
    removed: str | UnsetType = field(name="remove", default=UNSET)
    value: Raw = Raw(b"null")


class Changes(Struct):
    """All changes up to `revision` since the one that was asked for: response of GET /follow."""

    revision: int = field(name="ledger")
    changes: list[Change] = field(name="log")


class Refusal(Struct):
    """Why a request is called malformed: 400 of any request; of POST /txn also for a lease that has ended."""

    error: str = ""


NO_SUCH_LEASE = "no such lease"


def names_ended_lease(body: bytes) -> bool:
    """Whether a refused write named a lease that has ended."""
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
