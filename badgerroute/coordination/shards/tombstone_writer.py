"""Writes tombstones, so that a delayed copy of a deleted machine's heartbeat does not register the machine again."""

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
MAX_MACHINES_PER_WRITE = 8  # a transaction as large as the rate limiter's burst would wait until nobody else writes
NAMES_PER_PAGE = 100  # kept low, since each deletion may rewrite a page
MACHINE_NAME_BYTES = 64  # reserved for each name on a page, about twice what a name takes
MIN_PAGES = 4


class _Page(NamedTuple):
    """A page of tombstones: its key, and the names of the deleted machines on it."""

    key: str
    names: list[str]


class TombstoneWriter:
    """Records the names of one shard's deleted machines, in pages that belong to this shard."""

    def __init__(self, *, shard: Shard, loop: Loop, storage: ShardStorage, leadership_state: LeadershipState) -> None:
        self._shard, self._loop, self._leadership_state = shard, loop, leadership_state
        self._storage, self._replica, self._store = storage, storage.replica, storage.store
        self._max_members = 0
        self._names_per_page = max(1, min(NAMES_PER_PAGE, self._store.max_value_bytes // MACHINE_NAME_BYTES))

    async def remove_machines(self, names: list[str]) -> None:
        """Remove machines that the cloud has deleted, and their tasks, from the shard, and write their tombstones.

        Writes are retried until all tombstones are written or this controller no longer leads the shard.
        """
        now = self._loop.now()
        for name in names:
            self._shard.remove_machine(name, now)
        self._shard.reconcile()
        while names and self._shard.number in self._leadership_state.leaderships:
            page = self._choose_page()
            free_slots = self._names_per_page - len(page.names)
            batch = names[: min(self._store.max_changes - 1, free_slots, MAX_MACHINES_PER_WRITE)]
            try:
                await self._write(page, batch)
            except WRITE_ERRORS as error:
                log.info("event=tombstone_write_failed machines=%d error=%s", len(batch), error)
                await self._loop.sleep(RETRY_PAUSE)
                continue
            names = names[len(batch) :]

    async def _write(self, page: _Page, batch: list[str]) -> None:
        """Add a batch of names to a page, and remove the machines' records in the same transaction."""
        key = page.key
        tombstones = records.write(TombstoneRecord([*page.names, *(name for name in batch if name not in page.names)]))
        members = [MACHINES + name for name in batch if self._replica.revision_of(MACHINES + name)]
        changes: list[Put | Remove] = [put(key, tombstones), *(remove(member) for member in members)]
        # Write only if the page is still as in the replica. Otherwise a delayed older write could remove newer names.
        unchanged = compare(key, self._replica.revision_of(key))
        conditions = [self._leadership_state.leadership_condition(self._shard.number), unchanged]
        await self._storage.write(conditions, changes, Urgency.PROGRESS)

    def _choose_page(self) -> _Page:
        """Return the page for the next deleted machines.

        Pages are small, since each deletion rewrites one. All pages together hold at least twice as many names as the
        shard has ever had machines at the same time; when all are full, the oldest page is overwritten.
        """
        prefix = f"{TOMBSTONES}{self._shard.number}/"
        pages = sorted(self._replica.keys_under(prefix), key=self._replica.revision_of)
        self._max_members = max(self._max_members, len(self._shard.machines))
        if pages:
            names = records.read(self._replica.existing_value(pages[-1]), TombstoneRecord).names
            if len(names) < self._names_per_page:
                return _Page(pages[-1], names)
        if len(pages) < max(MIN_PAGES, -(-2 * self._max_members // self._names_per_page)):
            return _Page(f"{prefix}{len(pages)}", [])
        return _Page(pages[0], [])
