"""Constructors for the conditions and changes of a key-value store transaction."""

from typing import Any

from badgerroute.protocol import key_value as wire


def compare(key: str, revision: int) -> wire.Compare:
    """Return the condition that a key was last changed at this revision, or does not exist if the revision is 0."""
    return wire.Compare(key, revision)


def put(key: str, value: Any, lease: int | None = None) -> wire.Put:
    """Return a change that writes a key. If a lease is given, the store removes the key when that lease ends."""
    return wire.Put(key, value) if lease is None else wire.Put(key, value, lease)


def remove(key: str) -> wire.Remove:
    """Return a change that removes a key."""
    return wire.Remove(key)
