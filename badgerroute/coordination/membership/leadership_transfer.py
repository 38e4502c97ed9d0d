"""When a shard is handed to another controller: to the one whose home it is, or to one that its workers reach."""

import logging
from datetime import timedelta

from badgerroute.connectivity.modes import Action
from badgerroute.connectivity.transfer_target import Candidate, choose_receiver
from badgerroute.coordination.leadership.action_policy import ActionPolicy
from badgerroute.coordination.leadership.leader_election import LeaderElection
from badgerroute.coordination.membership.connectivity_monitor import ConnectivityMonitor
from badgerroute.coordination.membership.peers import Peer, Peers
from badgerroute.coordination.shards.shard_leader import ShardLeader
from badgerroute.protocol.mesh import MisroutedHeartbeat
from badgerroute.settings import Settings
from badgerroute.transport.loop import Loop

log = logging.getLogger(__name__)
ROUND = timedelta(seconds=2)


class LeadershipTransfer:
    """Only shards that are ours are handed over, by `LeaderElection.leadership_transfer`."""

    def __init__(
        self,
        settings: Settings,
        loop: Loop,
        election: LeaderElection,
        policy: ActionPolicy,
        peers: Peers,
        monitor: ConnectivityMonitor,
        leaders: dict[int, ShardLeader],
    ) -> None:
        self._settings, self._loop, self._election, self._policy = settings, loop, election, policy
        self._peers, self._monitor, self._leaders = peers, monitor, leaders
        self._worker_link = monitor.worker_link
        self._relay_for = settings.operator.connectivity.relay_for

    async def run(self) -> None:
        """Hand over one shard a round: first what its workers can't report here, else what has its home elsewhere."""
        while True:
            await self._loop.sleep(ROUND)
            if self._policy.allows(Action.TRANSFER_SHARD) and not await self._transfer_without_workers():
                await self._return_to_home()

    # -- shards whose home controller is there again

    async def _return_to_home(self) -> None:
        for shard in list(self._election.leaderships):
            host = self._home(shard)
            peer = self._peers.get(host)
            leader = self._leaders.get(shard)
            # A peer that has lost the key-value store still names the lease it once had. Its shard was handed to it
            # again and again, each time given up first and claimed anew, and was paused for as long as the cut.
            if peer is not None and peer.fit() and leader is not None and leader.shard.reconciled:
                await self._election.transfer(shard, host, peer.gossip.lease)
                return

    def _home(self, shard: int) -> str:
        hosts = self._settings.hosts
        return hosts[shard] if shard < len(hosts) else ""

    # -- shards whose workers don't reach us

    async def on_misrouted_heartbeat(self, misdirected: MisroutedHeartbeat) -> None:
        """A machine of ours reported to a peer that did not relay the heartbeat: if many do, the shard goes there."""
        leader = self._leaders.get(misdirected.shard)
        if leader is None or not leader.ready or not leader.heartbeat_overdue(misdirected.machine):
            return  # new machines report anywhere; they say nothing of us
        self._worker_link.note_elsewhere(
            misdirected.shard, misdirected.machine, misdirected.host, self._loop.now(), relayed=False
        )
        self._monitor.update()
        if self._policy.allows(Action.TRANSFER_SHARD):
            await self._transfer_without_workers()

    async def _transfer_without_workers(self) -> bool:
        """Hand a shard over that relaying does not serve, or has served for long enough; whether there was one."""
        now = self._loop.now()
        long_enough = self._worker_link.lost_for(now) >= self._relay_for
        for leader in list(self._leaders.values()):
            silent = leader.silent_machines() if leader.ready else 0
            relayed = None if long_enough else False
            if not self._worker_link.lost or not self._worker_link.missing(leader.number, silent, now, relayed):
                continue
            receiver = self._receiver(leader, now)
            if receiver is not None:
                await self._transfer(leader, receiver)
                return True
        return False

    def _receiver(self, leader: ShardLeader, now: timedelta) -> Peer | None:
        fit = {host: peer for host, peer in self._peers.heard().items() if peer.fit()}
        hosts = self._worker_link.hosts(leader.number, now)
        candidates = [
            Candidate(host, heard, sum(shard.machines for shard in fit[host].gossip.shards))
            for host, heard in hosts.items()
            if host in fit
        ]
        chosen = choose_receiver(candidates, len(leader.shard.machines))
        return None if chosen is None else fit[chosen.host]

    async def _transfer(self, leader: ShardLeader, receiver: Peer) -> None:
        host = receiver.gossip.host
        log.warning("event=workers_declared_unreachable shard=%d to=%s", leader.number, host)
        self._worker_link.shard_given_up(leader.number)
        await self._election.transfer(leader.number, host, receiver.gossip.lease)
