"""A copy in memory of what the key-value store holds, kept fresh by a watch.

Everything lies under one prefix, so one watch gives all changes in their order. Own writes and peers' pushes
are taken in early; `revision` is what the watch itself has covered.
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
# In this order: a job's pages before its record, so that they are there when it is. Final states are kept for ever and
# are too many to hold.
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
WATCH_BLOCK = timedelta(seconds=1)  # how long the store may hold a watch that has nothing to tell
WATCH_INTERVAL = timedelta(milliseconds=150)  # between two watches at least: each one counts as a request
MAX_RETRY_DELAY = timedelta(seconds=1)


class Replica:
    """A copy in memory of all keys, with listeners for their changes."""

    def __init__(self, loop: Loop, store: KeyValueClient) -> None:
        self._loop = loop
        self._store = store
        self._entries = ReplicaEntries()
        self._barrier = ReadBarrier(loop, store)
        self._loaded_prefixes: tuple[str, ...] = LOADED_PREFIXES
        self.revision = 0
        self.ready = Future()  # set once all keys were loaded
        self.last_confirmed = -timedelta(days=1)  # when the last watch that was answered had been sent

    @property
    def entries(self) -> dict[str, Entry]:
        """All entries by key; not to be changed."""
        return self._entries.by_key

    def list_first(self, prefix: str) -> None:
        """Load the keys of this prefix too, before all others; for what only an optional feature needs."""
        self._loaded_prefixes = (prefix, *self._loaded_prefixes)

    def listen(self, prefix: str, listener: Listener) -> None:
        """Call a listener for every change of a key that begins with this prefix."""
        self._entries.listen(prefix, listener)

    def revision_of(self, key: str) -> int:
        """Revision of a key; 0 if it does not exist."""
        return self._entries.revision_of(key)

    def value(self, key: str) -> bytes | None:
        """The value of a key; None if it does not exist."""
        entry = self._entries.by_key.get(key)
        return entry.value if entry else None

    def stored(self, key: str) -> bytes:
        """The value of a key that exists; KeyError otherwise."""
        return self._entries.by_key[key].value

    def under(self, prefix: str) -> list[str]:
        """The keys right under a prefix that ends in a slash. Cheap: it is called several times a second."""
        return self._entries.under(prefix)

    def learn(self, key: str, value: bytes | None, revision: int) -> None:
        """Take in a change known from elsewhere than the watch (`value` None: a removal).

        What the watch has covered already is refused: an old copy of a message that arrives minutes late
        must not bring a removed key back.
        """
        if revision > self.revision:
            self._apply(key, value, revision)

    async def wait_for_revision(self, revision: int) -> None:
        """Wait, however long, until the watch has covered a revision."""
        await self._barrier.wait_for_revision(revision)

    async def wait_until_current(self) -> None:
        """Wait until all that the store had applied when this was called is taken in.

        StoreUnavailableError if the store does not answer or the watch lags behind.
        """
        await self._barrier.wait_until_current()

    async def answer_readers(self) -> None:
        """Serve `wait_until_current`, for ever."""
        await self._barrier.answer_readers()

    async def run(self) -> None:
        """Load all keys, then follow their changes, for ever."""
        loaded = False
        delay = WATCH_INTERVAL
        while True:
            started = self._loop.now()
            try:
                if not loaded:
                    await self._load()
                    loaded = True
                changes = await self._store.follow(PREFIX, self.revision, WATCH_BLOCK)
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
            self.last_confirmed = started
            rest = WATCH_INTERVAL - (self._loop.now() - started)
            if rest > ZERO:
                await self._loop.sleep(rest)

    def _apply_changes(self, changes: Changes) -> None:
        for change in sorted(changes.changes, key=lambda change: change.revision):
            if isinstance(change.put, str):
                self._apply(change.put, bytes(change.value), change.revision)
            elif isinstance(change.removed, str):
                self._apply(change.removed, None, change.revision)
        self._cover(changes.revision)

    def _apply(self, key: str, value: bytes | None, revision: int) -> None:
        if self._entries.apply(key, value, revision) and key.startswith(FINAL_STATES):
            self._entries.drop(key)  # listeners were called; the final states themselves are too many to hold

    def _cover(self, revision: int) -> None:
        """All changes up to this revision are taken in."""
        self.revision = max(self.revision, revision)
        self._entries.forget_removals(self.revision)
        self._barrier.advance(self.revision)

    async def _load(self) -> None:
        started = self._loop.now()
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
        self._cover(revision)
        self.last_confirmed = started
        self.ready.set()
        log.info("event=replica_loaded revision=%d keys=%d", revision, len(self.entries))

    def _drop_missing(self, loaded: dict[str, Entry], revision: int) -> None:
        """Drop the keys that were removed while there was no watch."""
        missing = [key for key, entry in self.entries.items() if key not in loaded and entry.revision <= revision]
        for key in missing:
            self._entries.drop(key)
            self._entries.notify(key, None, revision)
