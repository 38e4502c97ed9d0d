"""An in-memory copy of the key-value store, updated by a watch (repeated requests for the changes since a revision).

All keys share one prefix, so a single watch delivers all changes in order. This controller's own writes, and changes
that peers send, are applied even before the watch delivers them. `Replica.revision` is the revision up to which the
watch has delivered all changes.
"""

import logging
from datetime import timedelta

from badgerroute.protocol.key_value import Changes
from badgerroute.storage.entries import Entry, Listener, ReplicaEntries
from badgerroute.storage.errors import StoreUnavailableError, WatchExpiredError
from badgerroute.storage.key_value_client import KeyValueClient
from badgerroute.storage.keys import (
    AUTOSCALER_LEADER,
    CATALOG,
    DONE,
    FINAL_STATES,
    JOBS,
    MACHINES,
    PREDECESSORS,
    PREFIX,
    QUOTA_ALLOCATIONS,
    SHARD_LEADERS,
    TOMBSTONES,
)
from badgerroute.storage.read_barrier import ReadBarrier
from badgerroute.transport.clock import ZERO
from badgerroute.transport.loop import Future, Loop

log = logging.getLogger(__name__)
# In the order of loading: a job's pages come before its record, because the record's listeners read the pages. Final
# states are not loaded. They are kept permanently, so there are too many of them to hold in memory.
LOADED_PREFIXES = (
    DONE,
    PREDECESSORS,
    SHARD_LEADERS,
    AUTOSCALER_LEADER,
    JOBS,
    MACHINES,
    QUOTA_ALLOCATIONS,
    CATALOG,
    TOMBSTONES,
)
WATCH_BLOCK = timedelta(seconds=1)  # how long the store may hold a watch request open while it has no changes
WATCH_INTERVAL = timedelta(
    milliseconds=150
)  # minimum time between watch requests, since each counts towards the rate limit
MAX_RETRY_DELAY = timedelta(seconds=1)


class Replica:
    """An in-memory copy of all keys but final states, with listeners for changes."""

    def __init__(self, loop: Loop, store: KeyValueClient) -> None:
        self._loop = loop
        self._store = store
        self._entries = ReplicaEntries()
        self._barrier = ReadBarrier(loop, store)
        self._loaded_prefixes: tuple[str, ...] = LOADED_PREFIXES
        self.revision = 0
        self.ready = Future()  # set once all keys have been loaded
        self.last_confirmed = -timedelta(days=1)  # when the last successful load or watch request began

    @property
    def entries(self) -> dict[str, Entry]:
        """All entries by key; callers must not modify them."""
        return self._entries.by_key

    def list_first(self, prefix: str) -> None:
        """Also load the keys of this prefix, before all others. Used for keys that only an optional feature needs."""
        self._loaded_prefixes = (prefix, *self._loaded_prefixes)

    def listen(self, prefix: str, listener: Listener) -> None:
        """Register a listener for every change of a key that begins with this prefix."""
        self._entries.listen(prefix, listener)

    def revision_of(self, key: str) -> int:
        """Return the revision of a key, or 0 if it does not exist."""
        return self._entries.revision_of(key)

    def value(self, key: str) -> bytes | None:
        """Return the value of a key, or None if it does not exist."""
        entry = self._entries.by_key.get(key)
        return entry.value if entry else None

    def existing_value(self, key: str) -> bytes:
        """Return the value of an existing key. Raise KeyError if it does not exist."""
        return self._entries.by_key[key].value

    def keys_under(self, prefix: str) -> list[str]:
        """Return the keys directly under a prefix, which must end in a slash: those with no slash after the prefix.

        They are looked up in an index, since this is called several times a second.
        """
        return self._entries.keys_under(prefix)

    def apply_early(self, key: str, value: bytes | None, revision: int) -> None:
        """Apply a change that was received from another source than the watch (a removal if `value` is None).

        A change whose revision the watch has already reached is ignored. Otherwise a copy of an old message that
        arrives minutes late could bring a removed key back.
        """
        if revision > self.revision:
            self._apply(key, value, revision)

    async def wait_for_revision(self, revision: int) -> None:
        """Wait, without a time limit, until the watch has delivered all changes up to a revision."""
        await self._barrier.wait_for_revision(revision)

    async def wait_until_current(self) -> None:
        """Wait until the replica has applied all changes that the store had applied when this was called.

        Raise StoreUnavailableError if the store does not respond, or if the changes are not applied in time.
        """
        await self._barrier.wait_until_current()

    async def serve_readers(self) -> None:
        """Request the store's revision for the callers of `wait_until_current`; runs until cancelled."""
        await self._barrier.answer_readers()

    async def run(self) -> None:
        """Load all keys, then watch them for changes; runs until cancelled."""
        loaded = False
        delay = WATCH_INTERVAL
        while True:
            sent_at = self._loop.now()
            try:
                if not loaded:
                    await self._load()
                    loaded = True
                changes = await self._store.watch(PREFIX, self.revision, WATCH_BLOCK)
            except WatchExpiredError:
                log.info("event=watch_expired")
                loaded = False
                continue
            except StoreUnavailableError as error:
                log.info("event=watch_failed error=%s", error)
                await self._loop.sleep(delay)
                delay = min(2 * delay, MAX_RETRY_DELAY)
                continue
            delay = WATCH_INTERVAL
            self._apply_changes(changes)
            self.last_confirmed = sent_at
            remaining_pause = WATCH_INTERVAL - (self._loop.now() - sent_at)
            if remaining_pause > ZERO:
                await self._loop.sleep(remaining_pause)

    def _apply_changes(self, changes: Changes) -> None:
        for change in sorted(changes.changes, key=lambda change: change.revision):
            if isinstance(change.put, str):
                self._apply(change.put, bytes(change.value), change.revision)
            elif isinstance(change.removed, str):
                self._apply(change.removed, None, change.revision)
        self._advance_revision(changes.revision)

    def _apply(self, key: str, value: bytes | None, revision: int) -> None:
        if self._entries.apply(key, value, revision) and key.startswith(FINAL_STATES):
            self._entries.drop(key)  # the listeners were called; there are too many final states to hold in memory

    def _advance_revision(self, revision: int) -> None:
        """Record that all changes up to this revision have been applied."""
        self.revision = max(self.revision, revision)
        self._entries.forget_removals(self.revision)
        self._barrier.advance(self.revision)

    async def _load(self) -> None:
        started_at = self._loop.now()
        loaded: dict[str, Entry] = {}
        revisions: list[int] = []
        for prefix in self._loaded_prefixes:
            listed = await self._store.list(prefix)
            revisions.append(listed.revision)
            for item in listed.items:
                loaded[item.key] = Entry(bytes(item.value), item.revision)
        revision = min(revisions)
        self._drop_missing(loaded, revision)
        for key, entry in loaded.items():
            self._apply(key, entry.value, entry.revision)
        self._advance_revision(revision)
        self.last_confirmed = started_at
        self.ready.set()
        log.info("event=replica_loaded revision=%d keys=%d", revision, len(self.entries))

    def _drop_missing(self, loaded: dict[str, Entry], revision: int) -> None:
        """Remove the keys that were removed from the store while no watch was running, and call the listeners."""
        missing = [key for key, entry in self.entries.items() if key not in loaded and entry.revision <= revision]
        for key in missing:
            self._entries.drop(key)
            self._entries.notify(key, None, revision)
