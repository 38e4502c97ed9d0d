"""Forecast of each unfinished job: whether it lies within its team's guarantee and can meet its deadlines.

Every controller computes the forecast for all jobs, from data that all controllers have, so that the leaders of
different shards make consistent decisions about a job whose tasks are spread over these shards.
"""

from collections.abc import Callable, Mapping
from datetime import timedelta
from math import inf

from badgerroute.coordination.jobs.job_store import JobStore
from badgerroute.coordination.shards.deadline_tiers import DeadlineTiers, OpenWork
from badgerroute.coordination.shards.job_estimates import JobEstimates
from badgerroute.coordination.shards.job_inheritance import JobInheritance
from badgerroute.coordination.shards.shard_leader import ShardLeader
from badgerroute.coordination.shards.small_task_capacity import SmallTaskCapacity
from badgerroute.protocol.cloud import MachineType
from badgerroute.protocol.mesh import ShardSummary
from badgerroute.scheduling.objectives import Objectives
from badgerroute.scheduling.resources import Resources
from badgerroute.settings import Settings, Team
from badgerroute.storage.records import JobRecord
from badgerroute.storage.replica import Replica
from badgerroute.transport.loop import Loop


class JobForecast:
    """Computes the forecast of all jobs and updates it in the shards that this controller leads."""

    def __init__(
        self,
        *,
        settings: Settings,
        loop: Loop,
        job_store: JobStore,
        replica: Replica,
        catalog: dict[str, MachineType],
        leaders: Mapping[int, ShardLeader],
        summaries: Callable[[], list[ShardSummary]],
    ) -> None:
        self._loop, self._job_store, self._leaders = loop, job_store, leaders
        self._teams: dict[str, Team] = {team.name: team for team in settings.params.teams}
        objectives = Objectives(settings.params.objectives)
        self._estimates = JobEstimates(loop=loop, job_store=job_store, leaders=leaders, objectives=objectives)
        self._inheritance = JobInheritance(
            job_store=job_store,
            objectives=objectives,
            estimates=self._estimates,
            heartbeat_interval=settings.params.workers.heartbeat_interval,
        )
        self._tiers = DeadlineTiers(
            job_store=job_store,
            teams=self._teams,
            estimates=self._estimates,
            capacity=SmallTaskCapacity(job_store=job_store, replica=replica, catalog=catalog),
            leaders=leaders,
            summaries=summaries,
        )

    def update(self) -> None:
        """Compute the forecast and write it to the jobs of the shards that this controller leads."""
        if not self._leaders:
            return
        work = self._open_work()
        due = {ref: inherited.due for ref, inherited in self._job_store.inherited.items() if inherited.due != inf}
        tiers = self._tiers.compute(work, due)
        for leader in self._leaders.values():
            self._update_shard(leader, work, due, tiers)

    def advance_inheritance(self, is_over: Callable[[], bool]) -> bool:
        """Continue to compute which priorities and due times jobs inherit, until `is_over` returns true.

        Returns whether the computation is complete, in which case its results apply from now on.
        """
        return self._inheritance.advance(is_over)

    def time_until_due(self, record: JobRecord) -> timedelta:
        """Return the time left until the job's next due time, or `timedelta.max` if it has none."""
        return self._estimates.time_until_due(record)

    def _open_work(self) -> OpenWork:
        """Return the unfinished jobs that can be scheduled, in the order of arrival.

        A job is within its team's guarantee if the guarantee covers the demand of this job and of all earlier jobs of
        the team.
        """
        work = OpenWork()
        demand: dict[str, Resources] = {}  # by team
        for ref, record in sorted(
            self._job_store.schedulable(), key=lambda ref_and_record: self._job_store.effective_arrival(*ref_and_record)
        ):
            job = record.job
            team = self._teams.get(job.team)
            if team is None:
                continue
            tasks_left = job.tasks - self._job_store.done_tasks(ref, record).bit_count()
            team_demand = demand.setdefault(team.name, Resources())
            team_demand.add(Resources(tasks_left * job.cpus, tasks_left * job.accelerators))
            work.tasks_left[ref] = tasks_left
            work.within_guarantee[ref] = Resources(team.cpus, team.gpus).holds(team_demand)
        return work

    def _update_shard(
        self, leader: ShardLeader, work: OpenWork, inherited_due: dict[str, float], tiers: dict[str, float]
    ) -> None:
        now, time_of_day = self._loop.now(), self._estimates.seconds_since_epoch()
        for job in leader.shard.jobs.values():
            job.guaranteed = work.within_guarantee.get(job.ref, False)
            job.lateness_tier = tiers.get(job.ref, 0)
            record = self._job_store.active.get(job.ref)
            if record is None:
                continue
            leader.shard.set_level(job, self._job_store.effective_level(job.ref))
            due = inherited_due.get(job.ref)
            if due is None:
                job.start_by = None
            else:
                job.start_by = now + timedelta(seconds=due - time_of_day) - self._estimates.run_time(record)
