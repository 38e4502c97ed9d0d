"""The jobs: accepting, showing, cancelling them, and writing their progress down."""

import logging
from collections import OrderedDict
from collections.abc import Callable, Container, Iterable, Iterator
from datetime import timedelta
from math import inf

import msgspec

from badgerroute.protocol.state import Condition, Put, Remove
from badgerroute.protocol.users import JobView, Submission
from badgerroute.scheduling.dependencies import Dependencies
from badgerroute.settings import Settings
from badgerroute.storage import records
from badgerroute.storage.budget import Urgency
from badgerroute.storage.records import DonePage, FinalStateRecord, JobRecord, PredecessorsPage
from badgerroute.storage.replica import DONE, FINAL_STATES, JOBS, PREDECESSORS, Replica
from badgerroute.storage.state import (
    ConflictError,
    LeaseExpiredError,
    OutcomeUnknownError,
    StateClient,
    StateUnavailableError,
    put,
    remove,
    when,
)
from badgerroute.transport.loop import Loop

log = logging.getLogger("badgerroute.jobs")
MAX_FINAL_STATES_REMEMBERED = 20_000
MAX_TRANSACTION_BYTES = 40_000  # of a transaction's 64 KiB
PAGE_REFS = 24  # predecessors on a page: the same at every node, since each may write a page of a repeated submission
MAX_LOOKUPS_PER_ANSWER = 40  # predecessors, for one answer
READ_LIMIT = timedelta(milliseconds=1500)

Pushed = Callable[[str, bytes | None, int], None]


class Progress:
    """Newly done tasks of one job, with the parts that saw them."""

    __slots__ = ("ref", "done", "parts")

    def __init__(self, ref: str, done: int, parts: set[int]) -> None:
        self.ref, self.done, self.parts = ref, done, parts


class JobStore:
    def __init__(self, settings: Settings, loop: Loop, state: StateClient, replica: Replica, pushed: Pushed) -> None:
        self._settings, self._loop, self._state, self._replica = settings, loop, state, replica
        self._pushed = pushed
        self.withdrawn: Callable[[str, int, bool], None] = lambda ref, revision, at_once: None
        self.active: dict[str, JobRecord] = {}
        self.known_types: Callable[[], Container[str]] = lambda: ()
        # state, the revision that made it so, and the time of day
        self._final: OrderedDict[str, tuple[str, int, float]] = OrderedDict()
        self._paged: dict[str, int] = {}  # job -> done tasks that are written down on pages
        self.pages: dict[str, set[str]] = {}  # job -> its keys beside its record
        self._lacking: set[str] = set()  # unfinished jobs whose predecessors we have not all seen yet
        self._levels: dict[str, int] = {}  # of jobs that others wait for
        self.dependencies = Dependencies(self._final_state_of, self._released, self._cancelled_upstream)
        self.released: Callable[[str], None] = lambda ref: None
        self._confirming: set[str] = set()  # jobs whose users are about to be told that they are withdrawn
        replica.listen(DONE, self._done_changed)
        replica.listen(PREDECESSORS, self._predecessors_changed)
        replica.listen(JOBS, self._job_changed)
        replica.listen(FINAL_STATES, self._final_state_changed)

    # -- what the watch says

    def _job_changed(self, key: str, value: bytes | None, revision: int) -> None:
        ref = key.removeprefix(JOBS)
        if value is None:
            self.active.pop(ref, None)
            self._paged.pop(ref, None)
            self._lacking.discard(ref)
            self.dependencies.remove(ref)
            return
        self.active[ref] = record = records.read(value, JobRecord)
        if record.job.predecessors or record.pages:
            self._depend(ref, record)

    def _depend(self, ref: str, record: JobRecord) -> None:
        predecessors = self._predecessors(ref, record)
        if predecessors is None:
            self._lacking.add(ref)  # their pages were written before the record, so they come
        else:
            self._lacking.discard(ref)
            self.dependencies.add(ref, predecessors)

    def _predecessors(self, ref: str, record: JobRecord) -> list[str] | None:
        found = list(record.job.predecessors or ())
        for number in range(record.pages):
            value = self._replica.value(f"{PREDECESSORS}{ref}/{number}")
            if value is None:
                return None
            found += records.read(value, PredecessorsPage).refs
        return found

    def _predecessors_changed(self, key: str, value: bytes | None, revision: int) -> None:
        ref = self._page_changed(key, PREDECESSORS, value)
        if ref in self._lacking:
            self._depend(ref, self.active[ref])

    def _done_changed(self, key: str, value: bytes | None, revision: int) -> None:
        ref = self._page_changed(key, DONE, value)
        if value is not None:
            number = int(key.rpartition("/")[2])
            bits = records.unpack(records.read(value, DonePage).bits) << (number * records.PAGE_TASKS)
            self._paged[ref] = self._paged.get(ref, 0) | bits

    def _page_changed(self, key: str, prefix: str, value: bytes | None) -> str:
        ref = key.removeprefix(prefix).rpartition("/")[0]
        if value is not None:
            self.pages.setdefault(ref, set()).add(key)
        elif ref in self.pages:
            self.pages[ref].discard(key)
            if not self.pages[ref]:
                del self.pages[ref]
                self._paged.pop(ref, None)
        return ref

    def _final_state_changed(self, key: str, value: bytes | None, revision: int) -> None:
        if value is not None:
            past = records.read(value, FinalStateRecord)
            self._remember(key.removeprefix(FINAL_STATES), past.state, revision, past.at)

    def _remember(self, ref: str, state: str, revision: int, at: float) -> None:
        """Final states never change, so they alone may be answered from memory."""
        fresh = ref not in self._final
        self._final[ref] = (state, revision, at)
        self._final.move_to_end(ref)
        if len(self._final) > MAX_FINAL_STATES_REMEMBERED:
            self._final.popitem(last=False)
        if fresh and state == "withdrawn":
            self.withdrawn(ref, revision, ref in self._confirming)
        self.dependencies.finished(ref, state, at)

    def learn_cancelled(self, ref: str, revision: int) -> None:
        """A sibling knows that a job is withdrawn, though our watch may not say so for a while."""
        self._remember(ref, "withdrawn", revision, 0.0)
        self._replica.learn(JOBS + ref, None, revision)

    # -- jobs that wait for others

    def _final_state_of(self, ref: str) -> tuple[str, float] | None:
        known = self._final.get(ref)
        return (known[0], known[2]) if known else None

    def _released(self, ref: str) -> None:
        self.released(ref)

    def _cancelled_upstream(self, ref: str) -> None:
        log.info("event=job_doomed job=%s", ref)

    def waits(self, ref: str) -> bool:
        """Whether a job waits for others: until it is released, it is not there for anything but questions."""
        return ref in self._lacking or self.dependencies.waits(ref)

    def schedulable(self) -> Iterator[tuple[str, JobRecord]]:
        """The unfinished jobs that do not wait for others: those that are there for planning."""
        return ((ref, record) for ref, record in self.active.items() if not self.waits(ref))

    def level(self, ref: str) -> int:
        """Of a job's priority, or of that of a job which needs it, whichever is higher."""
        own = self.active[ref].job.priority.level
        return max(own, self._levels.get(ref, own))

    def inherit_levels(self) -> None:
        """Dependents that have come, or were withdrawn, raise and lower what they need."""

        def own(ref: str) -> float:
            record = self.active.get(ref)
            return -record.job.priority.level if record else inf

        found = self.dependencies.inherited_minimum(own, lambda ref: 0)
        self._levels = {ref: -int(least) for ref, least in found.items() if least != inf}

    def effective_arrival(self, ref: str, record: JobRecord) -> float:
        """The time of day from which a job's times count: when the last job that it needs was done."""
        return max(record.accepted, self.dependencies.released_at(ref))

    def done(self, ref: str, record: JobRecord) -> int:
        """All tasks that are durably done, as a bit set."""
        return record.done() | self._paged.get(ref, 0)

    def unknown(self) -> list[str]:
        """Predecessors of which neither is known that they are unfinished nor how they ended."""
        return self.dependencies.unknown(self.active)

    async def unaccepted(self, predecessors: Iterable[str]) -> list[str]:
        """Which of these jobs nobody ever accepted: the state service says so, not our memory."""
        missing = []
        for ref in predecessors:
            if ref in self.active or ref in self._final:
                continue
            if await self._read_through(ref, Urgency.SUBMIT) is None:
                missing.append(ref)
        return missing

    async def state_after_acceptance(self, ref: str) -> str:
        """What to say of a job that was just accepted. `queued`, as far as can be told now, is no promise."""
        try:
            found = await self._decide(ref)
        except StateUnavailableError:
            return "queued"
        return "withdrawn" if found is not None and found[0] == "withdrawn" else "queued"

    async def _decide(self, ref: str) -> tuple[str, JobRecord | None, int] | None:
        """What stands of a job that waits, from our copy. None: it is over, or never was.

        It is withdrawn if any job that it needs is, directly or through others, though its own record is still there.
        Some node may have said so already, so what we don't know of these jobs has to be found out first.
        """
        for _ in range(MAX_LOOKUPS_PER_ANSWER):
            record = self.active.get(ref)
            if record is None:
                return None
            if ref in self.dependencies.cancelled:
                return "withdrawn", None, 0
            if ref in self._lacking:
                raise StateUnavailableError("what the job waits for is not known yet")
            unknown = next(iter(self.dependencies.unknown_ancestors(ref, self.active)), None)
            if unknown is None:
                return "active", record, self._replica.revision_of(JOBS + ref)
            if await self._read_through(unknown, Urgency.READ) is None:
                raise StateUnavailableError(f"{unknown} is not known")
        raise StateUnavailableError("too many jobs to look up")

    def over(self, ref: str, past: msgspec.Raw, revision: int) -> None:
        """A final state of ours was written."""
        self._change(JOBS + ref, None, revision)
        self._change(FINAL_STATES + ref, bytes(past), revision)

    def _change(self, key: str, value: bytes | None, revision: int) -> None:
        self._replica.learn(key, value, revision)
        self._pushed(key, value, revision)

    # -- reading

    def final(self, ref: str) -> str | None:
        known = self._final.get(ref)
        if known is None and ref in self.dependencies.cancelled:
            return "withdrawn"  # nothing can change that any more, and its own record follows
        return known[0] if known else None

    async def look_up(self, ref: str, urgency: Urgency = Urgency.READ) -> tuple[str, JobRecord | None, int] | None:
        """(state, record, revision) as the state service has it now; None: nobody submitted such a job.

        A job moves only from `jobs` to `past`, in one transaction, so looking there in this order misses none.
        """
        final = self.final(ref)
        if final is not None:
            return final, None, 0
        found = await self._read_through(ref, urgency)
        if found is not None and self.waits(ref):
            await self._replica.current()
            return await self._decide(ref) or await self._read_through(ref, urgency)
        return found

    async def _read_through(self, ref: str, urgency: Urgency) -> tuple[str, JobRecord | None, int] | None:
        item = await self._state.get(JOBS + ref, urgency)
        if item is not None:
            self._replica.learn(item.key, bytes(item.value), item.revision)
            return "active", records.read(bytes(item.value), JobRecord), item.revision
        return await self._look_up_final_state(ref, urgency)

    async def current(self, ref: str) -> tuple[str, JobRecord | None, int] | None:
        """The same from our copy, once that has caught up with the state service: for the many who only look."""
        final = self.final(ref)
        if final is None:
            await self._replica.current()
            if self.waits(ref):
                found = await self._decide(ref)
                if found is not None:
                    return found
            final = self.final(ref)
        if final is not None:
            return final, None, 0
        record = self.active.get(ref)
        if record is not None:
            return "active", record, self._replica.revision_of(JOBS + ref)
        return await self._look_up_final_state(ref, Urgency.READ)

    async def _look_up_final_state(self, ref: str, urgency: Urgency) -> tuple[str, JobRecord | None, int] | None:
        past = await self._state.get(FINAL_STATES + ref, urgency)
        if past is None:
            return None
        known = records.read(bytes(past.value), FinalStateRecord)
        state = known.state
        self._remember(ref, state, past.revision, known.at)
        # It left `jobs` in the same transaction. Until the watch says so, a controller that had just told a user that
        # the job is withdrawn could still have started a task of it.
        self._replica.learn(JOBS + ref, None, past.revision)
        return state, None, past.revision

    def view(self, ref: str, state: str, record: JobRecord | None, running: int) -> JobView:
        if record is None:
            return JobView(ref, state)
        done = self.done(ref, record).bit_count()
        running = min(running, record.job.tasks - done)
        return JobView(ref, "running" if running else "queued", done, running)

    # -- accepting and cancelling

    async def accept(self, job: Submission, ranges: list[tuple[int, int, int]]) -> bool:
        """Store a new job. False: it is known already. Unknown outcomes are read back."""
        key = JOBS + job.ref
        record, pages = self._compact(JobRecord(job, self._today(), ranges))
        value = records.write(record)
        for first in range(0, len(pages), self._state.max_changes):  # before the record: whoever sees it has them
            written = pages[first : first + self._state.max_changes]
            at = await self._state.transact([], [put(*one) for one in written], Urgency.SUBMIT, READ_LIMIT)
            for one, refs in written:
                self._change(one, bytes(refs), at)
        try:
            mark = await self._state.transact(
                [when(key, 0), when(FINAL_STATES + job.ref, 0)], [put(key, value)], Urgency.SUBMIT, READ_LIMIT
            )
        except ConflictError:
            return False
        except OutcomeUnknownError:
            if await self.look_up(job.ref, Urgency.SUBMIT) is None:
                raise
            return False
        self._change(key, bytes(value), mark)
        return True

    def _today(self) -> float:
        return self._loop.clock.today().timestamp()

    def fits(self, record: JobRecord) -> bool:
        """Whether a record may be written as it is."""
        return len(bytes(records.write(record))) <= self._state.max_value_bytes

    def _compact(self, record: JobRecord) -> tuple[JobRecord, list[tuple[str, msgspec.Raw]]]:
        """A record that fits, and the pages for what did not."""
        pages: list[tuple[str, msgspec.Raw]] = []
        refs = list(dict.fromkeys(record.job.predecessors or ()))
        if refs and not self.fits(record):
            for number, first in enumerate(range(0, len(refs), PAGE_REFS)):
                page = PredecessorsPage(refs[first : first + PAGE_REFS])
                pages.append((f"{PREDECESSORS}{record.job.ref}/{number}", records.write(page)))
            job = msgspec.structs.replace(record.job, predecessors=None)
            record = msgspec.structs.replace(record, job=job, pages=len(pages))
        return self._slim(record), pages

    def _slim(self, record: JobRecord) -> JobRecord:
        """Without the machine types that there are not, if the record is too large with them."""
        known = self.known_types()
        types = [one for one in record.job.types or () if one in known]
        if not types or self.fits(record):
            return record
        return msgspec.structs.replace(record, job=msgspec.structs.replace(record.job, types=types))

    async def page_out(self, ref: str) -> None:
        """Make a record that an older version left too large small enough to be written again.

        The bits of done tasks go to pages, in as many writes as it takes, and the record itself last. Until then it
        holds them too, and from then on the pages do, so none is lost wherever this stops. It may be done by anybody.
        """
        record, mark = self.active.get(ref), self._replica.revision_of(JOBS + ref)
        if record is None:
            return
        done, known = self.done(ref, record), self._paged.get(ref, 0)
        pages: list[tuple[str, msgspec.Raw]] = []
        last = -(-record.job.tasks // records.PAGE_TASKS)
        for number in range(records.trailing_ones(done) // records.PAGE_TASKS, last):
            bits = records.page_of(done, number)
            if bits != records.page_of(known, number):
                pages.append((self._page(ref, number), records.write(DonePage(records.pack(bits)))))
        small = self._slim(record.without_bits(done))
        if not self.fits(small):
            log.info("event=record_too_large job=%s", ref)
            return
        changes = [*pages, (JOBS + ref, records.write(small))]
        for first in range(0, len(changes), self._state.max_changes):
            written = changes[first : first + self._state.max_changes]
            conditions = [when(JOBS + ref, mark)]
            conditions += [when(key, self._replica.revision_of(key)) for key, _ in written if key != JOBS + ref]
            try:
                at = await self._state.transact(conditions, [put(*one) for one in written], Urgency.PROGRESS)
            except (ConflictError, StateUnavailableError, OutcomeUnknownError, LeaseExpiredError) as error:
                log.info("event=spill_delayed job=%s error=%s", ref, error)
                return
            for key, value in written:
                self._change(key, bytes(value), at)
        log.info("event=record_spilled job=%s pages=%d", ref, len(pages))

    @staticmethod
    def _page(ref: str, number: int) -> str:
        return f"{DONE}{ref}/{number}"

    async def cancel(self, ref: str) -> str | None:
        """The final state after a cancellation; None: nobody submitted such a job.

        After an unknown outcome the user asks again, and what is read back then tells what stands.
        """
        self._confirming.add(ref)
        try:
            return await self._cancel(ref)
        finally:
            self._confirming.discard(ref)

    async def _cancel(self, ref: str) -> str | None:
        for _ in range(6):
            found = await self.look_up(ref, Urgency.CANCEL)
            if found is None:
                return None
            state, record, mark = found
            if record is None:
                return state
            past = records.write(FinalStateRecord("withdrawn", record.job.tasks, self._today()))
            try:
                at = await self._state.transact(
                    [when(JOBS + ref, mark)],
                    [remove(JOBS + ref), put(FINAL_STATES + ref, past)],
                    Urgency.CANCEL,
                    READ_LIMIT,
                )
            except ConflictError:
                continue  # progress was written in between
            self.over(ref, past, at)
            log.info("event=job_withdrawn job=%s", ref)
            return "withdrawn"
        raise StateUnavailableError("too much changes at once")

    # -- progress

    async def write_progress(self, batch: list[Progress], claims: Callable[[int], Condition | None]) -> None:
        """Make done tasks durable, all in one transaction; jobs that are complete move to their final state."""
        for _ in range(5):
            conditions: dict[str, Condition] = {}
            changes: list[Put | Remove] = []
            results: list[tuple[str, bytes | None]] = []
            over: list[JobRecord] = []
            size = 0
            for one in batch:
                room = self._state.max_changes - len(changes)
                if size > MAX_TRANSACTION_BYTES or room < 2:
                    break  # what is left comes with the next write
                record = self.active.get(one.ref)
                held = [claims(part) for part in one.parts]
                if record is None or None in held:
                    continue  # cancelled meanwhile, or the part is not ours any more
                key = JOBS + one.ref
                for condition in (*held, when(key, self._replica.revision_of(key))):
                    conditions[condition.key] = condition
                known = self.done(one.ref, record)
                done = known | one.done
                if done.bit_count() >= record.job.tasks:
                    past = records.write(FinalStateRecord("done", record.job.tasks, self._today()))
                    changes += [remove(key), put(FINAL_STATES + one.ref, past)]
                    results += [(key, None), (FINAL_STATES + one.ref, bytes(past))]
                    over.append(record)
                elif done != known:
                    for where, value in self._progress(one.ref, record, known, done)[:room]:
                        if where != key:
                            conditions[where] = when(where, self._replica.revision_of(where))
                        changes.append(put(where, value))
                        size += len(bytes(value))
                        results.append((where, bytes(value)))
            if not changes:
                return
            try:
                at = await self._state.transact(list(conditions.values()), changes, Urgency.COMPLETE)
            except ConflictError as error:
                await self.refresh(error.failed)
                continue
            except OutcomeUnknownError:
                await self.refresh([key for key, _ in results])
                continue
            except LeaseExpiredError:
                return
            today = self._loop.clock.today().timestamp()
            for one in over:
                log.info(
                    "event=job_done job=%s class=%s took=%.1f", one.job.ref, one.job.job_class, today - one.accepted
                )
            for key, value in results:
                self._change(key, value, at)
            return

    def _progress(self, ref: str, record: JobRecord, known: int, done: int) -> list[tuple[str, msgspec.Raw]]:
        """What to write for a job with these tasks done: its record, or if that would be too large, pages beside it."""
        whole = record.with_done(done)
        if self.fits(whole):
            return [(JOBS + ref, records.write(whole))]
        fresh, paged = done & ~known, self._paged.get(ref, 0)
        found = []
        for number in range(-(-record.job.tasks // records.PAGE_TASKS)):
            bits = records.page_of(fresh, number)
            if bits:
                page = DonePage(records.pack(records.page_of(paged, number) | bits))
                found.append((self._page(ref, number), records.write(page)))
        return found

    async def refresh(self, keys: Iterable[str]) -> None:
        """Read back keys whose state is in doubt."""
        for key in keys:
            item = await self._state.get(key, Urgency.COMPLETE)
            if item is not None:
                self._replica.learn(key, bytes(item.value), item.revision)
            elif key.startswith(JOBS):
                # It has its final state; the watch tells which. Until then nothing is written for it.
                self.active.pop(key.removeprefix(JOBS), None)
                await self._loop.sleep(timedelta(milliseconds=50))


__all__ = ["JobStore", "Progress"]
