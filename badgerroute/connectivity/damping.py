"""Damping of flapping links by a decaying penalty, modelled on BGP route flap damping (RFC 2439).

Damping only delays voluntary transfers of shards, never a campaign for a shard without a leader.
"""

from dataclasses import dataclass, field
from datetime import timedelta

from badgerroute.settings import Connectivity

ZERO = timedelta(0)
PENALTY_PER_LOSS = 1.0
MAX_PENALTY = 8.0
MAX_COUNTED_HALF_LIVES = 64.0  # later the penalty is negligible; the bound keeps the exponent small


@dataclass(slots=True)
class FlapDamping:
    """Computes how long all links must have been up before this controller may receive shards again.

    Every lost link adds to a penalty, which halves in each `half_life`. The delay is `base_delay` after the first loss,
    and doubles with each further point of penalty up to `max_delay`.
    """

    base_delay: timedelta
    max_delay: timedelta
    half_life: timedelta
    _penalty: float = 0.0  # at the time of the last loss, before any later decay
    _last_loss: timedelta = field(default=ZERO)

    @classmethod
    def from_settings(cls, settings: Connectivity) -> "FlapDamping":
        """Create the damping from the operator settings."""
        return cls(settings.settle_time, settings.max_settle_time, settings.penalty_half_life)

    def penalty(self, now: timedelta) -> float:
        """Return the penalty at `now`, after its decay since the last loss."""
        half_lives = min((now - self._last_loss) / self.half_life, MAX_COUNTED_HALF_LIVES)
        return float(self._penalty * 0.5 ** max(0.0, half_lives))

    def record_loss(self, now: timedelta) -> None:
        """Increase the penalty because a link was lost."""
        self._penalty = min(MAX_PENALTY, self.penalty(now) + PENALTY_PER_LOSS)
        self._last_loss = now

    def extra_delay(self, now: timedelta) -> timedelta:
        """Return by how much `delay` exceeds `base_delay`."""
        return max(ZERO, self.delay(now) - self.base_delay)

    def delay(self, now: timedelta) -> timedelta:
        """Return how long all links must have been up. After a first loss this is `base_delay`."""
        penalty_beyond_first_loss = max(0.0, self.penalty(now) - PENALTY_PER_LOSS)
        return min(self.max_delay, self.base_delay * 2.0**penalty_beyond_first_loss)
