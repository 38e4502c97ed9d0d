"""The order of service of a shard's jobs: which job starts first, and which may preempt which.

Jobs of equal rank form a group. Within a group, the order is that of the paper's fair scheduler (section IV.E): the job
whose tasks use the least of the shard goes first. The groups are an addition to the paper: they depend on the priority
level, on whether the job is within its team's guarantee, and on its lateness (docs/design.md).
"""

from datetime import timedelta
from math import inf

from badgerroute.protocol.message_sizes import TASK_LIST_BYTES
from badgerroute.scheduling import delay_scheduling
from badgerroute.scheduling.model import Job
from badgerroute.scheduling.objectives import Objectives
from badgerroute.scheduling.resources import Resources
from badgerroute.scheduling.shard import Shard

ORDER_MAX_AGE = timedelta(milliseconds=250)  # a computed order is used for this long
ROOM_MAX_AGE = timedelta(seconds=1)  # whether a gang would fit is computed again after this long
CPUS_PER_ACCELERATOR = 8  # in a job's share, an accelerator counts as this many processors


class ServiceOrder:
    """The waiting jobs in the order of service. The order is cached briefly, since every heartbeat needs it."""

    def __init__(self, shard: Shard, objectives: Objectives) -> None:
        self._shard, self._objectives = shard, objectives
        self.jobs: list[Job] = []
        self.least_need = Resources()  # no waiting array task needs less of any resource than this
        self._machine_cpus = 0.0  # the processors of the largest machine
        self.images = delay_scheduling.ImageLocations([])
        self._lateness_tiers: dict[str, float] = {}
        self._gangs_lacking_quota: dict[str, list[Job]] = {}  # team -> gangs that wait for quota
        self._gangs_with_room: dict[str, bool] = {}  # gang -> whether its tasks would fit; see `has_room`
        self._rooms_cleared_at = -timedelta(days=1)
        self._ordered_at = -timedelta(days=1)

    def refresh(self, now: timedelta) -> None:
        """Compute the order again unless it was computed less than ORDER_MAX_AGE ago."""
        if now - self._ordered_at < ORDER_MAX_AGE:
            return
        self._ordered_at = now
        if now - self._rooms_cleared_at >= ROOM_MAX_AGE:
            self._rooms_cleared_at = now
            self._gangs_with_room.clear()
        self.images = delay_scheduling.ImageLocations(self._shard.machines.values())
        waiting = [job for job in self._shard.jobs.values() if job.waiting_bits and job.blocked_until <= now]
        for job in waiting:
            self._shard.clear_failures(job, now)
        self._lateness_tiers = {job.ref: self._lateness_tier(job, now) for job in waiting}
        waiting.sort(key=lambda job: (self.group_key(job), self._shard.guidance.precedence(job), job.accepted))
        self.jobs = waiting
        self._gangs_lacking_quota = {}
        for job in waiting:
            if job.gang and not job.placements and not job.failing and self._shard.waits_for_quota(job):
                self._gangs_lacking_quota.setdefault(job.spec.team, []).append(job)
        needs = [job.task_resources for job in waiting if not job.gang]
        self.least_need = Resources(
            min((need.cpus for need in needs), default=inf),
            0.0,
            min((need.memory_gb for need in needs), default=inf),
            min((need.list_bytes for need in needs), default=0),
        )
        self._machine_cpus = max((machine.machine_type.cpus for machine in self._shard.machines.values()), default=0.0)

    def _lateness_tier(self, job: Job, now: timedelta) -> float:
        if job.lateness_tier < 0:
            return job.lateness_tier
        return max(job.lateness_tier, self._objectives.count_missed_due_times(job, now, self.run_time(job)))

    def run_time(self, job: Job) -> timedelta:
        """The expected run time of a task of the job."""
        return delay_scheduling.run_time(job, self._shard.estimates.correction(job.spec.job_class))

    def group_key(self, job: Job) -> tuple[int, bool, float]:
        """Priority class and lateness tier; jobs with equal values form a group, which is ordered by `share_key`.

        Jobs that can still complete in time precede those that can't, since completing a little less late has no value.
        """
        return (*self.priority_class(job), self._lateness_tiers.get(job.ref, 0))

    def rank(self, job: Job) -> tuple[float, float, float]:
        """Sort key of a job in the order of service, comparable between shards; lower values come first."""
        return float(-job.level), float(not job.guaranteed), float(self._lateness_tiers.get(job.ref, job.lateness_tier))

    def yields_to_gang(self, job: Job) -> bool:
        """Whether a gang of the same team with a higher priority class waits for quota in this shard.

        Quota that becomes free or comes from other shards is then kept for the gang, which needs quota for all its
        tasks at once. The team's array tasks would otherwise use it up one by one. A gang that could not start with the
        quota either, since its machines are too few here, keeps none.
        """
        return any(
            self.priority_class(gang) < self.priority_class(job) and self.has_room(gang)
            for gang in self._gangs_lacking_quota.get(job.spec.team, ())
        )

    def has_room(self, gang: Job) -> bool:
        """Whether all tasks of a gang would fit here, perhaps after preemption. Cached: it visits all machines."""
        if gang.ref not in self._gangs_with_room:
            self._gangs_with_room[gang.ref] = self._shard.has_room_for_gang(gang)
        return self._gangs_with_room[gang.ref]

    @staticmethod
    def priority_class(job: Job) -> tuple[int, bool]:
        """Sort key: jobs of higher levels first and, within a level, jobs within their team's guarantee first."""
        return (-job.level, not job.guaranteed)

    def share_key(self, job: Job) -> tuple[float, float]:
        """Sort key within a group: the precedence given by guidance, then the share of the shard that the job uses."""
        return self._shard.guidance.precedence(job), len(job.placements) * self._dominant_cpus(job.task_resources)

    def _dominant_cpus(self, need: Resources) -> float:
        """A task's dominant share, in processors: of processors and accelerators, or of a heartbeat's task list.

        Thousands of tiny tasks fill the task lists of machines while they use few processors.
        """
        list_share = need.list_bytes / TASK_LIST_BYTES
        return max(need.cpus + CPUS_PER_ACCELERATOR * need.accelerators, list_share * self._machine_cpus)
