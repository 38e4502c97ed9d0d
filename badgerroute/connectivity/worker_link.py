"""Detects that workers can't reach this controller: heartbeats are overdue here, and peers receive some of them."""

from collections import Counter
from dataclasses import dataclass
from datetime import timedelta

PEER_HEARTBEAT_TTL = timedelta(seconds=6)
MIN_MACHINES_AT_PEERS = 2  # at least this many machines of one shard must send heartbeats to peers
OVERDUE_PER_MACHINE_AT_PEERS = 8  # and at least one for each 8 machines with overdue heartbeats
PROBATION = timedelta(seconds=8)  # once a worker was reached, the link is not lost again for this long


@dataclass(frozen=True, slots=True)
class _PeerHeartbeat:
    """The last heartbeat that a machine of a shard led here sent to a peer."""

    peer: str
    received_at: timedelta
    relayed: bool  # the peer forwarded it to this controller, so the machine received a response


class WorkerLink:
    """The state of the link from all workers to this controller.

    Overdue heartbeats alone don't show that the link is lost, since the machines may have failed. Peers must also
    have received heartbeats from some machines of the same shard.
    """

    def __init__(self) -> None:
        self._peer_heartbeats: dict[int, dict[str, _PeerHeartbeat]] = {}  # by shard and machine
        self._lost_at: timedelta | None = None  # None while the link is up
        self._probation_ends: timedelta | None = None

    @property
    def lost(self) -> bool:
        """Whether workers send heartbeats to peers because they can't reach this controller."""
        return self._lost_at is not None

    def lost_for(self, now: timedelta) -> timedelta:
        """Return how long the link has been lost, or zero if it is up."""
        return timedelta(0) if self._lost_at is None else now - self._lost_at

    def record_peer_heartbeat(self, shard: int, machine: str, peer: str, now: timedelta, relayed: bool) -> None:
        """Record that a machine of a shard led here sent a heartbeat to a peer."""
        self._peer_heartbeats.setdefault(shard, {})[machine] = _PeerHeartbeat(peer, now, relayed)

    def machines_by_peer(self, shard: int, now: timedelta) -> dict[str, int]:
        """Return how many of a shard's machines send heartbeats to each peer."""
        return dict(Counter(heartbeat.peer for heartbeat in self._recent_peer_heartbeats(shard, now)))

    def _recent_peer_heartbeats(self, shard: int, now: timedelta) -> list[_PeerHeartbeat]:
        heartbeats = self._peer_heartbeats.get(shard, {})
        for machine in [
            name for name, heartbeat in heartbeats.items() if now - heartbeat.received_at > PEER_HEARTBEAT_TTL
        ]:
            del heartbeats[machine]
        return list(heartbeats.values())

    def shard_suspected(self, shard: int, overdue: int, now: timedelta, unrelayed_only: bool = False) -> bool:
        """Whether machines of a shard probably can't reach this controller.

        This is the case if heartbeats are overdue, and if at least `MIN_MACHINES_AT_PEERS` of them, and at least one
        for every 8 with overdue heartbeats, sent heartbeats to peers recently. `overdue` is the number of machines with
        overdue heartbeats. With `unrelayed_only`, machines whose heartbeats the peer relayed to this controller don't
        count.
        """
        machines_at_peers = sum(
            not (unrelayed_only and heartbeat.relayed) for heartbeat in self._recent_peer_heartbeats(shard, now)
        )
        return overdue > 0 and machines_at_peers >= max(MIN_MACHINES_AT_PEERS, overdue // OVERDUE_PER_MACHINE_AT_PEERS)

    def update(self, overdue_by_shard: dict[int, int], now: timedelta) -> None:
        """Update the state of the link from the number of machines with overdue heartbeats in each shard led here."""
        in_probation = self._probation_ends is not None and now < self._probation_ends
        if any(self.shard_suspected(shard, overdue, now) for shard, overdue in overdue_by_shard.items()):
            if not self.lost and not in_probation:
                self._lost_at = now
        elif overdue_by_shard and not any(overdue_by_shard.values()):
            self._lost_at = None

    def record_machine_reached(self, now: timedelta) -> None:
        """Consider the link up: a machine answered a probe, or sent a heartbeat here while no shard is led here."""
        if self.lost:
            self._lost_at = None
            self._probation_ends = now + PROBATION

    def forget_shard(self, shard: int) -> None:
        """Drop the heartbeat records of a shard that was transferred to another controller."""
        self._peer_heartbeats.pop(shard, None)
