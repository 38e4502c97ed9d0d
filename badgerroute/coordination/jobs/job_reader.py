"""Look-ups of jobs: what the key-value store says of them now, or our copy once that has caught up with it."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta
from itertools import islice

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

MAX_LOOKUP_ROUNDS = 40  # for one answer; each but the last brings up jobs further back
MAX_LOOKUPS_PER_ROUND = 500
FINAL_STATES_PER_PAGE = 100
REMOVAL_PAUSE = timedelta(milliseconds=50)


@dataclass(frozen=True, slots=True)
class JobLookup:
    """What was found of a job: its record at a revision while it is unfinished, else its final state."""

    state: JobState
    record: JobRecord | None = None
    revision: int = 0


def _key_before(key: str) -> str:
    """A string after which, in the order of keys, this key comes first: no job's name holds a tilde."""
    return key[:-1] + chr(ord(key[-1]) - 1) + "~"


class JobReader:
    """Every answer is no older than what any controller had told anybody when it was asked for."""

    def __init__(self, loop: Loop, store: KeyValueClient, replica: Replica, job_store: JobStore) -> None:
        self._loop, self._store, self._replica, self._job_store = loop, store, replica, job_store

    async def look_up(self, ref: str, urgency: Urgency = Urgency.READ) -> JobLookup | None:
        """A job as the key-value store has it now; None: nobody submitted such a job.

        A job moves only from `jobs` to the final states, in one transaction, so looking in this order misses none.
        """
        final = self._job_store.final(ref)
        if final is not None:
            return JobLookup(final)
        lookup = await self._read_through(ref, urgency)
        if lookup is not None and self._job_store.waits(ref):
            await self._replica.wait_until_current()
            return await self._decide_waiting(ref) or await self._read_through(ref, urgency)
        return lookup

    async def current(self, ref: str) -> JobLookup | None:
        """The same from our copy, once that has caught up with the key-value store: for the many who only look."""
        final = self._job_store.final(ref)
        if final is None:
            await self._replica.wait_until_current()
            if self._job_store.waits(ref):
                lookup = await self._decide_waiting(ref)
                if lookup is not None:
                    return lookup
            final = self._job_store.final(ref)
        if final is not None:
            return JobLookup(final)
        record = self._job_store.active.get(ref)
        if record is not None:
            return JobLookup(JobState.ACTIVE, record, self._replica.revision_of(JOBS + ref))
        return await self._look_up_final_state(ref, Urgency.READ)

    async def unaccepted(self, refs: Iterable[str], urgency: Urgency) -> list[str]:
        """Which of these jobs nobody ever accepted: the key-value store says so, not our memory.

        Of the others it is known afterwards that they are unfinished, or how they ended. One question serves many: a
        page of final states settles every job up to its last key. Looked up one by one, a hundred predecessors used up
        the budget of reads for seconds.
        """
        left = sorted({ref for ref in refs if not self._job_store.knows(ref)})
        if not left:
            return []
        await (
            self._replica.wait_until_current()
        )  # from here on all that were unfinished when we were asked are in our copy
        left = [ref for ref in left if not self._job_store.knows(ref)]
        missing: list[str] = []
        while left:
            limit = FINAL_STATES_PER_PAGE if len(left) > 1 else 1
            page = await self._store.page(FINAL_STATES, _key_before(FINAL_STATES + left[0]), limit, urgency)
            items = {item.key.removeprefix(FINAL_STATES): item for item in page.items}
            last = max(items, default="")
            decided = [ref for ref in left if ref <= last] if page.more else left
            if not decided:
                raise StoreUnavailableError("an empty page that is not the last")
            for ref in decided:
                if ref in items:
                    self._remember_final_state(ref, items[ref])
                else:
                    missing.append(ref)
            left = left[len(decided) :]
        return missing

    async def state_after_acceptance(self, ref: str) -> str:
        """What to say of a job that was just accepted. `queued`, as far as can be told now, is no promise."""
        try:
            # It may have its final state by now: a peer withdrew it as soon as it saw the record.
            lookup = await self._decide_waiting(ref) or await self.look_up(ref)
        except StoreUnavailableError:
            return "queued"
        return "withdrawn" if lookup is not None and lookup.state is JobState.CANCELLED else "queued"

    async def refresh(self, keys: Iterable[str]) -> None:
        """Read back keys whose state is in doubt."""
        for key in keys:
            item = await self._store.get(key, Urgency.COMPLETE)
            if item is not None:
                self._replica.learn(key, bytes(item.value), item.revision)
            elif key.startswith(JOBS):
                self._job_store.forget_record(key.removeprefix(JOBS))
                await self._loop.sleep(REMOVAL_PAUSE)

    def view(self, ref: str, lookup: JobLookup, running: int) -> JobView:
        """What a user is shown; `running` tasks are as last heard."""
        if lookup.record is None:
            return JobView(ref, "done" if lookup.state is JobState.DONE else "withdrawn")
        done = self._job_store.done(ref, lookup.record).bit_count()
        running = min(running, lookup.record.job.tasks - done)
        return JobView(ref, "running" if running else "queued", done, running)

    async def _decide_waiting(self, ref: str) -> JobLookup | None:
        """What stands of a job that waits, from our copy. None: it is over, or never was.

        It is cancelled if any job that it needs is, directly or through others, though its own record is still there.
        Some node may have said so already, so what we don't know of these jobs has to be found out first.
        """
        dependencies = self._job_store.dependencies
        for _ in range(MAX_LOOKUP_ROUNDS):
            record = self._job_store.active.get(ref)
            if record is None:
                return None
            if ref in dependencies.cancelled:
                return JobLookup(JobState.CANCELLED)
            if self._job_store.lacks_predecessors(ref):
                raise StoreUnavailableError("what the job waits for is not known yet")
            unknown = list(islice(dependencies.unknown_ancestors(ref, self._job_store.active), MAX_LOOKUPS_PER_ROUND))
            if not unknown:
                return JobLookup(JobState.ACTIVE, record, self._replica.revision_of(JOBS + ref))
            if missing := await self.unaccepted(unknown, Urgency.READ):
                raise StoreUnavailableError(f"{missing[0]} is not known")
        raise StoreUnavailableError("too many jobs to look up")

    async def _read_through(self, ref: str, urgency: Urgency) -> JobLookup | None:
        item = await self._store.get(JOBS + ref, urgency)
        if item is None:
            return await self._look_up_final_state(ref, urgency)
        self._replica.learn(item.key, bytes(item.value), item.revision)
        return JobLookup(JobState.ACTIVE, records.read(bytes(item.value), JobRecord), item.revision)

    async def _look_up_final_state(self, ref: str, urgency: Urgency) -> JobLookup | None:
        item = await self._store.get(FINAL_STATES + ref, urgency)
        if item is None:
            return None
        return JobLookup(self._remember_final_state(ref, item), None, item.revision)

    def _remember_final_state(self, ref: str, item: KeyValueEntry) -> JobState:
        final = records.read(bytes(item.value), FinalStateRecord)
        self._job_store.remember(ref, final, item.revision)
        # It left `jobs` in the same transaction. Until the watch says so, a controller that had just told a user that
        # the job is cancelled could still have started a task of it.
        self._replica.learn(JOBS + ref, None, item.revision)
        return final.state
