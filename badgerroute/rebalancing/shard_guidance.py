"""What rebalancing advises one shard: see scheduling/guidance.py for where it is asked."""

from collections.abc import Callable
from datetime import timedelta

from badgerroute.protocol.mesh import ShardLoad
from badgerroute.rebalancing.fetch_rates import FetchRates
from badgerroute.rebalancing.local_waits import LocalWaits
from badgerroute.rebalancing.waits import RecentWaits, busy_machines
from badgerroute.scheduling.guidance import Guidance
from badgerroute.scheduling.model import Job, Machine, Placement
from badgerroute.scheduling.quota_ledger import Usage
from badgerroute.scheduling.shard_state import ShardView
from badgerroute.transport.loop import Loop

MEAN_KEPT = timedelta(milliseconds=100)
ACCELERATOR_WEIGHT = 8  # processors that an accelerator counts as, as in the order of service


class ShardGuidance(Guidance):
    """Advice for one shard. `urgency` is how much sooner a team's work is to come for its waits: 1 is as it is."""

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
        self.waits = RecentWaits(window, loop.now())
        self.rates = FetchRates()
        self.usage: dict[str, Usage] = {}  # the shard's own use of quota, by team
        self.local: LocalWaits | None = None
        self._mean, self._mean_at = 0.0, -timedelta(days=1)

    def attach(self, usage: dict[str, Usage], local: LocalWaits) -> None:
        """The shard that is advised is there."""
        self.usage, self.local = usage, local

    def task_placed(self, job: Job, waited: timedelta, now: timedelta) -> None:
        """See Guidance."""
        self.waits.record(job, waited, now)

    def image_fetched(self, placement: Placement, took: timedelta) -> None:
        """See Guidance."""
        self.rates.learn(placement, took)

    def precedence(self, job: Job) -> float:
        """The team that holds least of the shard for what it is entitled to comes first, sooner if its tasks wait long.

        Counted by jobs, a team with many small ones always held least, and an array of another team never had its turn.
        """
        if job.gang:
            return 0.0  # gangs come in the order of their arrival: each needs much at once, and waits for all of it
        team = job.spec.team
        one_more = job.need.cpus + ACCELERATOR_WEIGHT * job.need.accelerators
        return (self._held(team) + one_more) / (self._entitlement(team) * self._urgency(team))

    def may_exceed_desire(self, job: Job) -> bool:
        """A team that holds less of the shard than the others, for what it is entitled to, need not wait for desires.

        A job that comes while nothing is free begins with a desire of one slot: beside a team that sends jobs of one
        task, whose desires are always filled first, an array then got one slot more only every ten seconds.
        """
        team = job.spec.team
        return self._held(team) / (self._entitlement(team) * self._urgency(team)) < self._mean_held()

    def _held(self, team: str) -> float:
        used = self.usage.get(team)
        return used.cpus + ACCELERATOR_WEIGHT * used.accelerators if used is not None else 0.0

    def _mean_held(self) -> float:
        """What the teams hold of the shard, for what all of them together are entitled to."""
        now = self._loop.now()
        if now - self._mean_at >= MEAN_KEPT:
            self._mean_at = now
            teams = [team for team, used in self.usage.items() if used.tasks]
            entitled = sum(self._entitlement(team) for team in teams)
            self._mean = sum(self._held(team) for team in teams) / entitled if entitled else 0.0
        return self._mean

    def fetch_time(self, job: Job, machine: Machine) -> timedelta:
        """See Guidance."""
        return self.rates.fetch_time(job, machine)

    def local_wait(self, job: Job) -> timedelta | None:
        """See Guidance."""
        return self.local.expected(job, self._loop.now()) if self.local is not None else None

    def drain_deadline(self, machine: str) -> timedelta | None:
        """See Guidance."""
        return self._drain_deadline(machine)

    def load(self, shard: ShardView, now: timedelta) -> ShardLoad:
        """See Guidance."""
        return ShardLoad(self.waits.snapshot(shard, now), busy_machines(shard))
