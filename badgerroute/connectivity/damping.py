"""Damping of flapping links, after BGP's route flap damping (RFC 2439): a penalty that grows and decays.

It delays voluntary transfers alone. A shard that has no leader is campaigned for whatever the penalty.
"""

from dataclasses import dataclass, field
from datetime import timedelta

from badgerroute.settings import Connectivity

ZERO = timedelta(0)
PENALTY_PER_LOSS = 1.0
MAX_PENALTY = 8.0
MAX_COUNTED_HALF_LIVES = 64.0  # beyond these nothing of a penalty is left


@dataclass(slots=True)
class FlapDamping:
    """How long links must have been good before shards come back.

    That is `base_delay` without a penalty, and doubles with each point of it up to `max_delay`. The penalty halves in
    each `half_life`.
    """

    base_delay: timedelta
    max_delay: timedelta
    half_life: timedelta
    _penalty: float = 0.0  # at the last loss
    _last_loss: timedelta = field(default=ZERO)

    @classmethod
    def from_settings(cls, settings: Connectivity) -> "FlapDamping":
        """The damping that the operators have set."""
        return cls(settings.settle, settings.longest_settle, settings.penalty_half_life)

    def penalty(self, now: timedelta) -> float:
        """The penalty, as far as it has not decayed."""
        half_lives = min((now - self._last_loss) / self.half_life, MAX_COUNTED_HALF_LIVES)
        return float(self._penalty * 0.5 ** max(0.0, half_lives))

    def record_loss(self, now: timedelta) -> None:
        """A link was lost."""
        self._penalty = min(MAX_PENALTY, self.penalty(now) + PENALTY_PER_LOSS)
        self._last_loss = now

    def extra_delay(self, now: timedelta) -> timedelta:
        """How much `delay` exceeds `base_delay`."""
        return max(ZERO, self.delay(now) - self.base_delay)

    def delay(self, now: timedelta) -> timedelta:
        """How long links must have been good by now. The first loss costs no more than `base_delay`."""
        penalty_beyond_first_loss = max(0.0, self.penalty(now) - PENALTY_PER_LOSS)
        return min(self.max_delay, self.base_delay * 2.0**penalty_beyond_first_loss)
