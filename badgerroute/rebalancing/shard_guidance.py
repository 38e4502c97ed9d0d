"""The scheduling guidance that rebalancing gives to one shard: an implementation of `scheduling.guidance.Guidance`."""

from collections.abc import Callable
from datetime import timedelta

from badgerroute.protocol.mesh import ShardLoad
from badgerroute.rebalancing.fetch_rates import FetchRates
from badgerroute.rebalancing.local_waits import LocalWaits
from badgerroute.rebalancing.waits import RecentWaits, machines_by_utilization
from badgerroute.scheduling.guidance import Guidance
from badgerroute.scheduling.model import Job, Machine, Placement
from badgerroute.scheduling.quota_ledger import Usage
from badgerroute.scheduling.shard_state import ShardView
from badgerroute.transport.loop import Loop

MEAN_REFRESH_INTERVAL = timedelta(milliseconds=100)
ACCELERATOR_WEIGHT = 8  # an accelerator counts as this many CPUs; the scheduling order of jobs uses the same weight


class ShardGuidance(Guidance):
    """Guidance for one shard.

    `entitlement` returns the number of CPUs that a team is entitled to. `urgency` returns the factor, at least 1, by
    which this number is multiplied because the team's tasks wait long. `drain_deadline` returns when a machine must be
    empty, on the monotonic clock, or None if the machine is not draining.
    """

    def __init__(
        self,
        loop: Loop,
        window: timedelta,
        entitlement: Callable[[str], float],
        urgency: Callable[[str], float],
        drain_deadline: Callable[[str], timedelta | None],
    ) -> None:
        self._loop, self._entitlement, self._urgency = loop, entitlement, urgency
        self._drain_deadline = drain_deadline
        self.recent_waits = RecentWaits(window, loop.now())
        self.fetch_rates = FetchRates()
        self.usage: dict[str, Usage] = {}  # the quota in use in this shard, by team
        self.local_waits: LocalWaits | None = None
        self._mean_ratio, self._mean_computed_at = 0.0, -timedelta(days=1)

    def attach(self, usage: dict[str, Usage], local: LocalWaits) -> None:
        """Set the shard's quota usage and wait estimates. Called when the shard's leader has become ready."""
        self.usage, self.local_waits = usage, local

    def task_placed(self, job: Job, waited: timedelta, now: timedelta) -> None:
        """Record how long a task waited before it was placed."""
        self.recent_waits.record(job, waited, now)

    def image_fetched(self, placement: Placement, took: timedelta) -> None:
        """Record how long a machine took to fetch a task's image."""
        self.fetch_rates.record_fetch(placement, took)

    def precedence(self, job: Job) -> float:
        """Return a sort key, lowest first, that favors teams that use little relative to their entitlement and urgency.

        The key is (the team's usage of the shard + one more task of the job) / (the team's entitlement * its urgency).
        Usage is summed over all jobs of the team. When each job's own usage was compared instead, a team with many
        small jobs always came first, and another team's array never got any capacity.
        """
        if job.gang:
            return 0.0  # gangs keep their order of arrival, since each waits until all of its tasks fit at once
        team = job.spec.team
        task_usage = job.task_resources.cpus + ACCELERATOR_WEIGHT * job.task_resources.accelerators
        return (self._usage_of(team) + task_usage) / (self._entitlement(team) * self._urgency(team))

    def may_exceed_desire(self, job: Job) -> bool:
        """Return whether a job is allowed to exceed its desire, because its team uses less than the mean of all teams.

        A job's desire is the number of slots that utilization feedback computes for it. The team's usage / (entitlement
        * urgency) is compared with the total usage / total entitlement of the teams with tasks in the shard. An array
        that arrives while no capacity is free starts with a desire of one slot. Without this exception, it would get
        only one more slot every ten seconds while another team keeps submitting jobs of one task each, because the
        desires of those jobs are always filled first.
        """
        team = job.spec.team
        return self._usage_of(team) / (self._entitlement(team) * self._urgency(team)) < self._mean_usage_ratio()

    def _usage_of(self, team: str) -> float:
        used = self.usage.get(team)
        return used.cpus + ACCELERATOR_WEIGHT * used.accelerators if used is not None else 0.0

    def _mean_usage_ratio(self) -> float:
        """Return the total usage of the teams with tasks in the shard, divided by their total entitlement.

        The result is cached for MEAN_REFRESH_INTERVAL.
        """
        now = self._loop.now()
        if now - self._mean_computed_at >= MEAN_REFRESH_INTERVAL:
            self._mean_computed_at = now
            teams = [team for team, used in self.usage.items() if used.tasks]
            entitled = sum(self._entitlement(team) for team in teams)
            self._mean_ratio = sum(self._usage_of(team) for team in teams) / entitled if entitled else 0.0
        return self._mean_ratio

    def fetch_time(self, job: Job, machine: Machine) -> timedelta:
        """Return how long a machine is expected to take to fetch a job's image."""
        return self.fetch_rates.fetch_time(job, machine)

    def local_wait(self, job: Job) -> timedelta | None:
        """Return the expected wait of the job's tasks for machines that cache their image, or None if unknown."""
        return self.local_waits.expected_wait(job, self._loop.now()) if self.local_waits is not None else None

    def drain_deadline(self, machine: str) -> timedelta | None:
        """Return when a machine must be empty, on the monotonic clock, or None if it is not draining."""
        return self._drain_deadline(machine)

    def load(self, shard: ShardView, now: timedelta) -> ShardLoad:
        """Return the queue waits and machine utilization of the shard, to report to the other controllers."""
        return ShardLoad(self.recent_waits.snapshot(shard, now), machines_by_utilization(shard))
