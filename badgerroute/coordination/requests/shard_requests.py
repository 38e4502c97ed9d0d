"""Requests between shards: for waiting work, for share of a team's limit, for machines.

Each goes to the owner of what is asked for, ours or a sibling's, who decides and writes. One that is lost costs time.
"""

from datetime import timedelta

from badgerroute.connectivity.modes import Action
from badgerroute.coordination.membership.mesh import Mesh
from badgerroute.coordination.membership.siblings import Siblings
from badgerroute.coordination.ownership.action_gate import ActionGate
from badgerroute.coordination.ownership.claims import Claims
from badgerroute.coordination.shards.owner import Owner
from badgerroute.protocol.mesh import FreeCapacity, MachineLoanRequest, ShardSummary, ShareRequest, StealRequest
from badgerroute.scheduling.capacities import fits_capacity
from badgerroute.transport.loop import Group, Loop

STEAL_ROUND = timedelta(milliseconds=500)


class ShardRequests:
    """Sends the requests of our shards, and has those that reach us carried out."""

    def __init__(
        self,
        loop: Loop,
        group: Group,
        claims: Claims,
        permits: ActionGate,
        siblings: Siblings,
        mesh: Mesh,
        owners: dict[int, Owner],
    ) -> None:
        self._loop, self._group, self._claims, self._permits = loop, group, claims, permits
        self._siblings, self._mesh, self._owners = siblings, mesh, owners

    async def steal_duty(self) -> None:
        """Idle shards ask busy ones for waiting tasks, one request per shard and period."""
        while True:
            await self._loop.sleep(STEAL_ROUND)
            for owner in list(self._owners.values()):
                if not owner.ready or not owner.shard.settled:
                    continue
                if self._permits.allows_for(owner.number, Action.GIVE_WORK):
                    await owner.migration.pass_on_gangs(self._siblings.summaries())
                if self._permits.allows_for(owner.number, Action.STEAL):
                    self._steal_for(owner)

    def _steal_for(self, owner: Owner) -> None:
        capacities, images = owner.idle_capacities()
        if not capacities:
            return
        short = owner.migration.short_teams()
        if owner.migration.has_work_for(capacities, short):
            return
        victim = busiest_shard(self._siblings.summaries(), owner.number, capacities, short)
        if victim is not None:
            self.steal_from(victim, StealRequest(victim, owner.number, capacities, images, sorted(short)))

    def steal_from(self, victim: int, message: StealRequest) -> None:
        """Ask a shard, ours or a sibling's, for waiting tasks."""
        if victim in self._owners:
            self._group.spawn(self._owners[victim].migration.on_steal(message), "steal")
        else:
            host = self._claims.owner(victim)
            if host is not None:
                self._mesh.send(host, message)

    def on_steal(self, message: StealRequest) -> None:
        """A sibling's shard asks one of ours for waiting tasks."""
        owner = self._owners.get(message.victim)
        if owner is not None and owner.ready:
            self._group.spawn(owner.migration.on_steal(message), "steal")

    def ask_machines(self, message: MachineLoanRequest) -> None:
        """Ask every other shard for empty machines."""
        self._mesh.broadcast(message)
        self.lend(message)

    def lend(self, message: MachineLoanRequest) -> None:
        """Have our other shards lend what they can."""
        for owner in self._others(message.shard):
            self._group.spawn(owner.loans.lend(message), "lend")

    def ask_share(self, message: ShareRequest) -> None:
        """Ask every other shard for share of a team's limit."""
        self._mesh.broadcast(message)
        self.give_share(message)

    def give_share(self, message: ShareRequest) -> None:
        """Have our other shards give what they can spare."""
        for owner in self._others(message.shard):
            self._group.spawn(owner.shares.give(message), "give-share")

    def _others(self, shard: int) -> list[Owner]:
        return [owner for owner in self._owners.values() if owner.ready and owner.number != shard]


def busiest_shard(
    summaries: list[ShardSummary], thief: int, capacities: list[FreeCapacity], short: set[str]
) -> int | None:
    """The shard where most waits that would fit the thief's room.

    What fits nowhere there once drew every request to itself, while a third shard's work waited beside room for it.
    """
    waiting = {
        summary.shard: sum(
            demand.count * max(demand.cpus, demand.accelerators)
            for demand in summary.demands
            if demand.team not in short and any(fits_capacity(demand, capacity) for capacity in capacities)
        )
        for summary in summaries
        if summary.shard != thief and summary.settled
    }
    busiest = max(waiting, key=lambda shard: waiting[shard], default=None)
    return busiest if busiest is not None and waiting[busiest] > 0 else None
