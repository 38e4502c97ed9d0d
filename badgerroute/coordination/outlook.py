"""What can be expected of each unfinished job: does it lie within its team's guarantee, can it be in time?

Every controller works this out for all jobs, from what all of them know, so that the parts of one job agree on it.
"""

from collections.abc import Callable
from datetime import timedelta

from badgerroute.coordination.jobs import JobBook
from badgerroute.coordination.owner import Owner
from badgerroute.protocol.cloud import MachineType
from badgerroute.protocol.mesh import PartSummary
from badgerroute.scheduling import ladder
from badgerroute.scheduling.feasible import Load, tiers
from badgerroute.scheduling.model import Room, capacity_of, need_of
from badgerroute.scheduling.objectives import Objectives
from badgerroute.settings import Settings, Team
from badgerroute.storage import records
from badgerroute.storage.records import JobRecord
from badgerroute.storage.replica import MACHINES, Replica
from badgerroute.transport.loop import Loop

HUNGRY = timedelta(seconds=160)  # a job that has not begun by then comes first, however late it is
FIRST = -1  # tier of such a job
LEAST_SHARE = 0.25  # of the processors that small tasks get at least, beside the gangs


class Outlook:
    def __init__(
        self,
        settings: Settings,
        loop: Loop,
        book: JobBook,
        replica: Replica,
        catalog: dict[str, MachineType],
        owners: dict[int, Owner],
        summaries: Callable[[], list[PartSummary]],
    ) -> None:
        self._loop, self._book, self._replica, self._catalog = loop, book, replica, catalog
        self._owners, self._summaries = owners, summaries
        self._teams: dict[str, Team] = {team.name: team for team in settings.params.teams}
        self._objectives = Objectives(settings.params.objectives)
        self._types: dict[str, str] = {}  # member -> machine type, which never changes

    def update(self) -> None:
        """Tell the owners' jobs what can be expected of them."""
        if not self._owners:
            return
        within: dict[str, bool] = {}
        left: dict[str, int] = {}
        used: dict[str, Room] = {}
        for ref, record in sorted(self._book.active.items(), key=lambda one: one[1].accepted):
            team = self._teams.get(record.job.team)
            if team is None:
                continue
            left[ref] = record.job.tasks - record.done().bit_count()
            room = used.setdefault(team.name, Room())
            room.add(Room(left[ref] * record.job.cpus, left[ref] * record.job.accelerators))
            within[ref] = Room(team.cpus, team.gpus).holds(room)
        ranks = self._tiers(left, within)
        for owner in self._owners.values():
            for job in owner.part.jobs.values():
                job.guaranteed = within.get(job.ref, False)
                job.tier = ranks.get(job.ref, 0)

    def _tiers(self, left: dict[str, int], within: dict[str, bool]) -> dict[str, float]:
        processors = self._processors()
        running: dict[str, int] = {}
        for summary in self._summaries():
            for ref, count in summary.running.items():
                running[ref] = running.get(ref, 0) + count
        today = self._loop.clock.today().timestamp()
        mistaken = {job.ref for owner in self._owners.values() for job in owner.part.jobs.values() if job.mistaken}
        groups: dict[tuple[int, bool], list[Load]] = {}
        hungry: set[str] = set()
        for ref, count in left.items():
            record = self._book.active[ref]
            spec = record.job
            if spec.gang or spec.cpus <= 0 or ref in mistaken:
                continue
            age = timedelta(seconds=max(0.0, today - record.accepted))
            limit = min(processors, self._teams[spec.team].limits[0])
            at_once = max(1, int(limit / spec.cpus))
            if age > HUNGRY and spec.tasks - count + running.get(ref, 0) < min(spec.tasks, at_once):
                hungry.add(ref)
            run = self._run_time(record)
            waves = -(-count // at_once)
            due = sorted(one - age for one in self._objectives.due(spec))
            group = (-spec.priority.level, not within[ref])
            groups.setdefault(group, []).append(Load(ref, count * spec.cpus * run, waves * run, due))
        found = tiers([groups[one] for one in sorted(groups)], processors)
        found.update(dict.fromkeys(hungry, FIRST))
        return found

    def time_left(self, record: JobRecord) -> timedelta:
        """Until the next time by which the job should be complete."""
        age = timedelta(seconds=self._loop.clock.today().timestamp() - record.accepted)
        return min((due - age for due in self._objectives.due(record.job) if due > age), default=timedelta.max)

    def _run_time(self, record: JobRecord) -> timedelta:
        correction = 1.0
        for owner in self._owners.values():
            correction = owner.part.estimates.correction(record.job.job_class)
            job = owner.part.jobs.get(record.job.ref)
            if job is not None:
                return ladder.run_time(job, correction)
        return timedelta(seconds=record.job.estimate_s * correction)

    def _processors(self) -> float:
        """The processors that are left for small tasks beside the gangs there are."""
        total: dict[str, float] = {}
        for key in self._replica.under(MACHINES):
            kind = self._types.get(key)
            if kind is None:
                kind = self._types[key] = records.read(self._replica.value(key), records.MachineRecord).type
            if kind in self._catalog:
                total[kind] = total.get(kind, 0.0) + self._catalog[kind].cpus
        gangs = [one.job for one in self._book.active.values() if one.job.gang]
        fitting = {
            kind for kind in total for job in gangs if capacity_of(self._catalog[kind]).holds(need_of(job))
        }  # machine types that gangs can use
        taken = min(sum(job.tasks * job.cpus for job in gangs), sum(total[kind] for kind in fitting))
        whole = sum(total.values())
        return max(whole - taken, LEAST_SHARE * whole)
