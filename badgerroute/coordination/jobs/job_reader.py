"""Job look-ups that read from the key-value store, or from the replica once it has caught up with the store."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta
from itertools import islice

from badgerroute.coordination.jobs.job_lookup import ActiveJob, FinishedJob, JobCondition, JobLookup, UnknownJob
from badgerroute.coordination.jobs.job_store import JobStore
from badgerroute.protocol.key_value import KeyValueEntry
from badgerroute.protocol.users import JobView
from badgerroute.storage import records
from badgerroute.storage.errors import StoreUnavailableError
from badgerroute.storage.key_value_client import KeyValueClient
from badgerroute.storage.keys import FINAL_STATES, JOBS
from badgerroute.storage.rate_limiter import Urgency
from badgerroute.storage.records import FinalStateRecord, JobRecord, JobState
from badgerroute.storage.replica import Replica
from badgerroute.transport.loop import Loop

MAX_LOOKUP_ROUNDS = 40  # per job; each round but the last finds further upstream jobs
MAX_LOOKUPS_PER_ROUND = 500
FINAL_STATES_PER_PAGE = 100
REMOVAL_PAUSE = timedelta(milliseconds=50)  # lets the watch report the final state that replaced the removed record


@dataclass(frozen=True, slots=True)
class _FinalStatesPage:
    """A page of final states in key order.

    `decided` lists the requested jobs whose keys lie within the page's key range. If the page has no entry for such a
    job, the job has no final state. `entries` holds the page's entries by job.
    """

    decided: list[str]
    entries: dict[str, KeyValueEntry]


def _key_before(key: str) -> str:
    """Return a string that sorts before `key`, with no other key in between.

    It ends in a tilde, which sorts after every character that a job ref may contain.
    """
    return key[:-1] + chr(ord(key[-1]) - 1) + "~"


class JobReader:
    """Looks up jobs with linearizable results.

    A result is at least as recent as any result that any controller had returned to a user when the look-up began. All
    look-ups raise StoreUnavailableError if this cannot be guaranteed at the moment; the caller may retry.
    """

    def __init__(self, loop: Loop, store: KeyValueClient, replica: Replica, job_store: JobStore) -> None:
        self._loop, self._store, self._replica, self._job_store = loop, store, replica, job_store

    async def look_up(self, ref: str, urgency: Urgency = Urgency.READ) -> JobLookup:
        """Look up a job in the key-value store.

        A job's record is replaced by its final state in one transaction, and never the other way round, so reading
        `jobs` first and the final states second misses no job.
        """
        final = self._job_store.final_state(ref)
        if final is not None:
            return FinishedJob(final)
        lookup = await self._read_through(ref, urgency)
        final = self._job_store.final_state(ref)
        if final is not None:
            return FinishedJob(final)  # it became known during the read, whose result may be older
        if not isinstance(lookup, UnknownJob) and self._job_store.waits_for_predecessors(ref):
            await self._replica.wait_until_current()
            return await self._look_up_waiting_job(ref) or await self._read_through(ref, urgency)
        return lookup

    async def look_up_replicated(self, ref: str) -> JobLookup:
        """Look up a job in the replica, once the replica has caught up with the key-value store.

        Concurrent look-ups share one request to the store.
        """
        final = self._job_store.final_state(ref)
        if final is None:
            await self._replica.wait_until_current()
            if self._job_store.waits_for_predecessors(ref):
                lookup = await self._look_up_waiting_job(ref)
                if lookup is not None:
                    return lookup
            final = self._job_store.final_state(ref)
        if final is not None:
            return FinishedJob(final)
        record = self._job_store.active.get(ref)
        if record is not None:
            return ActiveJob(record, self._replica.revision_of(JOBS + ref))
        return await self._read_final_state(ref, Urgency.READ)

    async def find_unknown(self, refs: Iterable[str], urgency: Urgency) -> list[str]:
        """Return which of the given jobs no controller has ever accepted, according to the key-value store.

        Afterwards the job store holds the record or the final state of every other given job. Final states are read in
        pages, each of which covers all jobs up to its last key, because reading each job separately would use up the
        rate limit for reads for seconds.
        """
        remaining = self._not_accepted(refs)
        if not remaining:
            return []
        # Afterwards the replica has every job that was unfinished when this method was called.
        await self._replica.wait_until_current()
        remaining = self._not_accepted(remaining)
        unknown: list[str] = []
        while remaining:
            page = await self._final_states_page(remaining, urgency)
            for ref in page.decided:
                if ref in page.entries:
                    self._remember_final_state(ref, page.entries[ref])
                else:
                    unknown.append(ref)
            remaining = remaining[len(page.decided) :]
        return unknown

    def _not_accepted(self, refs: Iterable[str]) -> list[str]:
        return sorted({ref for ref in refs if not self._job_store.is_accepted(ref)})

    async def _final_states_page(self, refs: list[str], urgency: Urgency) -> _FinalStatesPage:
        """Read a page of final states that begins at the first job of `refs`, which must be sorted."""
        limit = FINAL_STATES_PER_PAGE if len(refs) > 1 else 1
        page = await self._store.page(FINAL_STATES, _key_before(FINAL_STATES + refs[0]), limit, urgency)
        entries = {entry.key.removeprefix(FINAL_STATES): entry for entry in page.items}
        last_ref = max(entries, default="")
        decided = [ref for ref in refs if ref <= last_ref] if page.more else refs
        if not decided:
            raise StoreUnavailableError("the store returned an empty page although more follow")
        return _FinalStatesPage(decided, entries)

    async def condition_after_acceptance(self, ref: str) -> JobCondition:
        """Return the condition to report for a newly accepted job: CANCELLED if that is known already, else QUEUED."""
        try:
            # A peer may have cancelled the job as soon as it saw the record.
            lookup = await self._look_up_waiting_job(ref) or await self.look_up(ref)
        except StoreUnavailableError:
            return JobCondition.QUEUED
        cancelled = isinstance(lookup, FinishedJob) and lookup.state is JobState.CANCELLED
        return JobCondition.CANCELLED if cancelled else JobCondition.QUEUED

    async def refresh(self, keys: Iterable[str]) -> None:
        """Read keys again from the store, because their current values are uncertain."""
        for key in keys:
            entry = await self._store.get(key, Urgency.COMPLETE)
            if entry is not None:
                self._replica.apply_early(key, bytes(entry.value), entry.revision)
            elif key.startswith(JOBS):
                self._job_store.forget_record(key.removeprefix(JOBS))
                await self._loop.sleep(REMOVAL_PAUSE)

    def view(self, ref: str, lookup: ActiveJob | FinishedJob, running: int) -> JobView:
        """Return a job as it is shown to users; `running` is the last reported number of its running tasks."""
        if isinstance(lookup, FinishedJob):
            done = lookup.state is JobState.DONE
            return JobView(ref, JobCondition.DONE.value if done else JobCondition.CANCELLED.value)
        done_tasks = self._job_store.done_tasks(ref, lookup.record).bit_count()
        running = min(running, lookup.record.job.tasks - done_tasks)
        if running:
            return JobView(ref, JobCondition.RUNNING.value, done_tasks, running)
        return JobView(ref, JobCondition.QUEUED.value, done_tasks, running)

    async def _look_up_waiting_job(self, ref: str) -> ActiveJob | FinishedJob | None:
        """Look up, in the replica, a job that waits for predecessors; return None if the replica has no record of it.

        Such a job counts as cancelled as soon as any job upstream of it is cancelled, even while its own record still
        exists. Another controller may already have reported this to a user, so upstream jobs of unknown state are
        looked up first.
        """
        dependencies = self._job_store.dependencies
        for _ in range(MAX_LOOKUP_ROUNDS):
            record = self._job_store.active.get(ref)
            if record is None:
                return None
            if ref in dependencies.cancelled:
                return FinishedJob(JobState.CANCELLED)
            if self._job_store.lacks_predecessor_pages(ref):
                raise StoreUnavailableError("what the job waits for is not known yet")
            undetermined = dependencies.unknown_ancestors(ref, self._job_store.active)
            batch = list(islice(undetermined, MAX_LOOKUPS_PER_ROUND))
            if not batch:
                return ActiveJob(record, self._replica.revision_of(JOBS + ref))
            if unknown := await self.find_unknown(batch, Urgency.READ):
                raise StoreUnavailableError(f"no record of upstream job {unknown[0]}")
        raise StoreUnavailableError("too many jobs to look up")

    async def _read_through(self, ref: str, urgency: Urgency) -> JobLookup:
        entry = await self._store.get(JOBS + ref, urgency)
        if entry is None:
            return await self._read_final_state(ref, urgency)
        self._replica.apply_early(entry.key, bytes(entry.value), entry.revision)
        return ActiveJob(records.read(bytes(entry.value), JobRecord), entry.revision)

    async def _read_final_state(self, ref: str, urgency: Urgency) -> FinishedJob | UnknownJob:
        entry = await self._store.get(FINAL_STATES + ref, urgency)
        if entry is None:
            return UnknownJob()
        return FinishedJob(self._remember_final_state(ref, entry))

    def _remember_final_state(self, ref: str, entry: KeyValueEntry) -> JobState:
        final = records.read(bytes(entry.value), FinalStateRecord)
        self._job_store.learn_final_state(ref, final, entry.revision)
        # The transaction that wrote the final state removed the record. If the replica kept the record until the watch
        # reports the removal, this controller could start a task of a job whose cancellation a peer has confirmed.
        self._replica.apply_early(JOBS + ref, None, entry.revision)
        return final.state
