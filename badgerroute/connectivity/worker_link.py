"""Judges whether the workers reach this controller, by their overdue heartbeats and by those that reach peers."""

from collections import Counter
from dataclasses import dataclass
from datetime import timedelta

PEER_HEARTBEAT_TTL = timedelta(seconds=6)
MIN_MACHINES_AT_PEERS = 2  # machines of a shard that heartbeat to peers, at least
OVERDUE_PER_MACHINE_AT_PEERS = 8  # machines with overdue heartbeats for each that must heartbeat to a peer
PROBATION = timedelta(seconds=8)  # after a machine answered us, its heartbeats get so long to come back here


@dataclass(frozen=True, slots=True)
class _PeerHeartbeat:
    """The last heartbeat of one of our machines that reached a peer."""

    peer: str
    received_at: timedelta
    relayed: bool  # the peer passed it on to us, so the machine was answered


class WorkerLink:
    """The link from all workers to this controller.

    Overdue heartbeats alone prove nothing, since the machines may be gone: peers must receive some of them.
    """

    def __init__(self) -> None:
        self._peer_heartbeats: dict[int, dict[str, _PeerHeartbeat]] = {}  # shard -> machine -> its last one
        self._lost_at: timedelta | None = None  # None: the link is good
        self._probation_ends: timedelta | None = None

    @property
    def lost(self) -> bool:
        """Whether workers heartbeat to peers because they don't reach this controller."""
        return self._lost_at is not None

    def lost_for(self, now: timedelta) -> timedelta:
        """How long the link has been lost; zero if it is not."""
        return timedelta(0) if self._lost_at is None else now - self._lost_at

    def record_peer_heartbeat(self, shard: int, machine: str, peer: str, now: timedelta, relayed: bool) -> None:
        """A member of one of our shards sent a heartbeat to a peer."""
        self._peer_heartbeats.setdefault(shard, {})[machine] = _PeerHeartbeat(peer, now, relayed)

    def machines_by_peer(self, shard: int, now: timedelta) -> dict[str, int]:
        """The peers that a shard's machines heartbeat to, with the number of machines."""
        return dict(Counter(heartbeat.peer for heartbeat in self._recent_peer_heartbeats(shard, now)))

    def _recent_peer_heartbeats(self, shard: int, now: timedelta) -> list[_PeerHeartbeat]:
        heartbeats = self._peer_heartbeats.get(shard, {})
        for machine in [
            name for name, heartbeat in heartbeats.items() if now - heartbeat.received_at > PEER_HEARTBEAT_TTL
        ]:
            del heartbeats[machine]
        return list(heartbeats.values())

    def shard_suspected(self, shard: int, overdue: int, now: timedelta, unrelayed_only: bool = False) -> bool:
        """Whether so many of a shard's machines heartbeat to peers that chance does not explain it.

        `overdue`: how many of its machines' heartbeats are; `unrelayed_only`: count only machines whose heartbeats were
        not passed on to us.
        """
        machines_at_peers = sum(
            not (unrelayed_only and heartbeat.relayed) for heartbeat in self._recent_peer_heartbeats(shard, now)
        )
        return overdue > 0 and machines_at_peers >= max(MIN_MACHINES_AT_PEERS, overdue // OVERDUE_PER_MACHINE_AT_PEERS)

    def update(self, overdue_by_shard: dict[int, int], now: timedelta) -> None:
        """Judge the link anew. `overdue_by_shard`: of each shard that we lead, the members with overdue heartbeats."""
        in_probation = self._probation_ends is not None and now < self._probation_ends
        if any(self.shard_suspected(shard, overdue, now) for shard, overdue in overdue_by_shard.items()):
            if not self.lost and not in_probation:
                self._lost_at = now
        elif overdue_by_shard and not any(overdue_by_shard.values()):
            self._lost_at = None

    def machine_reached(self, now: timedelta) -> None:
        """A machine answered us, or reported here though we lead no shard: heartbeats may come again."""
        if self.lost:
            self._lost_at = None
            self._probation_ends = now + PROBATION

    def forget_shard(self, shard: int) -> None:
        """A shard was transferred because its workers don't reach us."""
        self._peer_heartbeats.pop(shard, None)
