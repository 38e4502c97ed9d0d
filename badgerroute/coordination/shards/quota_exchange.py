"""How a shard comes by teams' quotas, and what it gives of its own to other shards."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from badgerroute.connectivity.modes import Action
from badgerroute.coordination.shards.leader_context import LeaderContext
from badgerroute.protocol import mesh as mesh_wire
from badgerroute.scheduling.model import ZERO
from badgerroute.scheduling.planner import Planner
from badgerroute.scheduling.resources import Resources
from badgerroute.scheduling.shard import Shard

RESERVATION_TTL = timedelta(seconds=2.5)  # what another shard lacks is asked for every second
UNEVEN = 0.15  # of our share: what we may use more than a shard whose jobs are our equals


@dataclass(frozen=True, slots=True)
class QuotaShortage:
    """What jobs of one rank lack together of their team's limit, and the age of the oldest."""

    rank: tuple[float, float, float]
    lack: Resources
    age: timedelta


class QuotaExchange:
    """One shard's dealings in shares."""

    def __init__(self, shard: Shard, planner: Planner, context: LeaderContext) -> None:
        self._shard, self._planner = shard, planner
        self._loop, self._policy, self._quota_allocator = context.loop, context.policy, context.quota_allocator
        self._ask: Callable[[mesh_wire.QuotaRequest], None] = context.request_quota

    async def seek(self) -> None:
        """Take what the shard's teams lack from what nobody holds, or ask the peers for it."""
        for team, lack in self._planner.collect_quota_shortfalls().items():
            if not await self._quota_allocator.allocate(self._shard.number, team, lack):
                first = self._first_short(team)
                if first is None:
                    continue
                used = self._shard.usage[team].cpus
                message = self._quota_allocator.ask(self._shard.number, team, first.lack, first.age, first.rank, used)
                if message is not None:
                    self._ask(message)

    def _first_short(self, team: str) -> QuotaShortage | None:
        """What those of a team's jobs lack that come first in the order of service."""
        short = [job for job in self._shard.jobs.values() if job.spec.team == team and self._shard.short_of_quota(job)]
        if not short:
            return None
        rank, now, lack = min(self._planner.rank(job) for job in short), self._loop.now(), Resources()
        first = [job for job in short if self._planner.rank(job) == rank]
        for job in first:
            count = job.startable
            lack.cpus += count * job.need.cpus
            lack.accelerators += count * job.need.accelerators
        return QuotaShortage(rank, lack, max(now - job.accepted for job in first))

    async def grant(self, message: mesh_wire.QuotaRequest) -> None:
        """Another shard lacks quota: give what we neither use nor can use soon, or what it has the better use for."""
        team = message.team
        if not self._shard.reconciled or not self._policy.allows_for(self._shard.number, Action.MOVE_QUOTA):
            return
        cpus, gpus = self._quota_allocator.of(self._shard.number, team)
        used = self._shard.usage[team]
        lack = Resources(message.cpus, message.accelerators)
        cancel_deletion = Resources(cpus - used.cpus, gpus - used.accelerators)
        keep = self._quota_to_yield(message, lack, cancel_deletion)
        if keep is None:
            cancel_deletion.take(self._soon(message))
        else:
            lack = keep
        await self._quota_allocator.transfer(self._shard.number, message.shard, team, lack, cancel_deletion)

    def _soon(self, message: mesh_wire.QuotaRequest) -> Resources:
        """What a team's jobs that wait here could use of its share."""
        soon = Resources()
        for job in self._shard.jobs.values():
            if job.spec.team != message.team:
                continue
            if self._shard.short_of_quota(job) and (message.age_s, -message.shard) > (
                (self._loop.now() - job.accepted).total_seconds(),
                -self._shard.number,
            ):
                # What is kept for it does not suffice either. Two gangs once waited for ever, each of them beside a
                # fraction of the limit that was too small for it; now what there is goes to the older one.
                continue
            count = job.startable
            if count:
                room = self._shard.room_for(job)
                soon.cpus += min(count, room) * job.need.cpus
                soon.accelerators += min(count, room) * job.need.accelerators
        return soon

    def _quota_to_yield(
        self, message: mesh_wire.QuotaRequest, lack: Resources, cancel_deletion: Resources
    ) -> Resources | None:
        """How much of our share another shard should have though work waits for it here; None: nothing.

        All that it lacks, if its jobs come before ours; if they are equal, so much that both use the same. What is not
        free yet is kept for it as our tasks end. A shard that had come to hold a limit kept it as long as it had work,
        and urgent jobs in another shard waited behind its idle ones.
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
            kept = self._shard.quota.reserved_for_peers.get(message.team, (Resources(), ZERO))[
                0
            ]  # free by now, but not for us
            more = (self._shard.usage[message.team].cpus + kept.cpus - message.used) / 2
            if more <= UNEVEN * self._quota_allocator.of(self._shard.number, message.team)[0]:
                return None
            wanted = Resources(min(wanted.cpus, more), wanted.accelerators)
        missing = Resources(
            max(0.0, wanted.cpus - cancel_deletion.cpus), max(0.0, wanted.accelerators - cancel_deletion.accelerators)
        )
        used = self._shard.usage[message.team]
        missing = Resources(min(missing.cpus, used.cpus), min(missing.accelerators, used.accelerators))
        self._shard.reserve_for_peer(message.team, missing, self._loop.now() + RESERVATION_TTL)
        return wanted
