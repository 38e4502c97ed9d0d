"""What this controller knows of all jobs: their records, final states and dependencies, kept fresh by the replica.

Nothing here talks to the key-value store: see `job_reader` for look-ups and `job_writer` for changes.
"""

import logging
from collections import OrderedDict
from collections.abc import Callable, Iterator

from badgerroute.scheduling.dependencies import Dependencies, FinalState
from badgerroute.scheduling.inheritance import Inherited
from badgerroute.storage import records
from badgerroute.storage.bitset import PAGE_TASKS, unpack
from badgerroute.storage.keys import DONE, FINAL_STATES, JOBS, PREDECESSORS
from badgerroute.storage.records import DonePage, FinalStateRecord, JobRecord, JobState, PredecessorsPage
from badgerroute.storage.replica import Replica

log = logging.getLogger(__name__)
MAX_FINAL_STATES_REMEMBERED = 20_000

Publish = Callable[[str, bytes | None, int], None]
CancellationListener = Callable[[str, int, bool], None]  # job, revision, whether a user is about to be told


def page_key(prefix: str, ref: str, number: int) -> str:
    """The key of a page beside a job's record."""
    return f"{prefix}{ref}/{number}"


class JobStore:
    """`publish` tells peers of a change of ours, `released` and `cancelled` whoever acts on these."""

    def __init__(
        self,
        replica: Replica,
        publish: Publish,
        released: Callable[[str], None],
        cancelled: CancellationListener,
    ) -> None:
        self._replica, self._publish = replica, publish
        self._on_released, self._on_cancelled = released, cancelled
        self.active: dict[str, JobRecord] = {}
        self.pages: dict[str, set[str]] = {}  # job -> its keys beside its record
        self._final: OrderedDict[str, FinalState] = OrderedDict()
        self._paged: dict[str, int] = {}  # job -> done tasks that are written down on pages
        self._lacking: set[str] = set()  # unfinished jobs whose predecessors we have not all seen yet
        self._schedulable: dict[str, JobRecord] = {}  # unfinished jobs that do not wait for others
        self.inherited: dict[str, Inherited] = {}  # what jobs take over from their dependents
        self._confirming: set[str] = set()  # jobs whose users are about to be told that they are cancelled
        self.dependencies = Dependencies(self._final.get, self._released, self._cancelled_upstream)
        replica.listen(DONE, self._done_changed)
        replica.listen(PREDECESSORS, self._predecessors_changed)
        replica.listen(JOBS, self._job_changed)
        replica.listen(FINAL_STATES, self._final_state_changed)

    # -- what the replica says

    def _job_changed(self, key: str, value: bytes | None, revision: int) -> None:
        ref = key.removeprefix(JOBS)
        if value is None:
            self.active.pop(ref, None)
            self._schedulable.pop(ref, None)
            self._paged.pop(ref, None)
            self._lacking.discard(ref)
            self.dependencies.remove(ref)
            return
        self.active[ref] = record = records.read(value, JobRecord)
        if record.job.predecessors or record.pages:
            self._add_dependencies(ref, record)
        if not self.waits(ref):
            self._schedulable[ref] = record

    def _add_dependencies(self, ref: str, record: JobRecord) -> None:
        predecessors = self._predecessors(ref, record)
        if predecessors is None:
            self._lacking.add(ref)  # their pages were written before the record, so they come
        else:
            self._lacking.discard(ref)
            self.dependencies.add(ref, predecessors)

    def _predecessors(self, ref: str, record: JobRecord) -> list[str] | None:
        predecessors = list(record.job.predecessors or ())
        for number in range(record.pages):
            value = self._replica.value(page_key(PREDECESSORS, ref, number))
            if value is None:
                return None
            predecessors += records.read(value, PredecessorsPage).refs
        return predecessors

    def _predecessors_changed(self, key: str, value: bytes | None, revision: int) -> None:
        ref = self._page_changed(key, PREDECESSORS, value)
        if ref in self._lacking:
            self._add_dependencies(ref, self.active[ref])

    def _done_changed(self, key: str, value: bytes | None, revision: int) -> None:
        ref = self._page_changed(key, DONE, value)
        if value is not None:
            number = int(key.rpartition("/")[2])
            bits = unpack(records.read(value, DonePage).bits) << (number * PAGE_TASKS)
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
            self.remember(key.removeprefix(FINAL_STATES), records.read(value, FinalStateRecord), revision)

    def remember(self, ref: str, record: FinalStateRecord, revision: int) -> None:
        """Keep a final state. These never change, so they alone may be answered from memory."""
        fresh = ref not in self._final
        self._final[ref] = final = FinalState(record.state, record.at, revision)
        self._final.move_to_end(ref)
        if len(self._final) > MAX_FINAL_STATES_REMEMBERED:
            self._final.popitem(last=False)
        if fresh and final.state is JobState.CANCELLED:
            self._on_cancelled(ref, revision, ref in self._confirming)
        self.dependencies.finished(ref, final)

    def learn_cancelled(self, ref: str, revision: int) -> None:
        """A peer knows that a job is cancelled, though our watch may not say so for a while."""
        self.remember(ref, FinalStateRecord(JobState.CANCELLED, 0), revision)
        self._replica.learn(JOBS + ref, None, revision)

    # -- what we write ourselves

    def published(self, key: str, value: bytes | None, revision: int) -> None:
        """A change of ours was applied: take it in and tell the peers, before the watch does."""
        self._replica.learn(key, value, revision)
        self._publish(key, value, revision)

    def finished(self, ref: str, final: bytes, revision: int) -> None:
        """A final state of ours was written."""
        self.published(JOBS + ref, None, revision)
        self.published(FINAL_STATES + ref, final, revision)

    def confirming(self, ref: str, begins: bool) -> None:
        """A user is about to be told that a job is cancelled, or no longer."""
        if begins:
            self._confirming.add(ref)
        else:
            self._confirming.discard(ref)

    def forget_record(self, ref: str) -> None:
        """The record is gone, though the watch has not said yet to which final state: nothing is written for it."""
        self.active.pop(ref, None)
        self._schedulable.pop(ref, None)

    # -- dependencies

    def _released(self, ref: str) -> None:
        record = self.active.get(ref)
        if record is not None:
            self._schedulable[ref] = record
        self._on_released(ref)

    @staticmethod
    def _cancelled_upstream(ref: str) -> None:
        log.info("event=job_cancelled_upstream job=%s", ref)

    def waits(self, ref: str) -> bool:
        """Whether a job waits for others: until it is released, it is not there for anything but questions."""
        return ref in self._lacking or self.dependencies.waits(ref)

    def undecided(self, ref: str) -> bool:
        """Whether an unfinished job waits as far as we know, but may have been released.

        That is so if its predecessors are not known, or none of those left is known to be unfinished.
        """
        if ref not in self.active or ref in self.dependencies.cancelled or not self.waits(ref):
            return False
        return ref in self._lacking or not any(
            predecessor in self.active for predecessor in self.dependencies.waits_for(ref)
        )

    def lacks_predecessors(self, ref: str) -> bool:
        """Whether not all keys that name a job's predecessors have come yet."""
        return ref in self._lacking

    def schedulable(self) -> Iterator[tuple[str, JobRecord]]:
        """The unfinished jobs that do not wait for others: those that are there for planning."""
        return iter(self._schedulable.items())

    def level(self, ref: str) -> int:
        """Of a job's priority, or of that of a job which needs it, whichever is higher."""
        own = self.active[ref].job.priority.level
        inherited = self.inherited.get(ref)
        return own if inherited is None else max(own, inherited.level)

    def effective_arrival(self, ref: str, record: JobRecord) -> float:
        """The time of day from which a job's times count: when the last job that it needs was done."""
        return max(record.accepted, self.dependencies.released_at(ref))

    def unknown(self) -> list[str]:
        """Predecessors of which neither is known that they are unfinished nor how they ended."""
        return self.dependencies.unknown(self.active)

    # -- states

    def done(self, ref: str, record: JobRecord) -> int:
        """All tasks that are durably done, as a bit set."""
        return record.done() | self._paged.get(ref, 0)

    def paged(self, ref: str) -> int:
        """The done tasks that are written down on pages, as a bit set."""
        return self._paged.get(ref, 0)

    def knows(self, ref: str) -> bool:
        """Whether a job is known to have been accepted."""
        return ref in self.active or ref in self._final

    def final(self, ref: str) -> JobState | None:
        """A job's final state, as far as it is known; a job cancelled upstream has it before its record says so."""
        known = self._final.get(ref)
        if known is not None:
            return known.state
        return JobState.CANCELLED if ref in self.dependencies.cancelled else None
