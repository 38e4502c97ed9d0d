"""Tombstones: a late copy of a deleted machine's heartbeat must not make a member of it again."""

import logging
from datetime import timedelta
from typing import NamedTuple

from badgerroute.coordination.leadership.leadership_state import LeadershipState
from badgerroute.coordination.shards.shard_storage import WRITE_ERRORS, ShardStorage
from badgerroute.protocol.key_value import Put, Remove
from badgerroute.scheduling.shard import Shard
from badgerroute.storage import records
from badgerroute.storage.keys import MACHINES, TOMBSTONES
from badgerroute.storage.operations import compare, put, remove
from badgerroute.storage.rate_limiter import Urgency
from badgerroute.storage.records import TombstoneRecord
from badgerroute.transport.loop import Loop

log = logging.getLogger(__name__)
RETRY_PAUSE = timedelta(seconds=1)
MAX_MACHINES_PER_WRITE = 8  # a transaction as large as the budget's burst has to wait until nobody else writes
NAMES_PER_PAGE = 100  # deleted machines on a page, which may be written anew for each of them
MACHINE_NAME_BYTES = 64  # bytes that a name may take, at twice a page's length
MIN_PAGES = 4


class _Page(NamedTuple):
    """A page of tombstones: its key, and the names that it has."""

    key: str
    names: list[str]


class TombstoneWriter:
    """Writes one shard's deleted machines down, in pages of its own."""

    def __init__(self, *, shard: Shard, loop: Loop, storage: ShardStorage, leadership_state: LeadershipState) -> None:
        self._shard, self._loop, self._leadership_state = shard, loop, leadership_state
        self._storage, self._replica, self._store = storage, storage.replica, storage.store
        self._most_members = 0
        self._names_per_page = max(1, min(NAMES_PER_PAGE, self._store.max_value_bytes // MACHINE_NAME_BYTES))

    async def forget(self, names: list[str]) -> None:
        """Remove machines that the cloud says are gone, and their tasks, and write their tombstones.

        Repeated until everything is written or the shard is not led here any more.
        """
        now = self._loop.now()
        for name in names:
            self._shard.remove_machine(name, now)
        self._shard.reconcile()
        while names and self._shard.number in self._leadership_state.leaderships:
            page = self._page()
            room = self._names_per_page - len(page.names)
            batch = names[: min(self._store.max_changes - 1, room, MAX_MACHINES_PER_WRITE)]
            try:
                await self._write(page, batch)
            except WRITE_ERRORS as error:
                log.info("event=tombstone_write_failed machines=%d error=%s", len(batch), error)
                await self._loop.sleep(RETRY_PAUSE)
                continue
            names = names[len(batch) :]

    async def _write(self, page: _Page, batch: list[str]) -> None:
        """Add a batch to a page, and remove the machines' records in the same transaction."""
        key = page.key
        tombstones = records.write(TombstoneRecord([*page.names, *(name for name in batch if name not in page.names)]))
        members = [MACHINES + name for name in batch if self._replica.revision_of(MACHINES + name)]
        changes: list[Put | Remove] = [put(key, tombstones), *(remove(member) for member in members)]
        # On the page as it is in the replica: applied late, an older write of it would remove newer names.
        unchanged = compare(key, self._replica.revision_of(key))
        conditions = [self._leadership_state.condition(self._shard.number), unchanged]
        await self._storage.write(conditions, changes, Urgency.PROGRESS)

    def _page(self) -> _Page:
        """The page for the next deleted machines.

        A page is small, since each deletion writes one anew; there are pages for twice as many machines as the shard
        has ever had at once, and when all are full the oldest begins anew.
        """
        prefix = f"{TOMBSTONES}{self._shard.number}/"
        pages = sorted(self._replica.under(prefix), key=self._replica.revision_of)
        self._most_members = max(self._most_members, len(self._shard.machines))
        if pages:
            names = records.read(self._replica.stored(pages[-1]), TombstoneRecord).names
            if len(names) < self._names_per_page:
                return _Page(pages[-1], names)
        if len(pages) < max(MIN_PAGES, -(-2 * self._most_members // self._names_per_page)):
            return _Page(f"{prefix}{len(pages)}", [])
        return _Page(pages[0], [])
