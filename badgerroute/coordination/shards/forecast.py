"""What can be expected of each unfinished job: does it lie within its team's guarantee, can it be in time?

Every controller works this out for all jobs, from what all of them know, so that the shards of one job agree on it.
"""

from collections.abc import Callable
from datetime import timedelta
from math import inf

from badgerroute.coordination.jobs.job_store import JobStore
from badgerroute.coordination.shards.shard_leader import ShardLeader
from badgerroute.protocol.cloud import MachineType
from badgerroute.protocol.mesh import ShardSummary
from badgerroute.scheduling import delay_scheduling
from badgerroute.scheduling.deadline_feasibility import Load, tiers
from badgerroute.scheduling.inheritance import InheritancePass, Inherited
from badgerroute.scheduling.objectives import Objectives
from badgerroute.scheduling.resources import Resources, capacity_of, need_of
from badgerroute.settings import Settings, Team
from badgerroute.storage import records
from badgerroute.storage.records import JobRecord
from badgerroute.storage.replica import MACHINES, Replica
from badgerroute.transport.loop import Loop

STARVING_AFTER = timedelta(seconds=160)  # a job that has not begun by then comes first, however late it is
BETWEEN_HEARTBEATS = 2  # that pass between the end of a stage and the start of the next
BETWEEN = timedelta(seconds=5)  # and what else does: writing it down, an image to fetch
NOTHING = Inherited(0, inf)  # what is taken over from a job that is over
FIRST = -1  # tier of such a job
LEAST_SHARE = 0.25  # of the processors that small tasks get at least, beside the gangs


class JobForecast:
    """Works out for all unfinished jobs what can be expected of them."""

    def __init__(
        self,
        settings: Settings,
        loop: Loop,
        job_store: JobStore,
        replica: Replica,
        catalog: dict[str, MachineType],
        leaders: dict[int, ShardLeader],
        summaries: Callable[[], list[ShardSummary]],
    ) -> None:
        self._loop, self._job_store, self._replica, self._catalog = loop, job_store, replica, catalog
        self._leaders, self._summaries = leaders, summaries
        self._teams: dict[str, Team] = {team.name: team for team in settings.params.teams}
        self._objectives = Objectives(settings.params.objectives)
        self._between = BETWEEN_HEARTBEATS * settings.params.workers.heartbeat_interval + BETWEEN
        self._inheritance: InheritancePass | None = None  # under way
        self._own_values: dict[str, Inherited] = {}
        self._types: dict[str, str] = {}  # member -> machine type, which never changes

    def update(self) -> None:
        """Tell the leaders' jobs what can be expected of them."""
        if not self._leaders:
            return
        within: dict[str, bool] = {}
        left: dict[str, int] = {}
        used: dict[str, Resources] = {}
        for ref, record in sorted(
            self._job_store.schedulable(), key=lambda one: self._job_store.effective_arrival(*one)
        ):
            team = self._teams.get(record.job.team)
            if team is None:
                continue
            left[ref] = record.job.tasks - self._job_store.done(ref, record).bit_count()
            room = used.setdefault(team.name, Resources())
            room.add(Resources(left[ref] * record.job.cpus, left[ref] * record.job.accelerators))
            within[ref] = Resources(team.cpus, team.gpus).holds(room)
        needed = {ref: one.due for ref, one in self._job_store.inherited.items() if one.due != inf}
        ranks = self._tiers(left, within, needed)
        now, today = self._loop.now(), self._today()
        for leader in self._leaders.values():
            for job in leader.shard.jobs.values():
                job.guaranteed = within.get(job.ref, False)
                job.lateness_tier = ranks.get(job.ref, 0)
                active = self._job_store.active.get(job.ref)
                if active is None:
                    continue
                leader.shard.set_level(job, self._job_store.level(job.ref))
                due = needed.get(job.ref)
                job.start_by = None if due is None else now + timedelta(seconds=due - today) - self._run_time(active)

    def _today(self) -> float:
        return self._loop.clock.today().timestamp()

    def inherit(self, over: Callable[[], bool]) -> bool:
        """Go on working out what jobs take over from their dependents; whether that is complete, and in force."""
        if self._inheritance is None:
            self._own_values = {ref: own for ref, own in self._own_values.items() if ref in self._job_store.active}
            self._inheritance = InheritancePass(self._job_store.dependencies, self._own, self._stage_duration)
        if not self._inheritance.advance(over):
            return False
        self._job_store.inherited, self._inheritance = self._inheritance.result, None
        return True

    def _own(self, ref: str) -> Inherited:
        """What a job would have without dependents, which never changes."""
        own = self._own_values.get(ref)
        if own is not None:
            return own
        record = self._job_store.active.get(ref)
        if record is None:
            return NOTHING
        deadline = self._objectives.deadline(record.job)
        due = record.accepted + deadline.total_seconds() if deadline else inf
        own = self._own_values[ref] = Inherited(record.job.priority.level, due)
        return own

    def _stage_duration(self, ref: str) -> float:
        """How long a stage is expected to take, with what passes before it starts."""
        record = self._job_store.active.get(ref)
        return (self._run_time(record) + self._between).total_seconds() if record else 0.0

    def _tiers(self, left: dict[str, int], within: dict[str, bool], needed: dict[str, float]) -> dict[str, float]:
        processors = self._processors()
        running: dict[str, int] = {}
        for summary in self._summaries():
            for ref, count in summary.running.items():
                running[ref] = running.get(ref, 0) + count
        today = self._today()
        failing = {job.ref for leader in self._leaders.values() for job in leader.shard.jobs.values() if job.failing}
        groups: dict[tuple[int, bool], list[Load]] = {}
        starving: set[str] = set()
        for ref, count in left.items():
            record = self._job_store.active[ref]
            spec = record.job
            if spec.gang or spec.cpus <= 0 or ref in failing:
                continue
            began = self._job_store.effective_arrival(ref, record)
            age = timedelta(seconds=max(0.0, today - began))
            limit = min(processors, self._teams[spec.team].limits[0])
            at_once = max(1, int(limit / spec.cpus))
            if age > STARVING_AFTER and spec.tasks - count + running.get(ref, 0) < min(spec.tasks, at_once):
                starving.add(ref)
            run = self._run_time(record)
            waves = -(-count // at_once)
            due = [
                due_time - age for due_time in self._objectives.due(spec, timedelta(seconds=began - record.accepted))
            ]
            if ref in needed:
                due.append(timedelta(seconds=needed[ref] - today))
            due.sort()
            group = (-self._job_store.level(ref), not within[ref])
            groups.setdefault(group, []).append(Load(ref, count * spec.cpus * run, waves * run, due))
        found = tiers([groups[one] for one in sorted(groups)], processors)
        found.update(dict.fromkeys(starving, FIRST))
        return found

    def time_left(self, record: JobRecord) -> timedelta:
        """Until the next time by which the job should be complete."""
        began = self._job_store.effective_arrival(record.job.ref, record)
        age = timedelta(seconds=self._today() - began)
        dues = self._objectives.due(record.job, timedelta(seconds=began - record.accepted))
        return min((due - age for due in dues if due > age), default=timedelta.max)

    def _run_time(self, record: JobRecord) -> timedelta:
        correction = 1.0
        for leader in self._leaders.values():
            correction = leader.shard.estimates.correction(record.job.job_class)
            job = leader.shard.jobs.get(record.job.ref)
            if job is not None:
                return delay_scheduling.run_time(job, correction)
        return timedelta(seconds=record.job.estimate_s * correction)

    def _processors(self) -> float:
        """The processors that are left for small tasks beside the gangs there are."""
        total: dict[str, float] = {}
        for key in self._replica.under(MACHINES):
            kind = self._types.get(key)
            if kind is None:
                kind = self._types[key] = records.read(self._replica.stored(key), records.MachineRecord).type
            if kind in self._catalog:
                total[kind] = total.get(kind, 0.0) + self._catalog[kind].cpus
        gangs = [record.job for _, record in self._job_store.schedulable() if record.job.gang]
        fitting = {
            kind for kind in total for job in gangs if capacity_of(self._catalog[kind]).holds(need_of(job))
        }  # machine types that gangs can use
        taken = min(sum(job.tasks * job.cpus for job in gangs), sum(total[kind] for kind in fitting))
        whole = sum(total.values())
        return max(whole - taken, LEAST_SHARE * whole)
