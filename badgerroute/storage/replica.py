"""A copy in memory of what the key-value store holds, kept fresh by a watch.

Everything lies under one prefix, so one watch gives all changes in their order. Own writes and peers' pushes
are taken in early; `revision` is what the watch itself has covered.
"""

import logging
from collections.abc import Callable
from datetime import timedelta

from badgerroute.storage.key_value_client import KeyValueClient, StoreUnavailableError, WatchExpiredError
from badgerroute.transport.clock import ZERO
from badgerroute.transport.loop import Future, Loop

log = logging.getLogger(__name__)
PREFIX = "b/"
(
    SHARD_LEADERS,
    AUTOSCALER_LEADER,
    JOBS,
    FINAL_STATES,
    MACHINES,
    QUOTA_ALLOCATIONS,
    CATALOG,
    TOMBSTONES,
    DONE,
    PREDECESSORS,
    DRAINS,
) = (
    "b/parts/",
    "b/fleet",
    "b/jobs/",
    "b/past/",
    "b/machines/",
    "b/shares/",
    "b/catalog",
    "b/gone/",
    "b/done/",
    "b/before/",
    "b/drains/",
)
# What jobs need beside their records is listed first, so that it is there when they are. Finished jobs are for ever,
# and too many to hold.
LISTED = (DONE, PREDECESSORS, SHARD_LEADERS, AUTOSCALER_LEADER, JOBS, MACHINES, QUOTA_ALLOCATIONS, CATALOG, TOMBSTONES)
NOWHERE = PREFIX + "nowhere"  # a key that never exists
BLOCK = timedelta(seconds=1)
PAUSE = timedelta(milliseconds=150)  # between two watches: each one counts as a request
READ_PAUSE = timedelta(milliseconds=80)  # between two questions how far the service is
READ_LIMIT = timedelta(milliseconds=1500)

Listener = Callable[[str, bytes | None, int], None]


def _prefix(key: str) -> str:
    return key[: key.rfind("/") + 1]


class Replica:
    """A copy in memory of all keys, with listeners for their changes."""

    def __init__(self, loop: Loop, store: KeyValueClient) -> None:
        self._loop, self._store = loop, store
        self.entries: dict[str, tuple[bytes, int]] = {}
        self._under: dict[str, dict[str, None]] = {}
        self._deleted: dict[str, int] = {}  # removals that the watch has not covered yet
        self.revision = 0
        self.ready = Future()
        self.last_confirmed = -timedelta(days=1)  # when the last watch that was answered had been sent
        self._listeners: list[tuple[str, Listener]] = []
        self._advanced: list[tuple[int, Future]] = []
        self._readers: list[Future] = []
        self._wanted = Future()
        self._listed: tuple[str, ...] = LISTED

    def list_first(self, prefix: str) -> None:
        """Have a prefix loaded that is of use only to what is switched on; before everything else, so it is known."""
        self._listed = (prefix, *self._listed)

    def listen(self, prefix: str, listener: Listener) -> None:
        """Have a listener told of every change under a prefix."""
        self._listeners.append((prefix, listener))

    def revision_of(self, key: str) -> int:
        """Revision of a key; 0 if it does not exist."""
        item = self.entries.get(key)
        return item[1] if item else 0

    def value(self, key: str) -> bytes | None:
        """The value of a key, if it exists."""
        item = self.entries.get(key)
        return item[0] if item else None

    def stored(self, key: str) -> bytes:
        """The value of a key that exists."""
        return self.entries[key][0]

    def under(self, prefix: str) -> list[str]:
        """The keys right under a prefix that ends in a slash. Asked for several times a second."""
        return list(self._under.get(prefix, ()))

    def _drop(self, key: str) -> None:
        if self.entries.pop(key, None) is not None:
            self._under[_prefix(key)].pop(key, None)

    def learn(self, key: str, value: bytes | None, revision: int) -> None:
        """Take in a change known from elsewhere than the watch.

        What the watch has covered already is refused: an old copy of a message that arrives minutes late
        must not bring a removed key back.
        """
        if revision > self.revision:
            self._apply(key, value, revision)

    def _apply(self, key: str, value: bytes | None, revision: int) -> None:
        if revision <= self.revision_of(key) or revision <= self._deleted.get(key, 0):
            return
        if value is None:
            self._drop(key)
            self._deleted[key] = revision
        else:
            if key not in self.entries:
                self._under.setdefault(_prefix(key), {})[key] = None
            self.entries[key] = (value, revision)
            self._deleted.pop(key, None)
        self._notify(key, value, revision)
        if key.startswith(FINAL_STATES):
            self._drop(key)

    def _notify(self, key: str, value: bytes | None, revision: int) -> None:
        for prefix, listener in self._listeners:
            if key.startswith(prefix):
                try:
                    listener(key, value, revision)
                except Exception as error:
                    log.error("event=listener_failed key=%s error=%r", key, error, exc_info=error)

    def _covered(self, revision: int) -> None:
        self.revision = max(self.revision, revision)
        if self._deleted:
            self._deleted = {
                key: entry_revision for key, entry_revision in self._deleted.items() if entry_revision > self.revision
            }
        if self._advanced:
            waiting, self._advanced = self._advanced, []
            for wanted, future in waiting:
                if wanted <= self.revision:
                    future.set()
                else:
                    self._advanced.append((wanted, future))

    async def caught_up(self, revision: int) -> None:
        """Wait until the watch has covered a revision."""
        if self.revision < revision:
            future = Future()
            self._advanced.append((revision, future))
            await future

    async def current(self) -> None:
        """Wait until all that the service had applied when this was called is taken in: what is read then is no older
        than what anybody was told before. One question serves all who ask meanwhile.

        A read of its own for each poll once used up the budget when a thousand small jobs were asked about.
        """
        reader = Future()
        self._readers.append(reader)
        self._wanted.set()
        if not await self._loop.first(reader, READ_LIMIT):
            raise StoreUnavailableError("the watch lags behind")
        await reader

    async def answer_readers(self) -> None:
        """Ask the service how far it is, for all who wait for that."""
        while True:
            await self._wanted
            self._wanted = Future()
            readers, self._readers = self._readers, []
            try:
                revision = await self._store.revision(NOWHERE)
            except StoreUnavailableError as error:
                for reader in readers:
                    reader.fail(error)
            else:
                self._advanced += [(revision, reader) for reader in readers]
                self._covered(self.revision)
            await self._loop.sleep(READ_PAUSE)

    async def _load(self) -> None:
        started = self._loop.now()
        fresh: dict[str, tuple[bytes, int]] = {}
        revision: int | None = None
        for prefix in self._listed:
            items, at = await self._store.list(prefix)
            revision = at if revision is None else min(revision, at)
            for item in items:
                fresh[item.key] = (bytes(item.value), item.revision)
        assert revision is not None
        for key in [
            key for key, (_, entry_revision) in self.entries.items() if key not in fresh and entry_revision <= revision
        ]:
            self._drop(key)  # it went while nobody watched
            self._notify(key, None, revision)
        for key, (value, entry_revision) in fresh.items():
            self._apply(key, value, entry_revision)
        self._covered(revision)
        self.last_confirmed = started
        self.ready.set()
        log.info("event=replica_loaded revision=%d keys=%d", revision, len(self.entries))

    async def run(self) -> None:
        """Load, then follow for ever."""
        loaded = False
        delay = PAUSE
        while True:
            started = self._loop.now()
            try:
                if not loaded:
                    await self._load()
                    loaded = True
                changes = await self._store.follow(PREFIX, self.revision, BLOCK)
            except WatchExpiredError:
                log.info("event=watch_expired")
                loaded = False
                continue
            except StoreUnavailableError as error:
                log.info("event=watch_failed error=%s", error)
                await self._loop.sleep(delay)
                delay = min(2 * delay, timedelta(seconds=1))
                continue
            delay = PAUSE
            for change in sorted(changes.changes, key=lambda change: change.revision):
                if isinstance(change.put, str):
                    self._apply(change.put, bytes(change.value), change.revision)
                elif isinstance(change.removed, str):
                    self._apply(change.removed, None, change.revision)
            self._covered(changes.revision)
            self.last_confirmed = started
            rest = PAUSE - (self._loop.now() - started)
            if rest > ZERO:
                await self._loop.sleep(rest)
