"""Duties for jobs that wait for others: find out how predecessors ended, cancel dependents, tidy up.

Each can be resumed by any controller from records alone. Their writes are conditional, and what they write follows from
final states, so it does not matter who does them, or whether two do.
"""

import logging
from collections.abc import Callable
from datetime import timedelta

from badgerroute.coordination.jobs.job_reader import JobReader
from badgerroute.coordination.jobs.job_store import JobStore
from badgerroute.protocol.key_value import Put, Remove
from badgerroute.storage import records
from badgerroute.storage.errors import CompareFailedError, LeaseExpiredError, OutcomeUnknownError, StoreUnavailableError
from badgerroute.storage.key_value_client import KeyValueClient
from badgerroute.storage.keys import FINAL_STATES, JOBS
from badgerroute.storage.operations import compare, put, remove
from badgerroute.storage.rate_limiter import Urgency
from badgerroute.storage.records import FinalStateRecord, JobRecord, JobState
from badgerroute.storage.replica import Replica
from badgerroute.transport.clock import ZERO
from badgerroute.transport.loop import Loop

log = logging.getLogger(__name__)
TICK = timedelta(milliseconds=200)
ASK_AGAIN = timedelta(seconds=2)
MAX_LOOKUPS_PER_ROUND = 500
OTHERS_WAIT = timedelta(seconds=3)  # before a controller that owns nothing of a cancelled job does it too
TIDY = timedelta(seconds=10)
FORGOTTEN = timedelta(seconds=60)  # pages are written before their job's record


class DependencyResolver:
    """`owned` tells whether a shard is ours, `tidies` whether this controller removes what is of no use any more."""

    def __init__(
        self,
        loop: Loop,
        store: KeyValueClient,
        replica: Replica,
        job_store: JobStore,
        job_reader: JobReader,
        owned: Callable[[int], bool],
        tidies: Callable[[], bool],
        turn: int,
    ) -> None:
        self._loop, self._store, self._replica = loop, store, replica
        self._job_store, self._job_reader = job_store, job_reader
        self._owned, self._tidies, self._turn = owned, tidies, turn
        self._asked: dict[str, timedelta] = {}
        self._seen: dict[str, timedelta] = {}  # cancelled jobs whose own record is still to be written
        self._idle: dict[str, timedelta] = {}  # jobs with pages, but without a record, since when

    # -- how predecessors ended

    async def resolve(self) -> None:
        """After a start nobody tells how jobs ended that were over before; nor if a message was missed."""
        while True:
            await self._loop.sleep(TICK)
            now = self._loop.now()
            self._asked = {ref: at for ref, at in self._asked.items() if now - at < ASK_AGAIN}
            unknown = [ref for ref in self._job_store.unknown() if ref not in self._asked][:MAX_LOOKUPS_PER_ROUND]
            if not unknown:
                continue
            self._asked.update(dict.fromkeys(unknown, now))
            try:
                await self._job_reader.unaccepted(unknown, Urgency.COMPLETE)
            except StoreUnavailableError as error:
                log.info("event=upstream_lookup_failed jobs=%d error=%s", len(unknown), error)
                await self._loop.sleep(5 * TICK)

    # -- what is cancelled with a predecessor

    async def cancel_downstream(self) -> None:
        """Write down the cancellation of jobs whose predecessors are cancelled."""
        while True:
            await self._loop.sleep(TICK)
            due = self._due()
            while due:
                batch, due = due[: max(1, self._store.max_changes // 2)], due[max(1, self._store.max_changes // 2) :]
                try:
                    await self._cancel_downstream(batch)
                except (StoreUnavailableError, OutcomeUnknownError, CompareFailedError, LeaseExpiredError) as error:
                    log.info("event=cancellation_delayed jobs=%d error=%s", len(batch), error)
                    await self._loop.sleep(2 * TICK)
                    break

    def _due(self) -> list[str]:
        now, cancelled = self._loop.now(), self._job_store.dependencies.cancelled
        self._seen = {ref: self._seen.get(ref, now) for ref in cancelled}
        return [ref for ref, since in self._seen.items() if now - since >= self._patience(ref)]

    def _patience(self, ref: str) -> timedelta:
        """The leader of a job's first tasks comes first, so that the others' writes do not fail for nothing."""
        record = self._job_store.active.get(ref)
        if record is not None and record.assigned and self._owned(record.assigned[0].shard):
            return ZERO
        return OTHERS_WAIT + self._turn * OTHERS_WAIT / 3

    async def _cancel_downstream(self, refs: list[str]) -> None:
        jobs: list[tuple[str, JobRecord]] = []
        for ref in refs:
            record = self._job_store.active.get(ref)
            if record is not None and self._replica.revision_of(JOBS + ref):
                jobs.append((ref, record))
        if not jobs:
            return
        today = self._loop.clock.today().timestamp()
        pasts = {
            ref: records.write(FinalStateRecord(JobState.CANCELLED, record.job.tasks, today)) for ref, record in jobs
        }
        changes: list[Put | Remove] = []
        for ref, past in pasts.items():
            changes += [remove(JOBS + ref), put(FINAL_STATES + ref, past)]
        conditions = [compare(JOBS + ref, self._replica.revision_of(JOBS + ref)) for ref in pasts]
        at = await self._store.transact(conditions, changes, Urgency.COMPLETE)
        for ref, past in pasts.items():
            self._job_store.finished(ref, bytes(past), at)
        log.info("event=downstream_jobs_cancelled jobs=%s", ",".join(pasts))

    # -- pages of jobs that are over

    async def tidy(self) -> None:
        """Remove pages of jobs that are over."""
        while True:
            await self._loop.sleep(TIDY)
            now = self._loop.now()
            self._idle = {
                ref: self._idle.get(ref, now) for ref in self._job_store.pages if ref not in self._job_store.active
            }
            if not self._tidies():
                continue
            try:
                for ref in [ref for ref, since in self._idle.items() if now - since >= FORGOTTEN]:
                    await self._tidy(ref)
            except (StoreUnavailableError, OutcomeUnknownError, CompareFailedError, LeaseExpiredError) as error:
                log.info("event=cleanup_delayed error=%s", error)

    async def _tidy(self, ref: str) -> None:
        lookup = await self._job_reader.look_up(ref, Urgency.PROGRESS)
        if lookup is not None and lookup.record is not None:
            return  # it is not over
        keys = sorted(self._job_store.pages.get(ref, ()))[: self._store.max_changes]
        conditions = [compare(key, self._replica.revision_of(key)) for key in keys]
        if keys:
            at = await self._store.transact(conditions, [remove(key) for key in keys], Urgency.PROGRESS)
            for key in keys:
                self._replica.learn(key, None, at)
