"""Work stealing: when an idle shard needs work, and which tasks a busy shard gives to an idle one."""

from datetime import timedelta
from operator import attrgetter
from typing import NamedTuple

from badgerroute.connectivity.modes import Action
from badgerroute.coordination.jobs.job_store import JobStore
from badgerroute.coordination.shards.job_transfers import JobTransfers, Reassignment
from badgerroute.coordination.shards.leader_status import LeaderStatus
from badgerroute.protocol.mesh import FreeCapacity, StealRequest
from badgerroute.scheduling.capacities import holds_whole_job, slots_by_zone
from badgerroute.scheduling.model import Job
from badgerroute.scheduling.planner import Planner
from badgerroute.scheduling.shard import Shard
from badgerroute.scheduling.stealing import StealSelection, ranges_after_transfer
from badgerroute.storage.key_value_client import KeyValueClient
from badgerroute.storage.records import JobRecord
from badgerroute.storage.transaction_batches import transaction_batches
from badgerroute.transport.loop import Loop

MAX_RANGES = 48  # a job whose tasks are split into more ranges is not stolen from
MAX_JOBS_PER_STEAL = 6
# While a gang waits in a shard, the shard keeps its free capacity for the gang and steals no work. If the gang does not
# fit in this capacity, this ends when the gang has waited for this long.
GANG_WAIT_LIMIT = timedelta(seconds=30)


class _JobShape(NamedTuple):
    """The requirements of a job's tasks that determine which free capacity they can use."""

    cpus: float
    accelerators: float
    memory_gb: float
    zone: str | None
    spot: bool
    types: tuple[str, ...]

    @classmethod
    def of(cls, job: Job) -> "_JobShape":
        """Return the requirements of a job's tasks."""
        spec = job.spec
        return cls(spec.cpus, spec.accelerators, spec.memory_gb, spec.zone, spec.spot, tuple(spec.types or ()))


class WorkStealing:
    """Work stealing of one shard, which may be the idle shard (thief) or the busy one (victim)."""

    def __init__(
        self,
        *,
        shard: Shard,
        planner: Planner,
        loop: Loop,
        store: KeyValueClient,
        job_store: JobStore,
        status: LeaderStatus,
        job_transfers: JobTransfers,
    ) -> None:
        self._shard, self._planner, self._loop, self._store = shard, planner, loop, store
        self._job_store, self._status, self._job_transfers = job_store, status, job_transfers

    def teams_lacking_quota(self) -> set[str]:
        """Return the teams with jobs that wait here for nothing but quota. Stolen tasks would have to wait too."""
        now = self._loop.now()
        teams: set[str] = set()
        checked_shapes: set[tuple[str, _JobShape]] = set()  # of arrays; with the team, since its gangs matter too
        for job in self._shard.jobs.values():
            team = job.spec.team
            if team in teams or not self._shard.waits_for_quota(job):
                continue
            if not job.gang:
                shape = (team, _JobShape.of(job))
                if shape in checked_shapes:
                    continue
                checked_shapes.add(shape)
            if self._planner.tasks_that_quota_would_start(job, now):
                teams.add(team)
        return teams

    def has_work_for(self, capacities: list[FreeCapacity], teams_lacking_quota: set[str]) -> bool:
        """Return whether a task that waits in this shard could soon use the given free capacity.

        Jobs that can't start soon are ignored, for example if their team lacks quota or their tasks have failed.
        Otherwise the capacity would stay idle for these jobs, although tasks of other shards could use it.
        """
        now = self._loop.now()
        checked_shapes: set[_JobShape] = set()  # many jobs have the same shape, and each shape is checked once
        for job in self._shard.jobs.values():
            if job.failing or job.failed_on or job.spec.team in teams_lacking_quota:
                continue
            if not job.startable or job.blocked_until > now:
                continue
            if job.gang and now - job.waiting_since > GANG_WAIT_LIMIT and not holds_whole_job(job, capacities):
                continue
            shape = _JobShape.of(job)
            if shape not in checked_shapes:
                checked_shapes.add(shape)
                if slots_by_zone(job, capacities).total():
                    return True
        return False

    async def on_steal(self, message: StealRequest) -> None:
        """Answer an idle shard's request: reassign waiting tasks that fit there, in one conditional write."""
        if not self._shard.reconciled or not self._status.allows(Action.GIVE_WORK):
            return
        selection = StealSelection(self._shard, message.all_capacities, message.images, self._loop.now())
        reassignments: list[Reassignment] = []
        for job in self._jobs_by_precedence():
            if len(reassignments) >= min(MAX_JOBS_PER_STEAL, self._store.max_changes):
                break
            record = self._job_store.active.get(job.ref)
            if record is None or not self._may_be_stolen(job, record) or job.spec.team in message.teams_lacking_quota:
                continue
            tasks = selection.choose(job)
            if tasks:
                ranges = ranges_after_transfer(record.assigned_ranges, tasks, message.thief)
                reassignments.append(Reassignment(job.ref, record.with_ranges(ranges)))
        # What does not fit into one transaction waits for the next request: after a write its records may be outdated.
        batch = next(transaction_batches(reassignments, attrgetter("size"), self._store.max_changes), None)
        if batch:
            await self._job_transfers.write(batch, message.thief)

    def _jobs_by_precedence(self) -> list[Job]:
        precedence = self._shard.guidance.precedence
        return sorted(
            self._shard.jobs.values(),
            key=lambda job: (not job.guaranteed, -job.level, precedence(job), job.accepted),
        )

    @staticmethod
    def _may_be_stolen(job: Job, record: JobRecord) -> bool:
        return len(record.assigned_ranges) <= MAX_RANGES and bool(job.waiting_bits) and not job.failing
