"""Whether the workers reach this controller, from its own members' silence and from what peers hear of them."""

from collections import Counter
from dataclasses import dataclass
from datetime import timedelta

EVIDENCE_TTL = timedelta(seconds=6)
MIN_EVIDENCE = 2  # machines of a shard that heartbeat to peers, at least
SILENT_PER_EVIDENCE = 8  # silent machines for each that must report to a peer
TRIAL = timedelta(seconds=8)  # after a machine answered us, its heartbeats get so long to come back here


@dataclass(frozen=True, slots=True)
class _Elsewhere:
    """A heartbeat of one of our machines that reached a peer."""

    host: str
    at: timedelta
    relayed: bool  # the peer passed it on to us, so the machine was answered


class WorkerLink:
    """The link from all workers to this controller."""

    def __init__(self) -> None:
        self._elsewhere: dict[int, dict[str, _Elsewhere]] = {}  # shard -> machine -> its last such heartbeat
        self._lost_at: timedelta | None = None
        self._trial_ends: timedelta | None = None

    @property
    def lost(self) -> bool:
        """Whether workers report to peers because they don't reach us."""
        return self._lost_at is not None

    def lost_for(self, now: timedelta) -> timedelta:
        """How long that has been so; zero if it is not."""
        return timedelta(0) if self._lost_at is None else now - self._lost_at

    def note_elsewhere(self, shard: int, machine: str, host: str, now: timedelta, relayed: bool) -> None:
        """A member of one of our shards reported to a peer."""
        self._elsewhere.setdefault(shard, {})[machine] = _Elsewhere(host, now, relayed)

    def hosts(self, shard: int, now: timedelta) -> dict[str, int]:
        """The peers that a shard's machines report to, with the number of machines."""
        return dict(Counter(sighting.host for sighting in self._sightings(shard, now)))

    def _sightings(self, shard: int, now: timedelta) -> list[_Elsewhere]:
        sightings = self._elsewhere.get(shard, {})
        for machine in [name for name, sighting in sightings.items() if now - sighting.at > EVIDENCE_TTL]:
            del sightings[machine]
        return list(sightings.values())

    def missing(self, shard: int, silent: int, now: timedelta, relayed: bool | None = None) -> bool:
        """Whether too many of a shard's silent machines report to peers for chance.

        `relayed`: count only those whose heartbeats were passed on to us, or only those whose were not.
        """
        heard = sum(relayed in (None, sighting.relayed) for sighting in self._sightings(shard, now))
        return silent > 0 and heard >= max(MIN_EVIDENCE, silent // SILENT_PER_EVIDENCE)

    def update(self, silent_by_shard: dict[int, int], now: timedelta) -> None:
        """Judge anew. `silent_by_shard`: of each shard that we own, the members whose heartbeats don't come here."""
        on_trial = self._trial_ends is not None and now < self._trial_ends
        if any(self.missing(shard, silent, now) for shard, silent in silent_by_shard.items()):
            if not self.lost and not on_trial:
                self._lost_at = now
        elif silent_by_shard and not any(silent_by_shard.values()):
            self._lost_at = None

    def reached(self, now: timedelta) -> None:
        """A machine has answered us, or one that we don't own has reported: heartbeats may come again."""
        if self.lost:
            self._lost_at = None
            self._trial_ends = now + TRIAL

    def shard_given_up(self, shard: int) -> None:
        """A shard was handed over because its workers don't reach us."""
        self._elsewhere.pop(shard, None)
