"""In-memory index of all jobs: their records, final states and dependencies, kept up to date by the replica.

This module sends no requests to the key-value store; see `job_reader` for look-ups and `job_transaction` for writes.
"""

import logging
from collections import OrderedDict
from collections.abc import Iterator
from contextlib import contextmanager

from badgerroute.coordination.jobs.job_listeners import CancellationListener, JobReleaseListener
from badgerroute.coordination.jobs.page_index import PageIndex, job_of_page
from badgerroute.coordination.jobs.peer_messaging import ChangePublisher
from badgerroute.scheduling.dependencies import Dependencies, FinalState
from badgerroute.scheduling.inheritance import Inherited
from badgerroute.storage import records
from badgerroute.storage.keys import FINAL_STATES, JOBS, PREDECESSORS
from badgerroute.storage.records import FinalStateRecord, JobRecord, JobState
from badgerroute.storage.replica import Replica

log = logging.getLogger(__name__)
MAX_FINAL_STATES_REMEMBERED = 20_000


class JobStore:
    """The jobs that this controller knows of.

    Invariants: every job of `schedulable()` is in `active`; a final state, once known, never changes; a job in
    `dependencies.cancelled` still has a record of an unfinished job, but is certain to get the final state "cancelled".
    """

    def __init__(
        self,
        replica: Replica,
        publisher: ChangePublisher,
        release_listener: JobReleaseListener,
        cancellation_listener: CancellationListener,
    ) -> None:
        self._replica, self._publisher = replica, publisher
        self._release_listener, self._cancellation_listener = release_listener, cancellation_listener
        self.active: dict[str, JobRecord] = {}
        self._final_states: OrderedDict[str, FinalState] = OrderedDict()  # least recently learned first
        self._lacking_predecessor_pages: set[str] = set()  # unfinished jobs with a page that is not in the replica yet
        self._schedulable: dict[str, JobRecord] = {}  # unfinished jobs that do not wait for predecessors
        self.inherited: dict[str, Inherited] = {}  # priority and deadline from downstream jobs
        self._awaited_cancellations: set[str] = set()  # jobs whose cancellation a user here is waiting for
        self.dependencies = Dependencies(self._final_states.get, self._on_released, self._on_cancelled_upstream)
        self.pages = PageIndex(replica)  # its listeners must run before those registered below, which read it
        replica.listen(PREDECESSORS, self._predecessors_changed)
        replica.listen(JOBS, self._job_changed)
        replica.listen(FINAL_STATES, self._final_state_changed)

    # -- changes reported by the replica

    def _job_changed(self, key: str, value: bytes | None, revision: int) -> None:
        ref = key.removeprefix(JOBS)
        if value is None:
            self._remove(ref)
            return
        self.active[ref] = record = records.read(value, JobRecord)
        if record.job.predecessors or record.pages:
            self._add_dependencies(ref, record)
        if not self.waits_for_predecessors(ref):
            self._schedulable[ref] = record

    def _remove(self, ref: str) -> None:
        self.forget_record(ref)
        self.pages.forget_done(ref)
        self._lacking_predecessor_pages.discard(ref)
        self.dependencies.remove(ref)

    def _add_dependencies(self, ref: str, record: JobRecord) -> None:
        if self.pages.has_predecessors(ref, record):
            self._lacking_predecessor_pages.discard(ref)
            self.dependencies.add(ref, self.pages.predecessors(ref, record))
        else:
            self._lacking_predecessor_pages.add(ref)  # the pages exist, since they are written before the record

    def _predecessors_changed(self, key: str, value: bytes | None, revision: int) -> None:
        ref = job_of_page(key, PREDECESSORS)
        if ref in self._lacking_predecessor_pages:
            self._add_dependencies(ref, self.active[ref])

    def _final_state_changed(self, key: str, value: bytes | None, revision: int) -> None:
        if value is not None:
            self.learn_final_state(key.removeprefix(FINAL_STATES), records.read(value, FinalStateRecord), revision)

    # -- changes learned by other means than the watch

    def learn_final_state(self, ref: str, record: FinalStateRecord, revision: int) -> None:
        """Remember a final state written at `revision`. It never changes, so look-ups may use the copy in memory."""
        is_new = ref not in self._final_states
        self._final_states[ref] = final = FinalState(record.state, record.at, revision)
        self._final_states.move_to_end(ref)
        if len(self._final_states) > MAX_FINAL_STATES_REMEMBERED:
            self._final_states.popitem(last=False)
        if is_new and final.state is JobState.CANCELLED:
            self._cancellation_listener.job_cancelled(ref, revision, ref in self._awaited_cancellations)
        self.dependencies.finished(ref, final)

    def learn_cancelled(self, ref: str, revision: int) -> None:
        """Apply a cancellation reported by a peer, which this controller's own watch may report much later."""
        self.learn_final_state(ref, FinalStateRecord(JobState.CANCELLED, 0), revision)
        self._replica.apply_early(JOBS + ref, None, revision)

    def apply_write(self, key: str, value: bytes | None, revision: int) -> None:
        """Apply a write of this controller, which the key-value store has applied, and push it to the peers."""
        self._replica.apply_early(key, value, revision)
        self._publisher.publish(key, value, revision)

    def forget_record(self, ref: str) -> None:
        """Forget a removed record, so that nothing more is written for its job.

        The job's final state may not be known yet.
        """
        self.active.pop(ref, None)
        self._schedulable.pop(ref, None)

    @contextmanager
    def confirming_cancellation(self, ref: str) -> Iterator[None]:
        """While the `with` block runs, mark the job as one whose cancellation a user of this controller waits for."""
        self._awaited_cancellations.add(ref)
        try:
            yield
        finally:
            self._awaited_cancellations.discard(ref)

    # -- dependencies

    def _on_released(self, ref: str) -> None:
        record = self.active.get(ref)
        if record is not None:
            self._schedulable[ref] = record
        self._release_listener.job_released(ref)

    @staticmethod
    def _on_cancelled_upstream(ref: str) -> None:
        log.info("event=job_cancelled_upstream job=%s", ref)

    def waits_for_predecessors(self, ref: str) -> bool:
        """Return whether a job waits for predecessors. Such a job can be looked up, but must not be scheduled."""
        return ref in self._lacking_predecessor_pages or self.dependencies.waits(ref)

    def may_be_released(self, ref: str) -> bool:
        """Return whether a job that this controller regards as waiting may have been released already.

        This is the case if its predecessors are not known here, or if none of the predecessors that it still waits for
        is known to be unfinished.
        """
        if ref not in self.active or ref in self.dependencies.cancelled or not self.waits_for_predecessors(ref):
            return False
        return ref in self._lacking_predecessor_pages or not any(
            predecessor in self.active for predecessor in self.dependencies.waits_for(ref)
        )

    def lacks_predecessor_pages(self, ref: str) -> bool:
        """Return whether a page with predecessors of a job is not in the replica yet."""
        return ref in self._lacking_predecessor_pages

    def unknown_predecessors(self) -> list[str]:
        """Return the predecessors for which this controller has neither a record nor a final state."""
        return self.dependencies.unknown(self.active)

    # -- in-memory look-ups

    def schedulable(self) -> Iterator[tuple[str, JobRecord]]:
        """Iterate over the unfinished jobs that do not wait for predecessors."""
        return iter(self._schedulable.items())

    def effective_level(self, ref: str) -> int:
        """Return a job's priority level: its own, or the one inherited from a downstream job if that is higher."""
        own_level = self.active[ref].job.priority.level
        inherited = self.inherited.get(ref)
        return own_level if inherited is None else max(own_level, inherited.level)

    def effective_arrival(self, ref: str, record: JobRecord) -> float:
        """Return when a job became runnable, as a Unix time: when it was accepted or its last predecessor was done."""
        return max(record.accepted, self.dependencies.released_at(ref))

    def done_tasks(self, ref: str, record: JobRecord) -> int:
        """Return the done tasks that the key-value store holds, in the job's record or its pages, as a bit set."""
        return record.stored_done_tasks() | self.pages.done(ref)

    def is_accepted(self, ref: str) -> bool:
        """Return whether a job is known to have been accepted."""
        return ref in self.active or ref in self._final_states

    def final_state(self, ref: str) -> JobState | None:
        """Return a job's final state, or None if it is not known.

        A job whose predecessor is cancelled counts as cancelled even while its own record still exists.
        """
        final = self._final_states.get(ref)
        if final is not None:
            return final.state
        return JobState.CANCELLED if ref in self.dependencies.cancelled else None
