"""Placement rules shared by gangs and arrays: delay scheduling, zone constraints, and quota shortfalls."""

from datetime import timedelta

from badgerroute.scheduling import delay_scheduling
from badgerroute.scheduling.model import Job, Machine
from badgerroute.scheduling.objectives import Objectives
from badgerroute.scheduling.placement_constraints import max_tasks_per_zone
from badgerroute.scheduling.resources import Resources
from badgerroute.scheduling.service_order import ServiceOrder
from badgerroute.scheduling.shard import Shard
from badgerroute.settings import Scheduling

# Decisions allow for fetches that take this many times as long as the fetch rate of the machine type implies.
SLOW_FETCH_FACTOR = 1.3


class PlacementRules:
    """Rules for placing single tasks. `quota_shortfalls` maps a team to the quota that its jobs in this shard lack."""

    def __init__(
        self, shard: Shard, order: ServiceOrder, settings: Scheduling, objectives: Objectives, heartbeat: timedelta
    ) -> None:
        self._shard, self._order, self._settings = shard, order, settings
        self._objectives, self._heartbeat = objectives, heartbeat
        self.quota_shortfalls: dict[str, Resources] = {}

    def allowed_locality(self, job: Job, machine: Machine, wait: timedelta) -> delay_scheduling.LocalityLevel:
        """The highest locality level at which a task that has waited for `wait` may start on a machine."""
        fetch = self._shard.guidance.fetch_time(job, machine)
        local_wait = self._shard.guidance.local_wait(job)
        if local_wait is not None and local_wait > fetch:
            return delay_scheduling.LocalityLevel.ANY  # waiting for a cached image would take longer than the fetch
        correction = self._shard.estimates.correction(job.spec.job_class)
        start_within = self._start_within_margin(job, fetch)
        return delay_scheduling.allowed_locality(
            job, wait, fetch, self._order.images, correction, self._settings, start_within
        )

    def _start_within_margin(self, job: Job, fetch: timedelta) -> timedelta:
        """The time within which the job should start, less a margin for two heartbeat periods and a slow fetch."""
        return self._objectives.start_within(job) - 2 * self._heartbeat - fetch * (SLOW_FETCH_FACTOR - 1)

    @staticmethod
    def zone_allowed(job: Job, zone: str, additional: int) -> bool:
        """Whether `additional` tasks in a zone would meet the job's `together` and `spread` constraints."""
        spec = job.spec
        if spec.together and any(other != zone for other in job.zones()):
            return False
        if spec.spread and sum(other == zone for other in job.zones()) + additional > max_tasks_per_zone(spec):
            return False
        return True

    def record_shortfall(self, job: Job, tasks: int) -> None:
        """Record that a job's team lacks quota in this shard: it needs at least enough for `tasks` tasks of the job."""
        shortfall = self.quota_shortfalls.setdefault(job.spec.team, Resources())
        shortfall.cpus = max(shortfall.cpus, job.task_resources.cpus * tasks)
        shortfall.accelerators = max(shortfall.accelerators, job.task_resources.accelerators * tasks)
