"""Quota exchange: how a shard gets quota of teams' limits, and what it gives of its own to other shards."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from badgerroute.connectivity.modes import Action
from badgerroute.coordination.leadership.action_policy import ActionPolicy
from badgerroute.coordination.quotas.quota_allocator import QuotaAllocator
from badgerroute.protocol.mesh import QuotaRequest
from badgerroute.scheduling.model import ZERO, Job
from badgerroute.scheduling.planner import Planner
from badgerroute.scheduling.resources import Resources
from badgerroute.scheduling.shard import Shard
from badgerroute.transport.loop import Loop

RESERVATION_TTL = timedelta(seconds=2.5)  # what another shard lacks is asked for every second
UNEVEN = 0.15  # of our quota: what we may use more than a shard whose jobs are our equals


@dataclass(frozen=True, slots=True)
class QuotaShortage:
    """What jobs of one rank lack together of their team's limit, and the age of the oldest."""

    rank: tuple[float, float, float]
    lack: Resources
    age: timedelta


class QuotaExchange:
    """Exchanges one shard's quota with the others; `request_quota` asks all of them."""

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

    async def seek(self) -> None:
        """Take what the shard's teams lack from what no shard holds, or ask the other shards for it."""
        for team, lack in self._planner.collect_quota_shortfalls().items():
            if await self._quota_allocator.allocate(self._shard.number, team, lack):
                continue
            shortage = self._first_shortage(team)
            if shortage is None:
                continue
            used = self._shard.usage[team].cpus
            if self._quota_allocator.begin_request(self._shard.number, team):
                self._request_quota(self._request(team, shortage, used))

    def _request(self, team: str, shortage: QuotaShortage, used_cpus: float) -> QuotaRequest:
        return QuotaRequest(
            self._shard.number,
            team,
            shortage.lack.cpus,
            shortage.lack.accelerators,
            shortage.age.total_seconds(),
            shortage.rank,
            used_cpus,
        )

    def _first_shortage(self, team: str) -> QuotaShortage | None:
        """What those of a team's jobs lack that come first in the order of service; None if none lacks quota."""
        waiting = [
            job for job in self._shard.jobs.values() if job.spec.team == team and self._shard.short_of_quota(job)
        ]
        if not waiting:
            return None
        rank = min(self._planner.rank(job) for job in waiting)
        now = self._loop.now()
        lack = Resources()
        first = [job for job in waiting if self._planner.rank(job) == rank]
        for job in first:
            count = job.startable
            lack.cpus += count * job.need.cpus
            lack.accelerators += count * job.need.accelerators
        return QuotaShortage(rank, lack, max(now - job.accepted for job in first))

    async def grant(self, message: QuotaRequest) -> None:
        """Another shard lacks quota: give it what is neither used nor soon usable here, or what its jobs need
        before ours.
        """
        team = message.team
        if not self._shard.reconciled or not self._policy.allows_for(self._shard.number, Action.MOVE_QUOTA):
            return
        cpus, accelerators = self._quota_allocator.usable_quota(self._shard.number, team)
        used = self._shard.usage[team]
        lack = Resources(message.cpus, message.accelerators)
        unused = Resources(cpus - used.cpus, accelerators - used.accelerators)
        yielded = self._quota_to_yield(message, lack, unused)
        if yielded is None:
            unused.take(self._usable_soon(message))
        else:
            lack = yielded
        await self._quota_allocator.transfer(self._shard.number, message.shard, team, lack, unused)

    def _usable_soon(self, message: QuotaRequest) -> Resources:
        """What a team's jobs that wait here could use of this shard's quota."""
        usable = Resources()
        for job in self._shard.jobs.values():
            if job.spec.team != message.team:
                continue
            if self._shard.short_of_quota(job) and self._is_older(message, job):
                # What is kept for it here does not suffice either: what there is goes to the older one, so that no two
                # gangs wait for ever, each with a fraction of the limit that is too small for it.
                continue
            count = job.startable
            if count:
                room = self._shard.room_for(job)
                usable.cpus += min(count, room) * job.need.cpus
                usable.accelerators += min(count, room) * job.need.accelerators
        return usable

    def _is_older(self, message: QuotaRequest, job: Job) -> bool:
        """Whether the requester's oldest job has waited longer than ours; among equals the lower shard is first."""
        age_s = (self._loop.now() - job.accepted).total_seconds()
        return (message.age_s, -message.shard) > (age_s, -self._shard.number)

    def _quota_to_yield(self, message: QuotaRequest, lack: Resources, unused: Resources) -> Resources | None:
        """How much quota another shard should have though work waits for it here; None: nothing.

        All that it lacks, if its jobs come before ours; if they are equal, so much that both use the same. What is not
        free yet is kept for it as our tasks end. Without this a shard would keep quota for as long as it has work,
        while urgent jobs wait in another shard.
        """
        ranks = [
            self._planner.rank(job)
            for job in self._shard.jobs.values()
            if job.spec.team == message.team and job.startable
        ]
        if message.rank is None or not ranks or message.rank > min(ranks):
            return None
        wanted = lack.copy()
        if message.rank == min(ranks):
            surplus = self._surplus(message)
            if surplus <= UNEVEN * self._quota_allocator.usable_quota(self._shard.number, message.team).cpus:
                return None
            wanted = Resources(min(wanted.cpus, surplus), wanted.accelerators)
        self._reserve_missing(message.team, wanted, unused)
        return wanted

    def _surplus(self, message: QuotaRequest) -> float:
        """Processors that this shard would have to give so that both use the same."""
        # What is reserved for a peer is free by now, but not for our jobs.
        reserved, _ = self._shard.quota.reserved_for_peers.get(message.team, (Resources(), ZERO))
        return (self._shard.usage[message.team].cpus + reserved.cpus - message.used) / 2

    def _reserve_missing(self, team: str, wanted: Resources, unused: Resources) -> None:
        """Keep what is wanted beyond the unused quota for the other shard, as our tasks end."""
        used = self._shard.usage[team]
        missing = Resources(
            min(max(0.0, wanted.cpus - unused.cpus), used.cpus),
            min(max(0.0, wanted.accelerators - unused.accelerators), used.accelerators),
        )
        self._shard.reserve_for_peer(team, missing, self._loop.now() + RESERVATION_TTL)
