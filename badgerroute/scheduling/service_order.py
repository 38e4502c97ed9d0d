"""The order in which a shard's jobs are served. It decides which starts first and which may preempt which.

Within a group of equals it is the paper's fair scheduler (section IV.E): the job that holds least of the shard goes
first. The groups are an addition: priority level, guarantee, and how late a job is (docs/design.md).
"""

from datetime import timedelta
from math import inf

from badgerroute.scheduling import delay_scheduling
from badgerroute.scheduling.model import Job
from badgerroute.scheduling.objectives import Objectives
from badgerroute.scheduling.resources import Resources
from badgerroute.scheduling.shard import Shard

ORDER_MAX_AGE = timedelta(milliseconds=250)  # how long an order that was worked out is used
CPUS_PER_ACCELERATOR = 8  # processors that one accelerator counts as, for what a job holds of the shard


class ServiceOrder:
    """The jobs that wait, in the order of service. Kept for a moment, since every heartbeat asks for it."""

    def __init__(self, shard: Shard, objectives: Objectives) -> None:
        self._shard, self._objectives = shard, objectives
        self.jobs: list[Job] = []
        self.least_need = Resources()  # no array task that waits takes less than this
        self.images = delay_scheduling.ImageLocations([])
        self._lateness_tiers: dict[str, float] = {}
        self._gangs_lacking_quota: dict[str, list[Job]] = {}  # team -> gangs that wait for want of quota
        self._ordered_at = -timedelta(days=1)

    def refresh(self, now: timedelta) -> None:
        """Work the order out anew, unless it is recent."""
        if now - self._ordered_at < ORDER_MAX_AGE:
            return
        self._ordered_at = now
        self.images = delay_scheduling.ImageLocations(self._shard.machines.values())
        waiting = [job for job in self._shard.jobs.values() if job.waiting_bits and job.blocked_until <= now]
        for job in waiting:
            self._shard.clear_failures(job, now)
        self._lateness_tiers = {job.ref: self._lateness_tier(job, now) for job in waiting}
        waiting.sort(key=lambda job: (self.group_key(job), self._shard.guidance.precedence(job), job.accepted))
        self.jobs = waiting
        self._gangs_lacking_quota = {}
        for job in waiting:
            if job.gang and not job.placed and not job.failing and self._shard.short_of_quota(job):
                self._gangs_lacking_quota.setdefault(job.spec.team, []).append(job)
        needs = [job.need for job in waiting if not job.gang]
        self.least_need = Resources(
            min((need.cpus for need in needs), default=inf), 0.0, min((need.memory_gb for need in needs), default=inf)
        )

    def _lateness_tier(self, job: Job, now: timedelta) -> float:
        if job.lateness_tier < 0:
            return job.lateness_tier
        return max(job.lateness_tier, self._objectives.missed_times(job, now, self.run_time(job)))

    def run_time(self, job: Job) -> timedelta:
        """How long a task of the job is expected to run."""
        return delay_scheduling.run_time(job, self._shard.estimates.correction(job.spec.job_class))

    def group_key(self, job: Job) -> tuple[int, bool, float]:
        """Jobs of one group take turns by what they hold: alike in class, and in how late they will be.

        What can still be done in time comes before what can't: a late job gains nothing by being less late.
        """
        return (*self.priority_class(job), self._lateness_tiers.get(job.ref, 0))

    def rank(self, job: Job) -> tuple[float, float, float]:
        """Where a job stands in the order of service, which is the same in all shards: less comes first."""
        return float(-job.level), float(not job.guaranteed), float(self._lateness_tiers.get(job.ref, job.lateness_tier))

    def yields_to_gang(self, job: Job) -> bool:
        """Whether a gang that comes before a job lacks quota of their team's limit here.

        What becomes free of the quota, or comes from other shards, is then kept for the gang, which needs much at once.
        The team's smaller tasks would take it piece by piece.
        """
        gangs = self._gangs_lacking_quota.get(job.spec.team)
        return gangs is not None and any(self.priority_class(gang) < self.priority_class(job) for gang in gangs)

    @staticmethod
    def priority_class(job: Job) -> tuple[int, bool]:
        """Level first, then whether the job lies within its team's guarantee."""
        return (-job.level, not job.guaranteed)

    def share_key(self, job: Job) -> tuple[float, float]:
        """Among equals, less comes first: by the guidance on their teams, then by what they hold of the shard."""
        held = len(job.placed) * (job.need.cpus + CPUS_PER_ACCELERATOR * job.need.accelerators)
        return self._shard.guidance.precedence(job), held
