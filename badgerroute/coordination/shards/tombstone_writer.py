"""What is remembered of deleted machines, so that a late copy of a heartbeat does not make a member of one again."""

import logging
from datetime import timedelta

from badgerroute.coordination.shards.leader_context import LeaderContext
from badgerroute.protocol.key_value import Put, Remove
from badgerroute.scheduling.shard import Shard
from badgerroute.storage import records
from badgerroute.storage.errors import CompareFailedError, LeaseExpiredError, OutcomeUnknownError, StoreUnavailableError
from badgerroute.storage.keys import MACHINES, TOMBSTONES
from badgerroute.storage.operations import compare, put, remove
from badgerroute.storage.rate_limiter import Urgency
from badgerroute.storage.records import TombstoneRecord

log = logging.getLogger(__name__)
RETRY_PAUSE = timedelta(seconds=1)
MAX_MACHINES_PER_WRITE = 8  # a transaction as large as the budget's burst has to wait until nobody else writes
NAMES_PER_PAGE = 100  # deleted machines on a page, which may be written anew for each of them
MACHINE_NAME_BYTES = 64  # bytes that a name may take, at twice a page's length
MIN_PAGES = 4


class TombstoneWriter:
    """One shard's deleted machines, in pages of its own."""

    def __init__(self, shard: Shard, context: LeaderContext) -> None:
        self._shard, self._publish = shard, context.publish
        self._loop, self._store, self._replica = context.loop, context.store, context.replica
        self._election = context.election
        self._most_members = 0
        self._names_per_page = max(1, min(NAMES_PER_PAGE, self._store.max_value_bytes // MACHINE_NAME_BYTES))

    async def forget(self, names: list[str]) -> None:
        """Machines that the cloud says are gone: their tasks are too.

        They are written down as gone, so that a late copy of a heartbeat does not make a member of one again.
        """
        now = self._loop.now()
        for name in names:
            self._shard.remove_machine(name, now)
        self._shard.reconcile()
        while names and self._shard.number in self._election.leaderships:
            key, known = self._page()
            batch = names[: min(self._store.max_changes - 1, self._names_per_page - len(known), MAX_MACHINES_PER_WRITE)]
            gone = records.write(TombstoneRecord([*known, *(name for name in batch if name not in known)]))
            members = [MACHINES + name for name in batch if self._replica.revision_of(MACHINES + name)]
            changes: list[Put | Remove] = [put(key, gone), *(remove(key) for key in members)]
            # On the page as we know it: carried out late, an older write of it would strike newer names off.
            conditions = [self._election.condition(self._shard.number), compare(key, self._replica.revision_of(key))]
            try:
                at = await self._store.transact(conditions, changes, Urgency.PROGRESS)
            except (StoreUnavailableError, OutcomeUnknownError, CompareFailedError, LeaseExpiredError) as error:
                log.info("event=tombstone_write_failed machines=%d error=%s", len(batch), error)
                await self._loop.sleep(RETRY_PAUSE)
                continue
            for one, value in ((key, bytes(gone)), *((member, None) for member in members)):
                self._replica.learn(one, value, at)
                self._publish(one, value, at)
            names = names[len(batch) :]

    def _page(self) -> tuple[str, list[str]]:
        """Where the next deleted machines are written down, and what stands there.

        A page is small, since each deletion writes one anew; there are pages for twice as many machines as we have ever
        had at once, and when all are full the oldest begins anew.
        """
        prefix = f"{TOMBSTONES}{self._shard.number}/"
        pages = sorted(self._replica.under(prefix), key=self._replica.revision_of)
        self._most_members = max(self._most_members, len(self._shard.machines))
        if pages:
            known = records.read(self._replica.stored(pages[-1]), TombstoneRecord).names
            if len(known) < self._names_per_page:
                return pages[-1], known
        if len(pages) < max(MIN_PAGES, -(-2 * self._most_members // self._names_per_page)):
            return f"{prefix}{len(pages)}", []
        return pages[0], []
