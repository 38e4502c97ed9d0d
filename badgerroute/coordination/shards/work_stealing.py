"""Work stealing: what an idle shard asks for, and what a busy one gives it."""

from datetime import timedelta
from typing import NamedTuple

from badgerroute.connectivity.modes import Action
from badgerroute.coordination.jobs.job_store import JobStore
from badgerroute.coordination.shards.job_transfers import JobTransfers, Reassignment
from badgerroute.coordination.shards.leader_status import LeaderStatus
from badgerroute.protocol.mesh import FreeCapacity, StealRequest
from badgerroute.scheduling.capacities import holds_whole_job, slots_by_zone
from badgerroute.scheduling.model import Job
from badgerroute.scheduling.shard import Shard
from badgerroute.scheduling.stealing import StealSelection, given_ranges
from badgerroute.storage.key_value_client import KeyValueClient
from badgerroute.storage.records import JobRecord
from badgerroute.transport.loop import Loop

MAX_RANGES = 48
MAX_JOBS_PER_STEAL = 6
GANG_PATIENCE = timedelta(seconds=30)  # a gang that has waited longer, and does not fit, keeps no room from others


class _JobShape(NamedTuple):
    """What decides which free room a job's tasks could use."""

    cpus: float
    accelerators: float
    memory_gb: float
    zone: str | None
    spot: bool
    types: tuple[str, ...]

    @classmethod
    def of(cls, job: Job) -> "_JobShape":
        """The shape of a job's tasks."""
        spec = job.spec
        return cls(spec.cpus, spec.accelerators, spec.memory_gb, spec.zone, spec.spot, tuple(spec.types or ()))


class WorkStealing:
    """One shard as the thief, and as the victim."""

    def __init__(
        self,
        *,
        shard: Shard,
        loop: Loop,
        store: KeyValueClient,
        job_store: JobStore,
        status: LeaderStatus,
        job_transfers: JobTransfers,
    ) -> None:
        self._shard, self._loop, self._store = shard, loop, store
        self._job_store, self._status, self._job_transfers = job_store, status, job_transfers

    def teams_lacking_quota(self) -> set[str]:
        """Teams of which work waits here for want of quota: more of it would wait just as long."""
        return {job.spec.team for job in self._shard.jobs.values() if self._shard.short_of_quota(job)}

    def has_work_for(self, capacities: list[FreeCapacity], teams_lacking_quota: set[str]) -> bool:
        """Whether something waits here that the free room could soon be used for.

        A job that no machine here may run, that its team's limit holds back, or that fails everywhere does not count:
        the room would stay idle while other shards' tasks wait for some.
        """
        now = self._loop.now()
        seen: set[_JobShape] = set()  # jobs come in few shapes
        for job in self._shard.jobs.values():
            if job.failing or job.failed_on or job.spec.team in teams_lacking_quota:
                continue
            if not job.startable or job.blocked_until > now:
                continue
            if job.gang and now - job.since > GANG_PATIENCE and not holds_whole_job(job, capacities):
                continue
            shape = _JobShape.of(job)
            if shape not in seen:
                seen.add(shape)
                if slots_by_zone(job, capacities):
                    return True
        return False

    async def on_steal(self, message: StealRequest) -> None:
        """An idle shard wants work: give it tasks that wait here and fit there, in one conditional write."""
        if not self._shard.reconciled or not self._status.allows(Action.GIVE_WORK):
            return
        selection = StealSelection(self._shard, message.capacities, message.images, self._loop.now())
        reassignments: list[Reassignment] = []
        for job in self._by_precedence():
            if len(reassignments) >= min(MAX_JOBS_PER_STEAL, self._store.max_changes):
                break
            record = self._job_store.active.get(job.ref)
            if record is None or not self._may_be_stolen(job, record) or job.spec.team in message.teams_lacking_quota:
                continue
            tasks = selection.choose(job)
            if tasks:
                ranges = given_ranges(record.assigned, tasks, message.thief)
                reassignments.append(Reassignment(job.ref, record.with_ranges(ranges)))
        if reassignments:
            await self._job_transfers.write(reassignments, message.thief)

    def _by_precedence(self) -> list[Job]:
        precedence = self._shard.guidance.precedence
        return sorted(
            self._shard.jobs.values(),
            key=lambda job: (not job.guaranteed, -job.level, precedence(job), job.accepted),
        )

    @staticmethod
    def _may_be_stolen(job: Job, record: JobRecord) -> bool:
        return len(record.assigned) <= MAX_RANGES and bool(job.waiting_bits) and not job.failing
