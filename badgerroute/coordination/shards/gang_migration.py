"""Gang migration: a gang that doesn't fit in its shard moves to one where it fits, or machines are requested for it."""

import logging
from collections import Counter
from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import NamedTuple

import msgspec

from badgerroute.coordination.jobs.job_store import JobStore
from badgerroute.coordination.shards.job_transfers import JobTransfers, Reassignment
from badgerroute.protocol.mesh import MachineRequest, ShardSummary
from badgerroute.protocol.users import Submission
from badgerroute.scheduling.capacities import holds_whole_job, slot_shortage, slots_by_zone
from badgerroute.scheduling.model import Job, Machine
from badgerroute.scheduling.placement_constraints import allows
from badgerroute.scheduling.planner import Planner
from badgerroute.scheduling.preemption import GANG_RESERVATION
from badgerroute.scheduling.resources import Resources
from badgerroute.scheduling.shard import Shard
from badgerroute.settings import Team
from badgerroute.storage.task_ranges import TaskRange
from badgerroute.transport.loop import Loop

log = logging.getLogger(__name__)
# A gang is not migrated again until this time has passed since its last migration or request for machines.
MIGRATION_PAUSE = timedelta(seconds=8)


class _GangMachineRequest(NamedTuple):
    """The last request for machines, and its time. `spec` is the gang's, with the zone for which it was made."""

    spec: Submission
    requested_at: timedelta


class GangMigration:
    """Finds capacity for the gangs of one shard that don't fit there.

    `request_machines` asks the other shards for machines.
    """

    def __init__(
        self,
        *,
        shard: Shard,
        planner: Planner,
        loop: Loop,
        job_store: JobStore,
        job_transfers: JobTransfers,
        request_machines: Callable[[MachineRequest], None],
        teams: Iterable[Team],
    ) -> None:
        self._shard, self._planner, self._loop, self._job_store = shard, planner, loop, job_store
        self._job_transfers, self._request_machines = job_transfers, request_machines
        self._limits = {team.name: team.limits for team in teams}
        self._last_migrated: dict[str, timedelta] = {}  # gang -> last migration or request for machines
        self._last_request: _GangMachineRequest | None = None

    def machine_joined(self, machine: Machine, now: timedelta) -> None:
        """Reserve a machine that joins the shard for the gang that machines were last requested for, if it needs it.

        The reservation ends after a while even if the gang still waits then: the other machines that the gang lacks may
        never come, for example because a shard that was asked for them had no leader.
        """
        request = self._last_request
        if request is None or now - request.requested_at >= MIGRATION_PAUSE:
            return
        job = self._shard.jobs.get(request.spec.ref)
        if job is None or not job.waiting_bits or not machine.free.holds(job.task_resources):
            return
        if allows(request.spec, machine.machine_type.name, machine.zone, machine.spot):
            machine.reserve(job.ref, now + GANG_RESERVATION)

    async def migrate_unplaceable(self, summaries: list[ShardSummary]) -> None:
        """Move each gang that doesn't fit here to a shard where it fits now or would fit after preemption.

        If there is no such shard, request machines for the gang from the other shards.
        """
        now = self._loop.now()
        number = self._shard.number
        for job in self._planner.unplaceable_gangs(now):
            if now - self._last_migrated.get(job.ref, -MIGRATION_PAUSE) < MIGRATION_PAUSE:
                continue
            if not self._quota_within_reach(job, summaries):
                continue
            other_shards = [summary for summary in summaries if summary.shard != number and summary.reconciled]
            candidates = self._candidate_shards(job, other_shards)
            record = self._job_store.active.get(job.ref)
            if record is None:
                continue
            if not candidates:
                self._request_machines_for(job, now, other_shards)
                continue
            target = self._best_shard(job, candidates)
            self._record_migration(job, now)
            moved_record = record.with_ranges([TaskRange(target, 0, job.spec.tasks)])
            log.info("event=gang_moved job=%s from=%d to=%d", job.ref, number, target)
            await self._job_transfers.write([Reassignment(job.ref, moved_record)], target)

    def _quota_within_reach(self, job: Job, summaries: list[ShardSummary]) -> bool:
        """Whether this shard has the quota for a gang, or the team uses so little of its limit that it can be had.

        If a gang had to hold its quota before it may move or get machines, two gangs that each lack machines could take
        the quota from each other for ever. Without any such condition, a gang whose team is at its limit would be moved
        from shard to shard.
        """
        tasks = job.spec.tasks
        if self._shard.tasks_within_quota(job, tasks) >= tasks:
            return True
        team = job.spec.team
        cpus, accelerators = self._limits.get(team, (0.0, 0.0))  # a team may have left the settings since
        used = self._shard.usage[team]
        unused = Resources(cpus - used.cpus, accelerators - used.accelerators)
        for summary in summaries:
            if summary.shard != self._shard.number:
                unused.subtract(Resources(*summary.used.get(team, (0.0, 0.0))))
        return unused.count_fitting(Resources(job.task_resources.cpus, job.task_resources.accelerators)) >= tasks

    @staticmethod
    def _candidate_shards(job: Job, other_shards: list[ShardSummary]) -> list[ShardSummary]:
        """Return the shards where the whole gang fits or, if there are none, those where it would after preemption."""
        fitting = [summary for summary in other_shards if holds_whole_job(job, summary.all_capacities)]
        return fitting or [
            summary
            for summary in other_shards
            if holds_whole_job(job, summary.preemptible_capacities.get(job.level, []))
        ]

    @staticmethod
    def _best_shard(job: Job, candidates: list[ShardSummary]) -> int:
        """Return the shard where the largest number of the gang's tasks would find their image cached.

        If this number is the same for several shards, return the one of them where the fewest gangs wait.
        """

        def sort_key(summary: ShardSummary) -> tuple[int, int, int]:
            gangs_waiting = sum(demand.gang for demand in summary.demands)
            return -tasks_with_image(job, summary), gangs_waiting, summary.shard

        return min(candidates, key=sort_key).shard

    def _record_migration(self, job: Job, now: timedelta) -> None:
        self._last_migrated = {
            ref: migrated_at for ref, migrated_at in self._last_migrated.items() if now - migrated_at < MIGRATION_PAUSE
        }
        self._last_migrated[job.ref] = now

    def _request_machines_for(self, job: Job, now: timedelta, other_shards: list[ShardSummary]) -> None:
        """Request from other shards the empty machines that a gang lacks here. Called if the gang fits in no shard."""
        slots_here = self._slots_here(job)
        slots = slots_here + sum((slots_by_zone(job, summary.all_capacities) for summary in other_shards), Counter())
        if not slots:
            return
        shortage = slot_shortage(job.spec, slots_here, slots)
        if shortage.slots > 0:
            spec = msgspec.structs.replace(job.spec, zone=shortage.zone) if shortage.zone else job.spec
            self._last_request = _GangMachineRequest(spec, now)
            self._last_migrated[job.ref] = now
            self._request_machines(MachineRequest(self._shard.number, spec, shortage.slots))

    def _slots_here(self, job: Job) -> Counter[str]:
        """Return how many of the gang's tasks would fit in each zone of this shard after preemption."""
        slots: Counter[str] = Counter()
        for machine, resources in self._planner.reclaimable_by_machine(job.level):
            if allows(job.spec, machine.machine_type.name, machine.zone, machine.spot):
                slots[machine.zone] += resources.count_fitting(job.task_resources)
        for machine in self._shard.machines.values():
            slots[machine.zone] += machine.reserved_slots(job)
        return slots


def tasks_with_image(job: Job, summary: ShardSummary) -> int:
    """Return how many of a gang's tasks could run on machines of a shard that cache their image."""
    free_cpus = summary.cached_image_cpus.get(job.spec.image, ())
    return min(job.spec.tasks, sum(cpus >= job.task_resources.cpus for cpus in free_cpus))
