"""Broadcasts the state of this controller to its peers periodically."""

from collections.abc import Mapping
from datetime import timedelta

from badgerroute.connectivity.modes import Action
from badgerroute.coordination.jobs.cancellation_broadcast import CancellationBroadcast
from badgerroute.coordination.leadership.subsystem import LeadershipSubsystem
from badgerroute.coordination.membership.subsystem import MembershipSubsystem
from badgerroute.coordination.shards.shard_leaders import ShardLeaders
from badgerroute.protocol.cloud import MachineType
from badgerroute.protocol.mesh import Gossip
from badgerroute.settings import Settings
from badgerroute.storage.subsystem import Storage
from badgerroute.transport.loop import Loop

GOSSIP_INTERVAL = timedelta(milliseconds=500)


class GossipTask:
    """Broadcasts the state of this controller and its shards, and resends cancellation notices until acknowledged."""

    def __init__(
        self,
        *,
        settings: Settings,
        loop: Loop,
        storage: Storage,
        leadership: LeadershipSubsystem,
        membership: MembershipSubsystem,
        leaders: ShardLeaders,
        catalog: Mapping[str, MachineType],
        cancellation_broadcast: CancellationBroadcast,
    ) -> None:
        self._settings, self._loop, self._storage = settings, loop, storage
        self._leadership, self._membership = leadership, membership
        self._leaders, self._catalog, self._cancellation_broadcast = leaders, catalog, cancellation_broadcast

    async def run(self) -> None:
        """Broadcast gossip until cancelled. A controller without a lease leads no shard and sends no gossip."""
        while True:
            await self._loop.sleep(GOSSIP_INTERVAL)
            self._storage.store.divide_rates(self._membership.peers.store_client_count())
            if self._leadership.state.lease is not None:
                self._membership.mesh.broadcast_gossip(self._gossip())
            self._cancellation_broadcast.resend()

    def _gossip(self) -> Gossip:
        monitor = self._membership.monitor
        return Gossip(
            host=self._settings.platform.host_name,
            lease=self._leadership.state.lease or 0,
            ready=bool(self._catalog) and self._storage.replica.ready.done,
            store_reachable=monitor.reaches_store(),
            isolated=not self._leadership.policy.allows(Action.RECEIVE_SHARD),
            shards=[leader.summary() for leader in self._leaders.ready()],
            mode=monitor.mode.value,
            hears=list(self._membership.peers.reachable()),
            relays=self._settings.operator.connectivity.relay,
        )
