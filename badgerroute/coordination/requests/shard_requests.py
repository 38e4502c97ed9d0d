"""Requests between shards for waiting tasks, for a part of a team's quota, and for machines.

A request goes to the leaders of the shards that may grant it, on this controller or on peers. The leader that grants a
request also writes the resulting change to the key-value store, so a lost request only causes a delay.
"""

from datetime import timedelta

from msgspec import UNSET

from badgerroute.connectivity.modes import Action
from badgerroute.coordination.leadership.action_policy import ActionPolicy
from badgerroute.coordination.leadership.leader_records import LeaderRecords
from badgerroute.coordination.membership.mesh import Mesh
from badgerroute.coordination.membership.peers import Peers
from badgerroute.coordination.requests.victim_selection import VictimSelection, shards_with_work
from badgerroute.coordination.shards.shard_leader import ShardLeader
from badgerroute.protocol.mesh import MachineRequest, QuotaRequest, StealRequest, crowded_only, uncrowded_only
from badgerroute.transport.loop import Loop, TaskGroup

STEAL_INTERVAL = timedelta(milliseconds=500)


class ShardRequests:
    """Sends requests of the shards that this controller leads, and passes received requests to their leaders."""

    def __init__(
        self,
        loop: Loop,
        group: TaskGroup,
        leader_records: LeaderRecords,
        policy: ActionPolicy,
        peers: Peers,
        mesh: Mesh,
        leaders: dict[int, ShardLeader],
    ) -> None:
        self._loop, self._group, self._leader_records, self._policy = loop, group, leader_records, policy
        self._peers, self._mesh, self._leaders = peers, mesh, leaders
        self._victims = VictimSelection()

    async def run_stealing(self) -> None:
        """Request waiting tasks for idle shards from busy ones in an endless loop.

        In each round, an idle shard sends at most one request. The loop also migrates gangs that cannot be placed in
        their shard.
        """
        while True:
            await self._loop.sleep(STEAL_INTERVAL)
            for leader in list(self._leaders.values()):
                if not leader.ready or not leader.shard.reconciled:
                    continue
                if self._policy.allows_for(leader.number, Action.GIVE_WORK):
                    await leader.gang_migration.migrate_unplaceable(self._peers.summaries())
                if self._policy.allows_for(leader.number, Action.STEAL):
                    self._request_work_for(leader)

    def _request_work_for(self, leader: ShardLeader) -> None:
        capacities, images = leader.idle_capacities()
        if not capacities:
            return
        short_teams = leader.work_stealing.teams_lacking_quota()
        if leader.work_stealing.has_work_for(capacities, short_teams):
            return
        waiting_work = shards_with_work(self._peers.summaries(), leader.number, capacities, short_teams)
        victim = self._victims.choose(leader.number, waiting_work)
        if victim is not None:
            request = StealRequest(
                victim,
                leader.number,
                uncrowded_only(capacities),
                images,
                sorted(short_teams),
                crowded_only(capacities) or UNSET,
            )
            self.request_work_from(victim, request)

    def request_work_from(self, victim: int, message: StealRequest) -> None:
        """Request waiting tasks from a shard, which this controller or a peer leads."""
        if victim in self._leaders:
            self._group.spawn(self._leaders[victim].work_stealing.on_steal(message), "steal")
        else:
            host = self._leader_records.leader_host(victim)
            if host is not None:
                self._mesh.send(host, message)

    def on_steal(self, message: StealRequest) -> None:
        """Handle a request of a peer's shard for waiting tasks of a shard that this controller leads."""
        leader = self._leaders.get(message.victim)
        if leader is not None and leader.ready:
            self._group.spawn(leader.work_stealing.on_steal(message), "steal")

    def request_machines(self, message: MachineRequest) -> None:
        """Request empty machines from all other shards."""
        self._mesh.broadcast(message)
        self.transfer_machines(message)

    def transfer_machines(self, message: MachineRequest) -> None:
        """Have the shards that this controller leads, except the requesting one, transfer machines they can spare."""
        for leader in self._other_leaders(message.shard):
            self._group.spawn(leader.machine_transfers.transfer(message), "lend")

    def request_quota(self, message: QuotaRequest) -> None:
        """Request a part of a team's quota from all other shards."""
        self._mesh.broadcast(message)
        self.grant_quota(message)

    def grant_quota(self, message: QuotaRequest) -> None:
        """Have the shards that this controller leads, except the requesting one, grant quota they can spare."""
        for leader in self._other_leaders(message.shard):
            self._group.spawn(leader.quota_exchange.grant(message), "grant-quota")

    def _other_leaders(self, shard: int) -> list[ShardLeader]:
        return [leader for leader in self._leaders.values() if leader.ready and leader.number != shard]
