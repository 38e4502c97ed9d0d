"""Gang migration: a gang without room in its shard goes to one that has some, or has machines gathered for it."""

import logging
from collections import Counter
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

import msgspec

from badgerroute.coordination.jobs.job_store import JobStore
from badgerroute.coordination.shards.job_transfers import JobTransfers, Reassignment
from badgerroute.protocol.mesh import MachineRequest, ShardSummary
from badgerroute.scheduling.capacities import ANY_ZONE, holds_whole_job, slots_by_zone
from badgerroute.scheduling.model import Job
from badgerroute.scheduling.placement_constraints import allows
from badgerroute.scheduling.planner import Planner
from badgerroute.scheduling.shard import Shard
from badgerroute.storage.task_ranges import TaskRange
from badgerroute.transport.loop import Loop

log = logging.getLogger(__name__)
MIGRATION_PAUSE = timedelta(seconds=8)  # a gang that was migrated, or that machines were asked for, is left alone


class _MachineGathering(NamedTuple):
    """The gang that machines were last asked for, and when."""

    gang: str
    requested_at: timedelta


class GangMigration:
    """Finds room for the gangs that have none in one shard; `request_machines` asks the other shards for machines."""

    def __init__(
        self,
        *,
        shard: Shard,
        planner: Planner,
        loop: Loop,
        job_store: JobStore,
        job_transfers: JobTransfers,
        request_machines: Callable[[MachineRequest], None],
    ) -> None:
        self._shard, self._planner, self._loop, self._job_store = shard, planner, loop, job_store
        self._job_transfers, self._request_machines = job_transfers, request_machines
        self._last_migrated: dict[str, timedelta] = {}  # by gang
        self._gathering: _MachineGathering | None = None

    def gang_to_hold_for(self, now: timedelta) -> str | None:
        """The gang for which machines were asked lately: a machine that joins now is held for it. None: no gang."""
        if self._gathering is not None and now - self._gathering.requested_at < MIGRATION_PAUSE:
            return self._gathering.gang
        return None

    async def migrate_unplaceable(self, summaries: list[ShardSummary]) -> None:
        """Give gangs for which there is no room here to a shard that has some, or could make some."""
        now = self._loop.now()
        number = self._shard.number
        for job in self._planner.unplaceable_gangs(now):
            if now - self._last_migrated.get(job.ref, -MIGRATION_PAUSE) < MIGRATION_PAUSE:
                continue
            others = [summary for summary in summaries if summary.shard != number and summary.reconciled]
            candidates = self._candidates(job, others)
            record = self._job_store.active.get(job.ref)
            if record is None:
                continue
            if not candidates:
                self._gather_machines(job, now, others)
                continue
            target = self._best(job, candidates)
            self._note_migration(job, now)
            moved = record.with_ranges([TaskRange(target, 0, job.spec.tasks)])
            log.info("event=gang_moved job=%s from=%d to=%d", job.ref, number, target)
            await self._job_transfers.write([Reassignment(job.ref, moved)], target)

    @staticmethod
    def _candidates(job: Job, others: list[ShardSummary]) -> list[ShardSummary]:
        """Shards with room for the whole gang; if there is none, those that could make room by preemption."""
        free = [summary for summary in others if holds_whole_job(job, summary.capacities)]
        return free or [
            summary for summary in others if holds_whole_job(job, summary.preemptible_capacities.get(job.level, []))
        ]

    @staticmethod
    def _best(job: Job, candidates: list[ShardSummary]) -> int:
        """The shard with most of the gang's image; among equals the one where fewest gangs wait."""

        def order(summary: ShardSummary) -> tuple[int, int, int]:
            gangs_waiting = sum(demand.gang for demand in summary.demands)
            return -tasks_with_image(job, summary), gangs_waiting, summary.shard

        return min(candidates, key=order).shard

    def _note_migration(self, job: Job, now: timedelta) -> None:
        self._last_migrated = {ref: at for ref, at in self._last_migrated.items() if now - at < MIGRATION_PAUSE}
        self._last_migrated[job.ref] = now

    def _gather_machines(self, job: Job, now: timedelta, others: list[ShardSummary]) -> None:
        """No shard could hold the gang: ask for empty machines until it fits here."""
        slots_here = self._slots_here(job)
        slots = slots_here + sum((slots_by_zone(job, summary.capacities) for summary in others), Counter())
        if not slots:
            return
        # A gang that must lie in one zone is not helped by room in two, so all of it is gathered in the best one.
        zone = max(sorted(slots), key=lambda each: (min(job.spec.tasks, slots[each]), slots_here[each]))
        lacking = job.spec.tasks - slots_here[zone]
        if lacking > 0 and self._shard.fits_quota(job, job.spec.tasks) >= job.spec.tasks:
            self._gathering = _MachineGathering(job.ref, now)
            self._last_migrated[job.ref] = now
            spec = msgspec.structs.replace(job.spec, zone=zone) if zone else job.spec
            self._request_machines(MachineRequest(self._shard.number, spec, lacking))

    def _slots_here(self, job: Job) -> Counter[str]:
        """Room for the gang's tasks in this shard, by zone if the gang must lie in one."""
        slots: Counter[str] = Counter()
        for machine, room in self._planner.reclaimable_by_machine(job.level):
            if allows(job.spec, machine.kind.name, machine.zone, machine.spot):
                slots[machine.zone if job.spec.together else ANY_ZONE] += room.times(job.need)
        for machine in self._shard.machines.values():
            if machine.reserved_for == job.ref:
                slots[machine.zone if job.spec.together else ANY_ZONE] += 1
        return slots


def tasks_with_image(job: Job, summary: ShardSummary) -> int:
    """How many of a gang's tasks could find their image in a shard."""
    free_cpus = summary.cached_image_cpus.get(job.spec.image, ())
    return min(job.spec.tasks, sum(cpus >= job.need.cpus for cpus in free_cpus))
