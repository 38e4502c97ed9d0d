"""The parts of a transaction of the key-value store."""

from typing import Any

from badgerroute.protocol import key_value as wire


def compare(key: str, revision: int) -> wire.Compare:
    """A condition of a transaction: the key has this revision, or does not exist if that is 0."""
    return wire.Compare(key, revision)


def put(key: str, value: Any, lease: int | None = None) -> wire.Put:
    """A change that writes a key. With a lease, the key goes when the lease ends."""
    return wire.Put(key, value) if lease is None else wire.Put(key, value, lease)


def remove(key: str) -> wire.Remove:
    """A change that removes a key."""
    return wire.Remove(key)
