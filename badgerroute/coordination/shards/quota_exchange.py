"""Quota exchange: how a shard obtains quota of teams' limits, and how much of its quota it gives to other shards."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from msgspec import UnsetType

from badgerroute.connectivity.modes import Action
from badgerroute.coordination.leadership.action_policy import ActionPolicy
from badgerroute.coordination.quotas.quota_allocator import QuotaAllocator
from badgerroute.protocol.mesh import QuotaRequest
from badgerroute.scheduling.model import ZERO, Job
from badgerroute.scheduling.planner import Planner
from badgerroute.scheduling.resources import Resources
from badgerroute.scheduling.shard import Shard
from badgerroute.transport.loop import Loop

RESERVATION_TTL = timedelta(seconds=2.5)  # longer than the 1 s after which a shard that lacks quota asks again
# A shard yields quota to another shard's jobs of equal rank only if the amount exceeds this fraction of the yielding
# shard's quota.
MIN_YIELDED_FRACTION = 0.15


@dataclass(frozen=True, slots=True)
class QuotaShortage:
    """The quota that a team's jobs of one rank lack in total, and the oldest of these jobs."""

    rank: tuple[float, float, float]
    amount: Resources
    oldest: Job


class QuotaExchange:
    """Exchanges quota between one shard and the others; `request_quota` sends a request to all of them."""

    def __init__(
        self,
        *,
        shard: Shard,
        planner: Planner,
        loop: Loop,
        policy: ActionPolicy,
        quota_allocator: QuotaAllocator,
        request_quota: Callable[[QuotaRequest], None],
    ) -> None:
        self._shard, self._planner, self._loop = shard, planner, loop
        self._policy, self._quota_allocator = policy, quota_allocator
        self._request_quota = request_quota

    async def acquire_missing_quota(self) -> None:
        """Allocate the quota that teams lack here from quota that no shard holds, or ask the other shards for it."""
        for team, shortfall in self._planner.collect_quota_shortfalls().items():
            if await self._quota_allocator.allocate(self._shard.number, team, shortfall):
                continue
            shortage = self._top_ranked_shortage(team)
            if shortage is None:
                continue
            used = self._shard.usage[team].cpus
            if self._quota_allocator.try_begin_request(self._shard.number, team):
                self._request_quota(self._build_request(team, shortage, used))

    def _build_request(self, team: str, shortage: QuotaShortage, used_cpus: float) -> QuotaRequest:
        return QuotaRequest(
            self._shard.number,
            team,
            shortage.amount.cpus,
            shortage.amount.accelerators,
            self._age(shortage.oldest).total_seconds(),
            shortage.rank,
            used_cpus,
            shortage.oldest.arrived_at,
        )

    def _age(self, job: Job) -> timedelta:
        return self._loop.now() - job.accepted

    def _top_ranked_shortage(self, team: str) -> QuotaShortage | None:
        """Return the quota that a team's top-ranked waiting jobs need, or None if no job of the team waits for quota.

        Top-ranked are those jobs that come first in the order of service among the team's jobs that wait for quota. An
        array does not count in a shard without a machine for it, where the quota would be of no use. A gang does, since
        it is moved, or machines are requested for it, only once it has quota.
        """
        waiting = [
            job
            for job in self._shard.jobs.values()
            if job.spec.team == team
            and self._shard.waits_for_quota(job)
            and (job.gang or self._shard.has_machine_for(job))
        ]
        if not waiting:
            return None
        rank = min(self._planner.rank(job) for job in waiting)
        shortfall = Resources()
        top_ranked = [job for job in waiting if self._planner.rank(job) == rank]
        for job in top_ranked:
            count = job.startable
            shortfall.cpus += count * job.task_resources.cpus
            shortfall.accelerators += count * job.task_resources.accelerators
        return QuotaShortage(rank, shortfall, min(top_ranked, key=lambda job: job.arrived_at))

    async def grant(self, message: QuotaRequest) -> None:
        """Give quota to another shard that lacks it.

        The other shard gets the quota that this shard neither uses nor could use soon. Depending on the order of
        service, it also gets quota that waiting jobs of this shard could use (see `_quota_to_yield`).
        """
        team = message.team
        if not self._shard.reconciled or not self._policy.allows_for(self._shard.number, Action.MOVE_QUOTA):
            return
        cpus, accelerators = self._quota_allocator.usable_quota(self._shard.number, team)
        used = self._shard.usage[team]
        shortfall = Resources(message.cpus, message.accelerators)
        unused = Resources(cpus - used.cpus, accelerators - used.accelerators)
        yielded_quota = self._quota_to_yield(message, shortfall, unused)
        if yielded_quota is None:
            unused.subtract(self._usable_by_waiting_jobs(message))
        else:
            shortfall = yielded_quota
        await self._quota_allocator.transfer(self._shard.number, message.shard, team, shortfall, unused)

    def _usable_by_waiting_jobs(self, message: QuotaRequest) -> Resources:
        """Return how much of this shard's quota the waiting jobs of the requested team could use here now.

        Jobs that would not start even with enough quota don't count. Otherwise a shard could hold quota for a job that
        waits, directly or not, until the requester's job has got this quota and ended.
        """
        usable = Resources()
        now = self._loop.now()
        for job in self._shard.jobs.values():
            if job.spec.team != message.team or not job.startable:
                continue
            if self._shard.waits_for_quota(job) and self._requester_is_older(message, job):
                # This shard's quota is too small for this job, so leave the quota to the requester's older job.
                # Otherwise two gangs could wait forever, each with a part of the limit that is too small for it.
                continue
            tasks = self._planner.tasks_that_quota_would_start(job, now)
            usable.cpus += tasks * job.task_resources.cpus
            usable.accelerators += tasks * job.task_resources.accelerators
        return usable

    def _requester_is_older(self, message: QuotaRequest, job: Job) -> bool:
        """Return whether the requester's oldest job is older than `job`; at equal age, the lower shard number wins.

        The two jobs are compared by recorded times, which do not depend on who compares them and when. By an age that
        the request carries, two shards whose jobs arrived together could each find their own job older, since a request
        takes time, and then neither would ever give quota to the other.
        """
        if not isinstance(message.arrived_at, UnsetType):
            return (message.arrived_at, message.shard) < (job.arrived_at, self._shard.number)
        return (message.age_s, -message.shard) > (self._age(job).total_seconds(), -self._shard.number)

    def _quota_to_yield(self, message: QuotaRequest, shortfall: Resources, unused: Resources) -> Resources | None:
        """Return how much quota this shard yields to another although jobs here wait for it, or None if it yields none.

        If the other shard's jobs come first in the order of service, this shard yields all the quota that they lack. If
        the jobs of both shards rank equally, it yields enough for both shards to use the same amount. Yielded quota
        that tasks here still use is reserved now, and the other shard receives it after these tasks have ended.

        Without this rule, a shard would keep its quota for as long as it has work, while urgent jobs wait in another
        shard.
        """
        ranks = [
            self._planner.rank(job)
            for job in self._shard.jobs.values()
            if job.spec.team == message.team and job.startable
        ]
        if message.rank is None or not ranks or message.rank > min(ranks):
            return None
        wanted = shortfall.copy()
        if message.rank == min(ranks):
            surplus = self._surplus(message)
            if (
                surplus
                <= MIN_YIELDED_FRACTION * self._quota_allocator.usable_quota(self._shard.number, message.team).cpus
            ):
                return None
            wanted = Resources(min(wanted.cpus, surplus), wanted.accelerators)
        self._reserve_missing(message.team, wanted, unused)
        return wanted

    def _surplus(self, message: QuotaRequest) -> float:
        """Return how many processors this shard would have to give so that both shards could use the same number."""
        # Count quota that is reserved for another shard as used. The tasks that used it may have ended since it was
        # reserved, but the jobs of this shard can't use it.
        reserved, _ = self._shard.quota.reserved_for_peers.get(message.team, (Resources(), ZERO))
        return (self._shard.usage[message.team].cpus + reserved.cpus - message.used) / 2

    def _reserve_missing(self, team: str, wanted: Resources, unused: Resources) -> None:
        """Reserve the part of `wanted` that tasks here still use. The other shard gets it after these have ended."""
        used = self._shard.usage[team]
        missing = Resources(
            min(max(0.0, wanted.cpus - unused.cpus), used.cpus),
            min(max(0.0, wanted.accelerators - unused.accelerators), used.accelerators),
        )
        self._shard.reserve_for_peer(team, missing, self._loop.now() + RESERVATION_TTL)
