"""Damping of flapping links, after BGP's route flap damping (RFC 2439): a penalty that grows and decays.

It delays voluntary moves alone. A shard that has no leader is claimed whatever the penalty.
"""

from dataclasses import dataclass, field
from datetime import timedelta

from badgerroute.settings import Connectivity

ZERO = timedelta(0)
PENALTY_PER_CHANGE = 1.0
MAX_PENALTY = 8.0
MAX_HALF_LIVES = 64.0  # beyond these nothing of a penalty is left


@dataclass(slots=True)
class FlapDamping:
    """How long links must have been good before shards come back.

    `base_delay` holds without a penalty, and doubles with each point of it up to `longest`. The penalty halves once a
    `half_life`.
    """

    base_delay: timedelta
    longest: timedelta
    half_life: timedelta
    _penalty: float = 0.0
    _noted: timedelta = field(default=ZERO)

    @classmethod
    def from_settings(cls, settings: Connectivity) -> "FlapDamping":
        """The damping that an operator has set."""
        return cls(settings.settle, settings.longest_settle, settings.penalty_half_life)

    def penalty(self, now: timedelta) -> float:
        """What is left of the penalty."""
        half_lives = min((now - self._noted) / self.half_life, MAX_HALF_LIVES)
        return float(self._penalty * 0.5 ** max(0.0, half_lives))

    def note_change(self, now: timedelta) -> None:
        """A link was lost."""
        self._penalty = min(MAX_PENALTY, self.penalty(now) + PENALTY_PER_CHANGE)
        self._noted = now

    def extra(self, now: timedelta) -> timedelta:
        """How much longer than `base_delay` that is."""
        return max(ZERO, self.delay(now) - self.base_delay)

    def delay(self, now: timedelta) -> timedelta:
        """How long links must have been good by now. The first loss costs no more than `base_delay`."""
        extra = max(0.0, self.penalty(now) - PENALTY_PER_CHANGE)
        return min(self.longest, self.base_delay * 2.0**extra)
