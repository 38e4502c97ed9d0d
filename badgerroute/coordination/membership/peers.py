"""The other controllers as they last reported, and with them the state of all shards."""

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
    """Another controller, by its last gossip."""

    failure_detector: FailureDetector
    gossip: mesh_wire.Gossip
    mode: Mode | None = field(init=False)  # None: its version does not report its mode

    def __post_init__(self) -> None:
        self.mode = MODE_BY_VALUE.get(self.gossip.mode) if isinstance(self.gossip.mode, str) else None

    def may_receive_shard(self) -> bool:
        """Whether a shard may be transferred to it: it could write and serve it at once."""
        gossip = self.gossip
        return gossip.ready and gossip.store_reachable and gossip.lease > 0 and not gossip.isolated

    def accepts_forwarded_from(self, host: str) -> bool:
        """Whether it answers requests that this host forwards, so far as it receives them."""
        return self.gossip.relays is True and (self.gossip.hears is UNSET or host in self.gossip.hears)


class ShardReport(NamedTuple):
    """A peer's shard as last reported."""

    summary: mesh_wire.ShardSummary
    age: timedelta  # of the peer's last gossip


class Peers:
    """The other controllers by their last gossip, and the shards that they and this controller lead."""

    def __init__(
        self, settings: Settings, loop: Loop, leader_records: LeaderRecords, leaders: dict[int, ShardLeader]
    ) -> None:
        self._settings, self._loop, self._leader_records, self._leaders = settings, loop, leader_records, leaders
        hosts = [peer.host_name for peer in settings.platform.peers]
        self.failure_detectors = {host: FailureDetector(PEER_TIMEOUT, loop.now()) for host in hosts}
        self._peers_by_host: dict[str, Peer] = {}  # by host, also of peers that are suspected

    def receive_gossip(self, gossip: mesh_wire.Gossip) -> None:
        """Take in what another controller reports. A host that is no peer is ignored."""
        failure_detector = self.failure_detectors.get(gossip.host)
        if failure_detector is not None:
            failure_detector.record_heartbeat(self._loop.now())
            self._peers_by_host[gossip.host] = Peer(failure_detector, gossip)

    def reachable_peer(self, host: str) -> Peer | None:
        """A controller by its host; None if it never reported, or is suspected."""
        peer = self._peers_by_host.get(host)
        return peer if peer is not None and not peer.failure_detector.suspected(self._loop.now()) else None

    def reachable(self) -> dict[str, Peer]:
        """All controllers that have reported and are not suspected, by host."""
        return {host: peer for host in self._peers_by_host if (peer := self.reachable_peer(host)) is not None}

    def summaries(self) -> list[mesh_wire.ShardSummary]:
        """One summary of each shard whose leader is reachable: our own as they are, the others' as last reported."""
        summaries = {leader.number: leader.summary() for leader in self._leaders.values() if leader.ready}
        for peer in self.reachable().values():
            for summary in peer.gossip.shards:
                summaries.setdefault(summary.shard, summary)
        return list(summaries.values())

    def shard_reports(self) -> list[ShardReport]:
        """The other controllers' shards as last reported, also by controllers that are suspected."""
        now = self._loop.now()
        return [
            ShardReport(summary, peer.failure_detector.heartbeat_age(now))
            for peer in self._peers_by_host.values()
            for summary in peer.gossip.shards
        ]

    def leader(self, shard: int) -> str | None:
        """The host that leads a shard: by the leader record as known here, or by a peer that reports a higher term.

        A controller that has lost the key-value store learns of newer leaders only from their gossip.
        """
        host, term = self._leader_records.leader(shard), self._leader_records.term(shard)
        for peer_host, peer in self.reachable().items():
            for summary in peer.gossip.shards:
                if summary.shard == shard and summary.term > term:
                    host, term = peer_host, summary.term
        return host

    def store_client_count(self) -> int:
        """How many controllers may be using the key-value store: this one, and all that may be alive or lead a shard.

        Right after the start no gossip has come yet, and every peer counts.
        """
        now = self._loop.now()
        leader_hosts = {self._leader_records.leader(shard) for shard in range(self._settings.params.size)}
        return 1 + sum(
            host in leader_hosts or not failure_detector.presumed_dead(now)
            for host, failure_detector in self.failure_detectors.items()
        )

    def running(self, ref: str) -> int:
        """How many of a job's tasks run, for display."""
        running_locally = sum(
            placement.running_since is not None
            for leader in self._leaders.values()
            if ref in leader.shard.jobs
            for placement in leader.shard.jobs[ref].placed.values()
        )
        running_at_peers = sum(
            summary.running.get(ref, 0)
            for peer in self.reachable().values()
            for summary in peer.gossip.shards
            if summary.shard not in self._leaders
        )
        return running_locally + running_at_peers
