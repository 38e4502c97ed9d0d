"""What is known of the other controllers, and with them of all shards."""

from dataclasses import dataclass, field
from datetime import timedelta

from msgspec import UNSET

from badgerroute.connectivity.links import PEER, Link
from badgerroute.connectivity.modes import Mode
from badgerroute.coordination.leadership.leader_records import LeaderRecords
from badgerroute.coordination.shards.shard_leader import ShardLeader
from badgerroute.protocol import mesh as mesh_wire
from badgerroute.settings import Settings
from badgerroute.transport.loop import Loop


@dataclass(slots=True)
class Peer:
    """Another controller: the link to it, and what it said last."""

    link: Link
    gossip: mesh_wire.Gossip
    mode: Mode | None = field(init=False)  # None: it is of a version that doesn't say

    def __post_init__(self) -> None:
        names = {mode.value: mode for mode in Mode}
        self.mode = names.get(self.gossip.mode) if isinstance(self.gossip.mode, str) else None

    def fit(self) -> bool:
        """Whether a shard may be given to it."""
        gossip = self.gossip
        return gossip.ready and gossip.store_reachable and gossip.lease > 0 and not gossip.isolated

    def takes_forwarded(self, host: str) -> bool:
        """Whether it answers requests that this host passes on."""
        return self.gossip.relays is True and (self.gossip.hears is UNSET or host in self.gossip.hears)


class Peers:
    """The other controllers as they were last heard, and our own shards beside theirs."""

    def __init__(
        self, settings: Settings, loop: Loop, leader_records: LeaderRecords, leaders: dict[int, ShardLeader]
    ) -> None:
        self._settings, self._loop, self._leader_records, self._leaders = settings, loop, leader_records, leaders
        hosts = [peer.host_name for peer in settings.platform.peers]
        self.links = {host: Link(PEER, loop.now()) for host in hosts}
        self._known: dict[str, Peer] = {}

    def hear(self, gossip: mesh_wire.Gossip) -> None:
        """Take in what another controller says."""
        link = self.links.get(gossip.host)
        if link is not None:
            link.heard(self._loop.now())
            self._known[gossip.host] = Peer(link, gossip)

    def get(self, host: str) -> Peer | None:
        """A controller that is heard."""
        peer = self._known.get(host)
        return peer if peer is not None and not peer.link.suspected(self._loop.now()) else None

    def heard(self) -> dict[str, Peer]:
        """All controllers that are heard, by host."""
        return {host: peer for host in self._known if (peer := self.get(host)) is not None}

    def summaries(self) -> list[mesh_wire.ShardSummary]:
        """Of all shards that are known of: our own as they are, the others' as last heard."""
        summaries = {leader.number: leader.summary() for leader in self._leaders.values() if leader.ready}
        for peer in self.heard().values():
            for summary in peer.gossip.shards:
                summaries.setdefault(summary.shard, summary)
        return list(summaries.values())

    def last_heard_shards(self) -> list[tuple[mesh_wire.ShardSummary, timedelta]]:
        """The other controllers' shards as they were told last, and how long ago that was."""
        now = self._loop.now()
        return [(shard, peer.link.silence(now)) for peer in self._known.values() for shard in peer.gossip.shards]

    def leader(self, shard: int) -> str | None:
        """The host that holds a shard: by the leadership as it is known here, or by a peer that names a higher term.

        A controller that has lost the key-value store learns only from the peers who came after it.
        """
        host, term = self._leader_records.leader(shard), self._leader_records.term(shard)
        for name, peer in self.heard().items():
            for summary in peer.gossip.shards:
                if summary.shard == shard and summary.term > term:
                    host, term = name, summary.term
        return host

    def in_use(self) -> int:
        """How many controllers may be using the key-value store: this one, and all that are heard or hold a claim.

        Right after the start nobody has been heard yet, so none is counted out then.
        """
        now = self._loop.now()
        led = {self._leader_records.leader(shard) for shard in range(self._settings.params.size)}
        return 1 + sum(host in led or not link.gone(now) for host, link in self.links.items())

    def running(self, ref: str) -> int:
        """How many of a job's tasks run, for display."""
        here = sum(
            placement.running_since is not None
            for leader in self._leaders.values()
            if ref in leader.shard.jobs
            for placement in leader.shard.jobs[ref].placed.values()
        )
        there = sum(
            summary.running.get(ref, 0)
            for peer in self.heard().values()
            for summary in peer.gossip.shards
            if summary.shard not in self._leaders
        )
        return here + there
