"""The jobs: accepting, showing, cancelling them, and writing their progress down."""

import logging
from collections import OrderedDict
from collections.abc import Callable, Iterable
from datetime import timedelta

from badgerroute.protocol.state import Condition, Put, Remove
from badgerroute.protocol.users import JobView, Submission
from badgerroute.settings import Settings
from badgerroute.storage import records
from badgerroute.storage.budget import Urgency
from badgerroute.storage.records import JobRecord, PastRecord
from badgerroute.storage.replica import JOBS, PAST, Replica
from badgerroute.storage.state import (
    Conflicted,
    LeaseGone,
    StateClient,
    Unavailable,
    Unknown,
    put,
    remove,
    when,
)
from badgerroute.transport.loop import Loop

log = logging.getLogger("badgerroute.jobs")
MOST_FINAL = 20_000
MOST_BYTES = 40_000  # of a transaction's 64 KiB
READ_LIMIT = timedelta(milliseconds=1500)

Pushed = Callable[[str, bytes | None, int], None]


class Progress:
    """Newly done tasks of one job, with the parts that saw them."""

    __slots__ = ("ref", "done", "parts")

    def __init__(self, ref: str, done: int, parts: set[int]) -> None:
        self.ref, self.done, self.parts = ref, done, parts


class JobBook:
    def __init__(self, settings: Settings, loop: Loop, state: StateClient, replica: Replica, pushed: Pushed) -> None:
        self._settings, self._loop, self._state, self._replica = settings, loop, state, replica
        self._pushed = pushed
        self.withdrawn: Callable[[str, int, bool], None] = lambda ref, revision, at_once: None
        self.active: dict[str, JobRecord] = {}
        self._final: OrderedDict[str, tuple[str, int]] = OrderedDict()  # state, and the revision that made it so
        self._confirming: set[str] = set()  # jobs whose users are about to be told that they are withdrawn
        replica.listen(JOBS, self._job_changed)
        replica.listen(PAST, self._past_changed)

    # -- what the watch says

    def _job_changed(self, key: str, value: bytes | None, revision: int) -> None:
        ref = key.removeprefix(JOBS)
        if value is None:
            self.active.pop(ref, None)
        else:
            self.active[ref] = records.read(value, JobRecord)

    def _past_changed(self, key: str, value: bytes | None, revision: int) -> None:
        if value is not None:
            self._remember(key.removeprefix(PAST), records.read(value, PastRecord).state, revision)

    def _remember(self, ref: str, state: str, revision: int) -> None:
        """Final states never change, so they alone may be answered from memory."""
        fresh = ref not in self._final
        self._final[ref] = (state, revision)
        self._final.move_to_end(ref)
        if len(self._final) > MOST_FINAL:
            self._final.popitem(last=False)
        if fresh and state == "withdrawn":
            self.withdrawn(ref, revision, ref in self._confirming)

    def hear_withdrawn(self, ref: str, revision: int) -> None:
        """A sibling knows that a job is withdrawn, though our watch may not say so for a while."""
        self._remember(ref, "withdrawn", revision)
        self._replica.learn(JOBS + ref, None, revision)

    def _change(self, key: str, value: bytes | None, revision: int) -> None:
        self._replica.learn(key, value, revision)
        self._pushed(key, value, revision)

    # -- reading

    def final(self, ref: str) -> str | None:
        known = self._final.get(ref)
        return known[0] if known else None

    async def look_up(self, ref: str, urgency: Urgency = Urgency.READ) -> tuple[str, JobRecord | None, int] | None:
        """(state, record, revision) as the state service has it now; None: nobody submitted such a job.

        A job moves only from `jobs` to `past`, in one transaction, so looking there in this order misses none.
        """
        final = self._final.get(ref)
        if final is not None:
            return final[0], None, final[1]
        item = await self._state.get(JOBS + ref, urgency)
        if item is not None:
            self._replica.learn(item.key, bytes(item.value), item.revision)
            return "active", records.read(bytes(item.value), JobRecord), item.revision
        return await self._look_up_past(ref, urgency)

    async def current(self, ref: str) -> tuple[str, JobRecord | None, int] | None:
        """The same from our copy, once that has caught up with the state service: for the many who only look."""
        final = self._final.get(ref)
        if final is None:
            await self._replica.current()
            final = self._final.get(ref)
        if final is not None:
            return final[0], None, final[1]
        record = self.active.get(ref)
        if record is not None:
            return "active", record, self._replica.mark(JOBS + ref)
        return await self._look_up_past(ref, Urgency.READ)

    async def _look_up_past(self, ref: str, urgency: Urgency) -> tuple[str, JobRecord | None, int] | None:
        past = await self._state.get(PAST + ref, urgency)
        if past is None:
            return None
        state = records.read(bytes(past.value), PastRecord).state
        self._remember(ref, state, past.revision)
        # It left `jobs` in the same transaction. Until the watch says so, a controller that had just told a user that
        # the job is withdrawn could still have started a task of it.
        self._replica.learn(JOBS + ref, None, past.revision)
        return state, None, past.revision

    @staticmethod
    def view(ref: str, state: str, record: JobRecord | None, running: int) -> JobView:
        if record is None:
            return JobView(ref, state)
        done = record.done().bit_count()
        running = min(running, record.job.tasks - done)
        return JobView(ref, "running" if running else "queued", done, running)

    # -- accepting and cancelling

    async def accept(self, job: Submission, ranges: list[tuple[int, int, int]]) -> bool:
        """Store a new job. False: it is known already. Unknown outcomes are read back."""
        key = JOBS + job.ref
        record = JobRecord(job, self._loop.clock.today().timestamp(), ranges)
        value = records.write(record)
        try:
            mark = await self._state.transact(
                [when(key, 0), when(PAST + job.ref, 0)], [put(key, value)], Urgency.SUBMIT, READ_LIMIT
            )
        except Conflicted:
            return False
        except Unknown:
            if await self.look_up(job.ref, Urgency.SUBMIT) is None:
                raise
            return False
        self._change(key, bytes(value), mark)
        return True

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
            past = records.write(PastRecord("withdrawn", record.job.tasks))
            try:
                at = await self._state.transact(
                    [when(JOBS + ref, mark)], [remove(JOBS + ref), put(PAST + ref, past)], Urgency.CANCEL, READ_LIMIT
                )
            except Conflicted:
                continue  # progress was written in between
            self._change(JOBS + ref, None, at)
            self._change(PAST + ref, bytes(past), at)
            log.info("event=job_withdrawn job=%s", ref)
            return "withdrawn"
        raise Unavailable("too much changes at once")

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
                if size > MOST_BYTES or len(changes) + 2 > self._settings.params.state.txn_ops:
                    break  # what is left comes with the next write
                record = self.active.get(one.ref)
                held = [claims(part) for part in one.parts]
                if record is None or None in held:
                    continue  # cancelled meanwhile, or the part is not ours any more
                key = JOBS + one.ref
                for condition in (*held, when(key, self._replica.mark(key))):
                    conditions[condition.key] = condition
                done = record.done() | one.done
                if done.bit_count() >= record.job.tasks:
                    past = records.write(PastRecord("done", record.job.tasks))
                    changes += [remove(key), put(PAST + one.ref, past)]
                    results += [(key, None), (PAST + one.ref, bytes(past))]
                    over.append(record)
                elif done != record.done():
                    value = records.write(record.with_done(done))
                    changes.append(put(key, value))
                    size += len(bytes(value))
                    results.append((key, bytes(value)))
            if not changes:
                return
            try:
                at = await self._state.transact(list(conditions.values()), changes, Urgency.COMPLETE)
            except Conflicted as error:
                await self.refresh(error.failed)
                continue
            except Unknown:
                await self.refresh([key for key, _ in results])
                continue
            except LeaseGone:
                return
            today = self._loop.clock.today().timestamp()
            for one in over:
                log.info(
                    "event=job_done job=%s class=%s took=%.1f", one.job.ref, one.job.job_class, today - one.accepted
                )
            for key, value in results:
                self._change(key, value, at)
            return

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


__all__ = ["JobBook", "Progress"]
