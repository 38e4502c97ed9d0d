"""Assigns each job that is not a gang to a tier, by how many of its due times it will miss under current load."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta

from badgerroute.coordination.jobs.job_store import JobStore
from badgerroute.coordination.shards.job_estimates import JobEstimates
from badgerroute.coordination.shards.shard_leader import ShardLeader
from badgerroute.coordination.shards.small_task_capacity import SmallTaskCapacity
from badgerroute.protocol.mesh import ShardSummary
from badgerroute.scheduling.deadline_feasibility import RemainingWork, lateness_tiers
from badgerroute.settings import Team
from badgerroute.storage.records import JobRecord

STARVING_AFTER = timedelta(seconds=160)  # a job above this age with unstarted tasks comes first, however late it is
STARVING_TIER = -1  # the tier of jobs above the age STARVING_AFTER that have unstarted tasks


@dataclass(frozen=True, slots=True)
class OpenWork:
    """Unfinished jobs of all shards, in the order of their arrival."""

    tasks_left: dict[str, int] = field(default_factory=dict)  # by job reference
    within_guarantee: dict[str, bool] = field(default_factory=dict)  # by job reference: true if in the team's guarantee


class DeadlineTiers:
    """Computes the tier of each job: how many of its due times it will miss (see `deadline_feasibility`)."""

    def __init__(
        self,
        *,
        job_store: JobStore,
        teams: Mapping[str, Team],
        estimates: JobEstimates,
        capacity: SmallTaskCapacity,
        leaders: Mapping[int, ShardLeader],
        summaries: Callable[[], list[ShardSummary]],
    ) -> None:
        self._job_store, self._teams, self._estimates = job_store, teams, estimates
        self._capacity, self._leaders, self._summaries = capacity, leaders, summaries

    def compute(self, work: OpenWork, inherited_due: Mapping[str, float]) -> dict[str, float]:
        """Return tiers by job reference. Gangs, failing jobs and jobs that need no processors get none.

        `inherited_due`: by job reference, the Unix time by which the job must be complete for its downstream jobs to
        be on time.
        """
        processors = self._capacity.processors()
        running = self._running_tasks()
        current_time = self._estimates.seconds_since_epoch()
        failing = {job.ref for leader in self._leaders.values() for job in leader.shard.jobs.values() if job.failing}
        # Jobs grouped by negated priority level and by whether they are outside their team's guarantee.
        groups: dict[tuple[int, bool], list[RemainingWork]] = {}
        starving: set[str] = set()
        for ref, tasks_left in work.tasks_left.items():
            record = self._job_store.active[ref]
            if record.job.gang or record.job.cpus <= 0 or ref in failing:
                continue
            arrival = self._job_store.effective_arrival(ref, record)
            age = timedelta(seconds=max(0.0, current_time - arrival))
            max_parallel = self._max_parallel_tasks(record, processors)
            started = record.job.tasks - tasks_left + running.get(ref, 0)
            if age > STARVING_AFTER and started < min(record.job.tasks, max_parallel):
                starving.add(ref)
            due = self._estimates.times_until_due(record, age)
            if ref in inherited_due:
                due.append(timedelta(seconds=inherited_due[ref] - current_time))
            group = (-self._job_store.effective_level(ref), not work.within_guarantee[ref])
            groups.setdefault(group, []).append(self._load(record, tasks_left, max_parallel, due))
        tier_of_job = lateness_tiers([groups[group] for group in sorted(groups)], processors)
        tier_of_job.update(dict.fromkeys(starving, STARVING_TIER))
        return tier_of_job

    def _running_tasks(self) -> dict[str, int]:
        """Return how many tasks of each job run, in all shards."""
        running: dict[str, int] = {}
        for summary in self._summaries():
            for ref, count in summary.running.items():
                running[ref] = running.get(ref, 0) + count
        return running

    def _max_parallel_tasks(self, record: JobRecord, processors: float) -> int:
        """Return how many of a job's tasks may run at once, given its team's limit and the fleet's processors."""
        limit = min(processors, self._teams[record.job.team].limits[0])
        return max(1, int(limit / record.job.cpus))

    def _load(self, record: JobRecord, tasks_left: int, max_parallel: int, due: list[timedelta]) -> RemainingWork:
        run_time = self._estimates.run_time(record)
        waves = -(-tasks_left // max_parallel)
        return RemainingWork(record.job.ref, tasks_left * record.job.cpus * run_time, waves * run_time, sorted(due))
