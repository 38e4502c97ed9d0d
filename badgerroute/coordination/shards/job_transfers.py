"""Transfers of tasks to other shards: the leader that owns tasks gives them away, in one conditional write.

A task belongs to one shard at any time. It is out of reach here from before the write until its outcome is known, so
that it can't start in both shards.
"""

import logging
from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple

from badgerroute.connectivity.modes import Action
from badgerroute.coordination.jobs.job_reader import JobReader
from badgerroute.coordination.jobs.record_paging import RecordPager
from badgerroute.coordination.leadership.leadership_state import LeadershipState
from badgerroute.coordination.shards.job_sync import JobSync
from badgerroute.coordination.shards.leader_status import LeaderStatus
from badgerroute.coordination.shards.shard_storage import WRITE_ERRORS, ShardStorage, WriteOutcome
from badgerroute.protocol.key_value import Compare, Put
from badgerroute.scheduling.model import Job
from badgerroute.scheduling.shard import Shard
from badgerroute.storage import records
from badgerroute.storage.errors import StoreUnavailableError
from badgerroute.storage.keys import JOBS
from badgerroute.storage.operations import compare, put
from badgerroute.storage.rate_limiter import Urgency
from badgerroute.transport.loop import Loop, TaskGroup

log = logging.getLogger(__name__)
RECONCILE_RETRY = timedelta(milliseconds=500)


class Reassignment(NamedTuple):
    """A job, and its record with some of this shard's tasks assigned to another shard."""

    ref: str
    record: records.JobRecord


@dataclass(frozen=True, slots=True)
class _ReservedWrite:
    """The write of a reassignment, with the tasks that are out of reach for it, as a bit set."""

    job: Job
    tasks: int
    condition: Compare
    put: Put


class JobTransfers:
    """Writes reassignments of one shard's tasks."""

    def __init__(
        self,
        *,
        shard: Shard,
        loop: Loop,
        group: TaskGroup,
        storage: ShardStorage,
        leadership_state: LeadershipState,
        status: LeaderStatus,
        job_reader: JobReader,
        pager: RecordPager,
        job_sync: JobSync,
    ) -> None:
        self._shard, self._loop, self._group = shard, loop, group
        self._storage, self._replica, self._store = storage, storage.replica, storage.store
        self._leadership_state, self._status = leadership_state, status
        self._job_reader, self._pager, self._job_sync = job_reader, pager, job_sync

    async def write(self, reassignments: list[Reassignment], receiver: int) -> None:
        """Give tasks of one or more jobs to another shard, all in one transaction or none.

        A lost or failed write costs time only: the tasks stay here, or are out of reach until the outcome is certain.
        """
        if not self._status.allows(Action.GIVE_WORK):
            return  # the leadership ended while an earlier write of the same round was on its way
        writes = [write for each in reassignments if (write := self._reserve(each.ref, each.record)) is not None]
        if not writes:
            return
        number = self._shard.number
        conditions = [self._leadership_state.condition(number), *(write.condition for write in writes)]
        changes = [write.put for write in writes]
        result = await self._storage.try_write(conditions, changes, Urgency.PROGRESS)
        if result.outcome is WriteOutcome.UNKNOWN:
            # It may yet be applied: the tasks stay out of reach until another write has reconciled the key.
            for write in writes:
                self._group.spawn(self._reconcile(write.job, write.tasks), "settle-steal")
            return
        if result.outcome is WriteOutcome.APPLIED:
            log.info("event=work_stolen shard=%d thief=%d jobs=%d", number, receiver, len(changes))
            self._storage.record_applied(changes, result.revision)
        else:
            log.debug("event=work_transfer_failed shard=%d error=%s", number, result.error)
            if result.condition_failed:
                await self._refresh([change.key for change in changes])
        for write in writes:
            self._release(write.job, write.tasks)

    def _reserve(self, ref: str, record: records.JobRecord) -> _ReservedWrite | None:
        """Put a job's tasks out of reach for the write that gives them away; None if they can't be given now."""
        job = self._shard.jobs.get(ref)
        if job is None:
            return None
        if not self._pager.fits(record):
            # An older version may have left it larger than may be written now: it is transferred once it is smaller.
            self._group.spawn(self._pager.page_out(ref), "page-out")
            return None
        tasks = job.owned & ~record.owned(self._shard.number)
        if tasks & (job.placed_bits | job.in_transfer):
            # A task that was placed, or is already being given away, since the choice was made would run in both
            # shards: choices are made before other writes of the same round, which take their time.
            return None
        # Nothing of it starts here while the write is on its way. What this shard owns may be read from the record
        # again meanwhile, by the reconciliation of an earlier write for instance, so taking it off `owned` is not
        # enough.
        job.in_transfer |= tasks
        key = JOBS + ref
        condition = compare(key, self._replica.revision_of(key))
        return _ReservedWrite(job, tasks, condition, put(key, records.write(record)))

    def _release(self, job: Job, tasks: int) -> None:
        """The outcome is known, and so is what this shard owns."""
        job.in_transfer &= ~tasks
        self._job_sync.job_changed(job.ref)

    async def _refresh(self, keys: list[str]) -> None:
        try:
            await self._job_reader.refresh(keys)
        except StoreUnavailableError:
            log.debug("event=job_refresh_failed")

    async def _reconcile(self, job: Job, tasks: int) -> None:
        """Rewrite a job's record as it is, so that a lost transaction can't be applied any more."""
        key = JOBS + job.ref
        while True:
            try:
                item = await self._store.get(key, Urgency.COMPLETE)
                if item is None:
                    return  # it has its final state: the watch drops it
                await self._storage.write([compare(key, item.revision)], [put(key, item.value)], Urgency.COMPLETE)
                self._release(job, tasks)
                return
            except WRITE_ERRORS:
                await self._loop.sleep(RECONCILE_RETRY)
