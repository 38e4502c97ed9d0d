"""Transfers of tasks to other shards: the leader that owns the tasks reassigns them in one conditional write.

Each task belongs to exactly one shard. While its reassignment is being written, and until the outcome is known, this
shard doesn't start it, so that it can't run in both shards.
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
RECONCILE_RETRY_INTERVAL = timedelta(milliseconds=500)


class Reassignment(NamedTuple):
    """A job, and its new record, in which some of this shard's tasks are assigned to another shard."""

    ref: str
    record: records.JobRecord

    @property
    def size(self) -> int:
        """The size of the record's value, in bytes."""
        return len(bytes(records.write(self.record)))


@dataclass(frozen=True, slots=True)
class _TransferWrite:
    """The write of one job's reassignment, and the tasks that are withheld from placement for it, as a bit set."""

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
        """Reassign tasks of one or more jobs to another shard in a single transaction.

        If the write fails, the tasks stay in this shard. If its outcome is unknown, this shard does not place the tasks
        until the outcome is certain.
        """
        if not self._status.allows(Action.GIVE_WORK):
            return  # the leadership ended during an earlier write of the same round
        writes = [
            write
            for reassignment in reassignments
            if (write := self._withhold(reassignment.ref, reassignment.record)) is not None
        ]
        if not writes:
            return
        number = self._shard.number
        conditions = [self._leadership_state.leadership_condition(number), *(write.condition for write in writes)]
        changes = [write.put for write in writes]
        result = await self._storage.try_write(conditions, changes, Urgency.PROGRESS)
        if result.outcome is WriteOutcome.UNKNOWN:
            # The write may still be applied. Withhold the tasks until another write of the key has ruled that out.
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
            self._end_transfer(write.job, write.tasks)

    def _withhold(self, ref: str, record: records.JobRecord) -> _TransferWrite | None:
        """Withhold a job's tasks from placement during their reassignment. Return None if this is not possible now."""
        job = self._shard.jobs.get(ref)
        if job is None:
            return None
        if not self._pager.fits(record):
            # An older version may have written a record that exceeds the current size limit. The job can be
            # transferred once paging has made its record smaller.
            self._group.spawn(self._pager.page_out(ref), "page-out")
            return None
        tasks = job.owned & ~record.tasks_owned_by(self._shard.number)
        if tasks & (job.placed_bits | job.in_transfer):
            # One of the tasks was placed or became part of another transfer after the tasks had been chosen, while an
            # earlier write of the same round was awaited. If it were transferred, it could run in both shards.
            return None
        # No task in `in_transfer` starts here while the write is in flight. Removing the tasks from `owned` would not
        # be enough: `owned` may be read from the stored record again meanwhile, for example when an earlier write is
        # reconciled.
        job.in_transfer |= tasks
        key = JOBS + ref
        condition = compare(key, self._replica.revision_of(key))
        return _TransferWrite(job, tasks, condition, put(key, records.write(record)))

    def _end_transfer(self, job: Job, tasks: int) -> None:
        """End a transfer whose outcome is known: the job's record now tells which tasks this shard owns."""
        job.in_transfer &= ~tasks
        self._job_sync.job_changed(job.ref)

    async def _refresh(self, keys: list[str]) -> None:
        try:
            await self._job_reader.refresh(keys)
        except StoreUnavailableError:
            log.debug("event=job_refresh_failed")

    async def _reconcile(self, job: Job, tasks: int) -> None:
        """Rewrite a job's record unchanged, so that a transaction of unknown outcome can no longer be applied."""
        key = JOBS + job.ref
        while True:
            try:
                entry = await self._store.get(key, Urgency.COMPLETE)
                if entry is None:
                    return  # the job has reached its final state: the watch removes it from the shard
                await self._storage.write([compare(key, entry.revision)], [put(key, entry.value)], Urgency.COMPLETE)
                self._end_transfer(job, tasks)
                return
            except WRITE_ERRORS:
                await self._loop.sleep(RECONCILE_RETRY_INTERVAL)
