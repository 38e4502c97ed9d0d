"""The peers and the shards they lead, as of their last gossip."""

from dataclasses import dataclass, field
from datetime import timedelta
from typing import NamedTuple

from msgspec import UNSET

from badgerroute.connectivity.failure_detector import PEER_TIMEOUT, FailureDetector
from badgerroute.connectivity.modes import Mode
from badgerroute.coordination.leadership.leader_records import LeaderRecords
from badgerroute.coordination.shards.shard_leader import ShardLeader
from badgerroute.protocol import mesh as mesh_wire
from badgerroute.settings import Settings
from badgerroute.transport.loop import Loop

MODE_BY_VALUE = {mode.value: mode for mode in Mode}


@dataclass(slots=True)
class Peer:
    """Another controller, as of its last gossip."""

    failure_detector: FailureDetector
    gossip: mesh_wire.Gossip
    mode: Mode | None = field(init=False)  # None if the peer runs an older version that does not report its mode

    def __post_init__(self) -> None:
        self.mode = MODE_BY_VALUE.get(self.gossip.mode) if isinstance(self.gossip.mode, str) else None

    def may_receive_shard(self) -> bool:
        """Whether a shard may be transferred to this peer, because the peer could lead it immediately."""
        gossip = self.gossip
        return gossip.ready and gossip.store_reachable and gossip.lease > 0 and not gossip.isolated

    def accepts_forwarded_from(self, host: str) -> bool:
        """Whether this peer answers requests forwarded by `host`: it supports that and receives messages of `host`."""
        return self.gossip.relays is True and (self.gossip.hears is UNSET or host in self.gossip.hears)


class ShardReport(NamedTuple):
    """A shard as last reported by the peer that leads it."""

    summary: mesh_wire.ShardSummary
    age: timedelta  # time since the peer's last gossip


class Peers:
    """Keeps the last gossip of each peer, and combines it with the shards that this controller leads."""

    def __init__(
        self, settings: Settings, loop: Loop, leader_records: LeaderRecords, leaders: dict[int, ShardLeader]
    ) -> None:
        self._settings, self._loop, self._leader_records, self._leaders = settings, loop, leader_records, leaders
        hosts = [peer.host_name for peer in settings.platform.peers]
        self.failure_detectors = {host: FailureDetector(PEER_TIMEOUT, loop.now()) for host in hosts}
        self._peers_by_host: dict[str, Peer] = {}  # by host; including suspected peers

    def receive_gossip(self, gossip: mesh_wire.Gossip) -> None:
        """Record the gossip of a peer. Gossip from a host that is not a peer is ignored."""
        failure_detector = self.failure_detectors.get(gossip.host)
        if failure_detector is not None:
            failure_detector.record_heartbeat(self._loop.now())
            self._peers_by_host[gossip.host] = Peer(failure_detector, gossip)

    def reachable_peer(self, host: str) -> Peer | None:
        """Return a peer by its host, or None if it has sent no gossip or is suspected."""
        peer = self._peers_by_host.get(host)
        return peer if peer is not None and not peer.failure_detector.suspected(self._loop.now()) else None

    def reachable(self) -> dict[str, Peer]:
        """Return the peers that have sent gossip and are not suspected, by host."""
        return {host: peer for host in self._peers_by_host if (peer := self.reachable_peer(host)) is not None}

    def summaries(self) -> list[mesh_wire.ShardSummary]:
        """Return a summary of each shard with a reachable leader: the current one if led here, else the last report."""
        summaries = {leader.number: leader.summary() for leader in self._leaders.values() if leader.ready}
        for peer in self.reachable().values():
            for summary in peer.gossip.shards:
                summaries.setdefault(summary.shard, summary)
        return list(summaries.values())

    def shard_reports(self) -> list[ShardReport]:
        """Return the shards of all peers as last reported, including those of suspected peers."""
        now = self._loop.now()
        return [
            ShardReport(summary, peer.failure_detector.heartbeat_age(now))
            for peer in self._peers_by_host.values()
            for summary in peer.gossip.shards
        ]

    def leader_host(self, shard: int) -> str | None:
        """Return the host that leads a shard, according to its leader record or to gossip of a peer with a higher term.

        A controller that can't reach the key-value store learns of newer leaders only from their gossip.
        """
        host, term = self._leader_records.leader_host(shard), self._leader_records.term(shard)
        for peer_host, peer in self.reachable().items():
            for summary in peer.gossip.shards:
                if summary.shard == shard and summary.term > term:
                    host, term = peer_host, summary.term
        return host

    def store_client_count(self) -> int:
        """Return how many controllers may use the key-value store: this one and the peers that lead or may be alive.

        Right after the start of this controller, when it has received no gossip yet, every peer counts.
        """
        now = self._loop.now()
        leader_hosts = {self._leader_records.leader_host(shard) for shard in range(self._settings.params.size)}
        return 1 + sum(
            host in leader_hosts or not failure_detector.presumed_dead(now)
            for host, failure_detector in self.failure_detectors.items()
        )

    def running_task_count(self, ref: str) -> int:
        """Return how many of a job's tasks run, as shown to users."""
        running_locally = sum(
            placement.running_since is not None
            for leader in self._leaders.values()
            if ref in leader.shard.jobs
            for placement in leader.shard.jobs[ref].placements.values()
        )
        running_at_peers = sum(
            summary.running.get(ref, 0)
            for peer in self.reachable().values()
            for summary in peer.gossip.shards
            if summary.shard not in self._leaders
        )
        return running_locally + running_at_peers
