"""Decides when to transfer a shard: to its home controller, or to a controller that its workers can reach."""

import logging
from datetime import timedelta

from badgerroute.connectivity.modes import Action
from badgerroute.connectivity.transfer_target import TransferCandidate, choose_transfer_target
from badgerroute.coordination.leadership.action_policy import ActionPolicy
from badgerroute.coordination.leadership.leadership_state import LeadershipState
from badgerroute.coordination.leadership.shard_transfer import ShardTransfer
from badgerroute.coordination.membership.connectivity_monitor import ConnectivityMonitor
from badgerroute.coordination.membership.peers import Peer, Peers
from badgerroute.coordination.shards.shard_leader import ShardLeader
from badgerroute.protocol.mesh import MisroutedHeartbeat
from badgerroute.settings import Settings
from badgerroute.transport.loop import Loop

log = logging.getLogger(__name__)
TRANSFER_INTERVAL = timedelta(seconds=2)


class LeadershipTransfer:
    """Transfers shards that this controller leads, at most one per round, using `ShardTransfer`."""

    def __init__(
        self,
        *,
        settings: Settings,
        loop: Loop,
        leadership_state: LeadershipState,
        shard_transfer: ShardTransfer,
        policy: ActionPolicy,
        peers: Peers,
        monitor: ConnectivityMonitor,
        leaders: dict[int, ShardLeader],
    ) -> None:
        self._hosts, self._loop, self._policy = settings.hosts, loop, policy
        self._leadership_state, self._shard_transfer = leadership_state, shard_transfer
        self._peers, self._monitor, self._leaders = peers, monitor, leaders
        self._worker_link = monitor.worker_link
        self._max_relay_time = settings.operator.connectivity.relay_duration

    async def run(self) -> None:
        """Transfer at most one shard per round; shards whose workers can't reach this controller take precedence."""
        while True:
            await self._loop.sleep(TRANSFER_INTERVAL)
            if self._policy.allows(Action.TRANSFER_SHARD) and not await self._transfer_without_workers():
                await self._return_to_home()

    # -- shards whose home controller is reachable again

    async def _return_to_home(self) -> None:
        for shard in list(self._leadership_state.leaderships):
            host = self._home_host(shard)
            peer = self._peers.reachable_peer(host)
            leader = self._leaders.get(shard)
            # A peer that can't reach the key-value store still reports its last lease. Without this check, the transfer
            # would fail in every round until the peer recovers, and this controller would be elected for the shard
            # again.
            if peer is None or not peer.may_receive_shard():
                continue
            if leader is not None and leader.shard.reconciled:
                await self._shard_transfer.transfer(shard, host, peer.gossip.lease)
                return

    def _home_host(self, shard: int) -> str:
        return self._hosts[shard] if shard < len(self._hosts) else ""

    # -- shards whose workers can't reach this controller

    async def on_misrouted_heartbeat(self, message: MisroutedHeartbeat) -> None:
        """Record that a machine of a shard led here sent a heartbeat to a peer, which did not relay it.

        If many machines do so, the shard is transferred.
        """
        leader = self._leaders.get(message.shard)
        if leader is None or not leader.ready or not leader.heartbeat_overdue(message.machine):
            return  # a new machine may contact any controller, so its heartbeat says nothing about the link
        self._worker_link.record_peer_heartbeat(
            message.shard, message.machine, message.host, self._loop.now(), relayed=False
        )
        self._monitor.update()
        if self._policy.allows(Action.TRANSFER_SHARD):
            await self._transfer_without_workers()

    async def _transfer_without_workers(self) -> bool:
        """Transfer one shard whose workers can't reach this controller, and return whether there was one.

        A shard whose heartbeats peers relay to this controller is transferred only when the link to workers has been
        lost for the maximum relay time.
        """
        now = self._loop.now()
        relayed_long_enough = self._worker_link.lost_for(now) >= self._max_relay_time
        for leader in list(self._leaders.values()):
            if not self._workers_lost(leader, now, unrelayed_only=not relayed_long_enough):
                continue
            target = self._transfer_target(leader, now)
            if target is not None:
                await self._transfer(leader, target)
                return True
        return False

    def _workers_lost(self, leader: ShardLeader, now: timedelta, unrelayed_only: bool) -> bool:
        overdue = leader.count_silent_machines() if leader.ready else 0
        return self._worker_link.lost and self._worker_link.shard_suspected(leader.number, overdue, now, unrelayed_only)

    def _transfer_target(self, leader: ShardLeader, now: timedelta) -> Peer | None:
        eligible = {host: peer for host, peer in self._peers.reachable().items() if peer.may_receive_shard()}
        candidates = [
            TransferCandidate(host, machines, sum(shard.machines for shard in eligible[host].gossip.shards))
            for host, machines in self._worker_link.machines_by_peer(leader.number, now).items()
            if host in eligible
        ]
        target = choose_transfer_target(candidates, len(leader.shard.machines))
        return None if target is None else eligible[target.host]

    async def _transfer(self, leader: ShardLeader, target: Peer) -> None:
        host = target.gossip.host
        log.warning("event=workers_declared_unreachable shard=%d to=%s", leader.number, host)
        self._worker_link.forget_shard(leader.number)
        await self._shard_transfer.transfer(leader.number, host, target.gossip.lease)
