"""What a shard trades with the others: gangs passed on, waiting tasks stolen from it, machines asked for.

Only the leader of a thing gives it away, in one conditional write; a lost request costs time, never safety.
"""

import logging
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

import msgspec

from badgerroute.connectivity.modes import Action
from badgerroute.coordination.shards.leader_context import LeaderContext
from badgerroute.protocol import mesh as mesh_wire
from badgerroute.protocol.key_value import Compare, Put
from badgerroute.scheduling.capacities import ANY_ZONE, holds_whole_job, slots_by_zone
from badgerroute.scheduling.model import Job
from badgerroute.scheduling.placement_constraints import allows
from badgerroute.scheduling.planner import Planner
from badgerroute.scheduling.shard import Shard
from badgerroute.scheduling.stealing import StealSelection, given_ranges
from badgerroute.storage import records
from badgerroute.storage.budget import Urgency
from badgerroute.storage.key_value_client import (
    CompareFailedError,
    LeaseExpiredError,
    OutcomeUnknownError,
    StoreUnavailableError,
    compare,
    put,
)
from badgerroute.storage.records import TaskRange
from badgerroute.storage.replica import JOBS
from badgerroute.transport.loop import TaskGroup

log = logging.getLogger(__name__)
MAX_RANGES = 48
GANG_HOPE = timedelta(seconds=30)  # a gang that has waited longer, and does not fit, keeps no room from others' work
MAX_JOBS_PER_STEAL = 6
PASS_ON_PAUSE = timedelta(seconds=8)  # a gang that was passed on is left where it is for so long


@dataclass(frozen=True, slots=True)
class _AssignmentWrite:
    """A job's record that gives `given` of its tasks to another shard, and the condition of its write."""

    job: Job
    given: int
    condition: Compare
    put: Put


class WorkMigration:
    """`active` tells whether the shard's leader is still the one it was; `changed` is told of jobs to read again."""

    def __init__(
        self,
        shard: Shard,
        planner: Planner,
        context: LeaderContext,
        group: TaskGroup,
        active: Callable[[], bool],
        changed: Callable[[str], None],
    ) -> None:
        self.number, self.shard, self.planner = shard.number, shard, planner
        self._loop, self._group = context.loop, group
        self._store, self._replica, self._election = context.store, context.replica, context.election
        self._policy = context.policy
        self._job_store, self._job_reader, self._pager = context.job_store, context.job_reader, context.pager
        self._publish, self._ask_machines = context.publish, context.request_machines
        self._active, self._changed = active, changed
        self._passed_on: dict[str, timedelta] = {}
        self._machine_request: tuple[str, timedelta] | None = None  # gang, and since when

    def gathering(self, now: timedelta) -> str | None:
        """The gang for which machines were asked lately: what comes now comes for it."""
        if self._machine_request is not None and now - self._machine_request[1] < PASS_ON_PAUSE:
            return self._machine_request[0]
        return None

    def short_teams(self) -> set[str]:
        """Teams of which work waits here for want of quota: more of it would wait just as long."""
        return {job.spec.team for job in self.shard.jobs.values() if self.shard.short_of_quota(job)}

    def has_work_for(self, capacities: list[mesh_wire.FreeCapacity], short: set[str]) -> bool:
        """Whether something waits here that the free room could soon be used for.

        Any waiting job once counted, also one that no machine here may run, that its team's limit holds back, or that
        fails everywhere: beside it a shard's room lay idle, while other shards' tasks waited for room.
        """
        now = self._loop.now()
        seen: set[tuple] = set()  # jobs come in few shapes
        for job in self.shard.jobs.values():
            spec = job.spec
            if job.failing or job.failed_on or spec.team in short or not job.startable or job.blocked_until > now:
                continue
            if job.gang and now - job.since > GANG_HOPE and not holds_whole_job(job, capacities):
                continue
            shape = (spec.cpus, spec.accelerators, spec.memory_gb, spec.zone, spec.spot, tuple(spec.types or ()))
            if shape not in seen:
                seen.add(shape)
                if slots_by_zone(job, capacities):
                    return True
        return False

    def _acting(self) -> bool:
        """A leader that has ended must give nothing away, even if this controller holds the shard again."""
        return self._active() and self._policy.allows_for(self.number, Action.GIVE_WORK)

    async def pass_on_gangs(self, summaries: list[mesh_wire.ShardSummary]) -> None:
        """Give gangs for which there is no room here to a shard that has some, or could make some."""
        now = self._loop.now()
        for job in self.planner.unplaceable_gangs(now):
            if now - self._passed_on.get(job.ref, -PASS_ON_PAUSE) < PASS_ON_PAUSE:
                continue
            others = [summary for summary in summaries if summary.shard != self.number and summary.reconciled]
            options = [summary for summary in others if holds_whole_job(job, summary.capacities)] or [
                summary for summary in others if holds_whole_job(job, summary.soft.get(job.level, []))
            ]
            record = self._job_store.active.get(job.ref)
            if record is None:
                continue
            if not options:
                self._request_machines(job, now, others)
                continue
            target = min(
                options,
                key=lambda summary: (
                    -self._beside(job, summary),
                    sum(want.gang for want in summary.demands),
                    summary.shard,
                ),
            )
            self._passed_on = {ref: at for ref, at in self._passed_on.items() if now - at < PASS_ON_PAUSE}
            self._passed_on[job.ref] = now
            moved = record.with_ranges([TaskRange(target.shard, 0, job.spec.tasks)])
            log.info("event=gang_moved job=%s from=%d to=%d", job.ref, self.number, target.shard)
            await self._write_steal([(job.ref, moved)], target.shard)

    def _request_machines(self, job: Job, now: timedelta, others: list[mesh_wire.ShardSummary]) -> None:
        """No shard could hold the gang: gather empty machines here until it fits."""
        here: Counter[str] = Counter()  # by zone, if it must lie in one
        for machine, room in self.planner.reclaimable_by_machine(job.level):
            if allows(job.spec, machine.kind.name, machine.zone, machine.spot):
                here[machine.zone if job.spec.together else ANY_ZONE] += room.times(job.need)
        for machine in self.shard.machines.values():
            if machine.reserved_for == job.ref:
                here[machine.zone if job.spec.together else ANY_ZONE] += 1
        whole = here + sum((slots_by_zone(job, summary.capacities) for summary in others), Counter())
        if not whole:
            return
        # Room in two zones is no room for a gang that must lie in one: such a gang once waited for ever.
        zone = max(sorted(whole), key=lambda one: (min(job.spec.tasks, whole[one]), here[one]))
        lacking = job.spec.tasks - here[zone]
        if lacking > 0 and self.shard.fits_quota(job, job.spec.tasks) >= job.spec.tasks:
            self._machine_request = (job.ref, now)
            self._passed_on[job.ref] = now
            spec = msgspec.structs.replace(job.spec, zone=zone) if zone else job.spec
            self._ask_machines(mesh_wire.MachineRequest(self.number, spec, lacking))

    @staticmethod
    def _beside(job: Job, one: mesh_wire.ShardSummary) -> int:
        """How many of a gang's tasks could find their image in a shard."""
        return min(job.spec.tasks, sum(room >= job.need.cpus for room in one.beside.get(job.spec.image, ())))

    async def on_steal(self, message: mesh_wire.StealRequest) -> None:
        """An idle shard wants work: give it tasks that wait here and fit there, in one conditional write."""
        if not self.shard.reconciled or not self._acting():
            return
        selection = StealSelection(self.shard, message.capacities, message.images, self._loop.now())
        changes: list[tuple[str, records.JobRecord]] = []
        precedence = self.shard.guidance.precedence
        jobs = sorted(
            self.shard.jobs.values(), key=lambda job: (not job.guaranteed, -job.level, precedence(job), job.accepted)
        )
        for job in jobs:
            if len(changes) >= min(MAX_JOBS_PER_STEAL, self._store.max_changes):
                break
            record = self._job_store.active.get(job.ref)
            if record is None or not self._may_be_stolen(job, record) or job.spec.team in message.short:
                continue
            taken = selection.choose(job)
            if taken:
                changes.append((job.ref, record.with_ranges(given_ranges(record.assigned, taken, message.thief))))
        if changes:
            await self._write_steal(changes, message.thief)

    @staticmethod
    def _may_be_stolen(job: Job, record: records.JobRecord) -> bool:
        return len(record.assigned) <= MAX_RANGES and bool(job.waiting_bits) and not job.failing

    async def _write_steal(self, changes: list[tuple[str, records.JobRecord]], thief: int) -> None:
        if not self._acting():
            return  # the leadership went while an earlier write of the same round was on its way
        writes = [write for ref, record in changes if (write := self._reserve(ref, record)) is not None]
        if not writes:
            return
        conditions = [self._election.condition(self.number), *(write.condition for write in writes)]
        puts = [write.put for write in writes]
        try:
            at = await self._store.transact(conditions, puts, Urgency.PROGRESS)
        except (CompareFailedError, StoreUnavailableError, LeaseExpiredError) as error:
            log.debug("event=work_transfer_failed shard=%d error=%s", self.number, error)
            if isinstance(error, CompareFailedError):
                await self._refresh([write.put.key for write in writes])
        except OutcomeUnknownError:
            # It may yet be applied: the tasks stay out of reach until another write has reconciled the key.
            for write in writes:
                self._group.spawn(self._reconcile(write.job, write.given), "settle-steal")
            return
        else:
            log.info("event=work_stolen shard=%d thief=%d jobs=%d", self.number, thief, len(puts))
            for change in puts:
                self._replica.learn(change.key, bytes(change.value), at)
                self._publish(change.key, bytes(change.value), at)
        for write in writes:
            self._given(write.job, write.given)

    def _reserve(self, ref: str, record: records.JobRecord) -> _AssignmentWrite | None:
        """Put a job's tasks out of reach for the write that gives them away; None: they can't be given now."""
        job = self.shard.jobs.get(ref)
        if job is None:
            return None
        if not self._pager.fits(record):
            # An older version may have left it larger than may be written now: it is traded once it is smaller.
            self._group.spawn(self._pager.page_out(ref), "page-out")
            return None
        given = job.owned & ~record.owned(self.number)
        if given & (job.placed_bits | job.in_transfer):
            # Between the choice and this write a task of it was placed: once, a gang was passed on while the
            # write for the gang before it took its time, and ran in both shards.
            return None
        # Nothing of it starts here while the write is on its way. What we own may be read from the record again
        # meanwhile, by the settling of an earlier write for instance, so it is not enough to own it no more.
        job.in_transfer |= given
        key = JOBS + ref
        return _AssignmentWrite(
            job, given, compare(key, self._replica.revision_of(key)), put(key, records.write(record))
        )

    def _given(self, job: Job, given: int) -> None:
        """The outcome is known, and so is what we own."""
        job.in_transfer &= ~given
        self._changed(job.ref)

    async def _refresh(self, keys: list[str]) -> None:
        try:
            await self._job_reader.refresh(keys)
        except StoreUnavailableError:
            log.debug("event=job_refresh_failed")

    async def _reconcile(self, job: Job, given: int) -> None:
        """Rewrite a job's record as it is, so that a lost transaction can't be applied any more."""
        key = JOBS + job.ref
        while True:
            try:
                item = await self._store.get(key, Urgency.COMPLETE)
                if item is None:
                    return  # it has its final state: the watch drops it
                at = await self._store.transact([compare(key, item.revision)], [put(key, item.value)], Urgency.COMPLETE)
                self._replica.learn(key, bytes(item.value), at)
                self._publish(key, bytes(item.value), at)
                self._given(job, given)
                return
            except (StoreUnavailableError, OutcomeUnknownError, CompareFailedError, LeaseExpiredError):
                await self._loop.sleep(timedelta(milliseconds=500))
