"""Background task that removes orphaned pages: those of jobs that have ended or whose submission was interrupted."""

import logging
from datetime import timedelta
from typing import Protocol

from badgerroute.coordination.jobs.job_lookup import ActiveJob
from badgerroute.coordination.jobs.job_reader import JobReader
from badgerroute.coordination.jobs.job_store import JobStore
from badgerroute.coordination.jobs.job_transaction import WRITE_ERRORS
from badgerroute.storage.key_value_client import KeyValueClient
from badgerroute.storage.operations import compare, remove
from badgerroute.storage.rate_limiter import Urgency
from badgerroute.storage.replica import Replica
from badgerroute.transport.loop import Loop

log = logging.getLogger(__name__)
INTERVAL = timedelta(seconds=10)
MIN_AGE = timedelta(seconds=60)  # long enough for a submission in progress to write its record after its pages


class GarbageCollectionPermission(Protocol):
    """Tells whether this controller collects garbage, so that only one controller does."""

    def may_collect_garbage(self) -> bool:
        """Return whether this controller may remove pages now."""


class PageGarbageCollector:
    """Removes the pages of jobs that have had no record for at least `MIN_AGE`."""

    def __init__(
        self,
        *,
        loop: Loop,
        store: KeyValueClient,
        replica: Replica,
        job_store: JobStore,
        job_reader: JobReader,
        permission: GarbageCollectionPermission,
    ) -> None:
        self._loop, self._store, self._replica = loop, store, replica
        self._job_store, self._job_reader, self._permission = job_store, job_reader, permission
        self._orphaned_since: dict[str, timedelta] = {}  # job with pages but no record -> when first seen

    async def run(self) -> None:
        """Collect garbage in an endless loop."""
        while True:
            await self._loop.sleep(INTERVAL)
            due = self._orphans_due()
            if not self._permission.may_collect_garbage():
                continue
            try:
                for ref in due:
                    await self._remove_pages(ref)
            except WRITE_ERRORS as error:
                log.info("event=cleanup_delayed error=%s", error)

    def _orphans_due(self) -> list[str]:
        now = self._loop.now()
        orphaned = [ref for ref in self._job_store.pages.jobs() if ref not in self._job_store.active]
        self._orphaned_since = {ref: self._orphaned_since.get(ref, now) for ref in orphaned}
        return [ref for ref, first_seen in self._orphaned_since.items() if now - first_seen >= MIN_AGE]

    async def _remove_pages(self, ref: str) -> None:
        """Remove as many of a job's pages as fit into one transaction. Later rounds remove the rest."""
        if isinstance(await self._job_reader.look_up(ref, Urgency.PROGRESS), ActiveJob):
            return
        keys = sorted(self._job_store.pages.keys(ref))[: self._store.max_changes]
        if not keys:
            return
        conditions = [compare(key, self._replica.revision_of(key)) for key in keys]
        revision = await self._store.transact(conditions, [remove(key) for key in keys], Urgency.PROGRESS)
        for key in keys:
            self._replica.apply_early(key, None, revision)  # not pushed to the peers, which do not react to the removal
