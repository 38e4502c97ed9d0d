"""The keys and values that a replica holds, indexed by prefix, with the revision at which each was last changed.

Every transaction of the store has a revision, a number that is higher than those of all earlier transactions.
"""

import logging
from collections.abc import Callable
from typing import NamedTuple

from msgspec import Struct

from badgerroute.storage.keys import parent_prefix

log = logging.getLogger(__name__)

Listener = Callable[[str, bytes | None, int], None]
"""Called with a key, its new value (None if the key was removed) and the revision of the change."""


class Entry(Struct, frozen=True, gc=False):
    """A key's value and the revision at which it last changed.

    There are thousands of entries, so they have no `__dict__` and are not tracked by the garbage collector.
    """

    value: bytes
    revision: int


class _Subscription(NamedTuple):
    prefix: str
    listener: Listener


class ReplicaEntries:
    """Entries by key. A change is applied only if it is newer than the key's entry, so changes may arrive in any order.

    Invariant: `_keys_under[parent_prefix(key)]` holds `key` if and only if `by_key` does.
    """

    def __init__(self) -> None:
        self.by_key: dict[str, Entry] = {}
        self._keys_under: dict[str, dict[str, None]] = {}  # ordered set of keys per prefix
        self._removed: dict[str, int] = {}  # removed key -> revision of the removal, until `forget_removals`
        self._subscriptions: list[_Subscription] = []

    def listen(self, prefix: str, listener: Listener) -> None:
        """Register a listener for every change of a key that begins with this prefix."""
        self._subscriptions.append(_Subscription(prefix, listener))

    def revision_of(self, key: str) -> int:
        """Return the revision of a key, or 0 if it does not exist."""
        entry = self.by_key.get(key)
        return entry.revision if entry else 0

    def keys_under(self, prefix: str) -> list[str]:
        """Return the keys directly under a prefix, which must end in a slash: those with no slash after the prefix."""
        return list(self._keys_under.get(prefix, ()))

    def apply(self, key: str, value: bytes | None, revision: int) -> bool:
        """Apply a change (a removal if `value` is None) and call the listeners. Return whether it was applied.

        A change is ignored if a change of the key with the same or a higher revision has already been applied.
        """
        if revision <= self.revision_of(key) or revision <= self._removed.get(key, 0):
            return False
        if value is None:
            self.drop(key)
            self._removed[key] = revision
        else:
            if key not in self.by_key:
                self._keys_under.setdefault(parent_prefix(key), {})[key] = None
            self.by_key[key] = Entry(value, revision)
            self._removed.pop(key, None)
        self.notify(key, value, revision)
        return True

    def drop(self, key: str) -> None:
        """Discard a key's entry without calling the listeners."""
        if self.by_key.pop(key, None) is not None:
            self._keys_under[parent_prefix(key)].pop(key, None)

    def notify(self, key: str, value: bytes | None, revision: int) -> None:
        """Call the listeners for a change. If one raises, the error is logged and the others are still called."""
        for subscription in self._subscriptions:
            if key.startswith(subscription.prefix):
                try:
                    subscription.listener(key, value, revision)
                except Exception as error:
                    log.error("event=listener_failed key=%s error=%r", key, error, exc_info=error)

    def forget_removals(self, revision: int) -> None:
        """Forget the removals up to this revision. Called when the watch has delivered all changes up to it.

        From then on `Replica.apply_early` rejects changes up to this revision, so a late copy of an old change cannot
        bring a removed key back.
        """
        if self._removed:
            self._removed = {key: removed for key, removed in self._removed.items() if removed > revision}
