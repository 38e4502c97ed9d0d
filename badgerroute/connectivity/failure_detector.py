"""Detects that an endpoint has failed or is cut off: it is suspected when its heartbeats stay out for too long.

The timeout is learned from the intervals between heartbeats, as TCP's retransmission timer is (Jacobson and Karels,
1988): a smoothed interval plus four times its smoothed deviation, within bounds. docs/connectivity.md weighs it against
phi accrual.
"""

from dataclasses import dataclass, field
from datetime import timedelta

INTERVAL_GAIN = 0.125
DEVIATION_GAIN = 0.25
DEVIATIONS = 4
ZERO = timedelta(0)


@dataclass(frozen=True, slots=True)
class TimeoutBounds:
    """The bounds of the learned timeout."""

    minimum: timedelta
    maximum: timedelta


STORE_TIMEOUT = TimeoutBounds(timedelta(seconds=3), timedelta(seconds=6))
PEER_TIMEOUT = TimeoutBounds(timedelta(seconds=3), timedelta(seconds=8))


@dataclass(slots=True)
class FailureDetector:
    """Watches one endpoint. All times are readings of the caller's steady clock.

    Safety never rests on a suspicion: terms, the grace period and the workers' leases are measured elsewhere.
    """

    bounds: TimeoutBounds
    watched_since: timedelta
    last_heartbeat: timedelta | None = None  # None: no heartbeat has come yet
    _interval: timedelta = field(default=ZERO)  # smoothed
    _deviation: timedelta = field(default=ZERO)  # smoothed

    def record_heartbeat(self, received_at: timedelta) -> None:
        """Record a heartbeat, or any other sign of life. One that is older than the last changes nothing."""
        if self.last_heartbeat is not None:
            if received_at <= self.last_heartbeat:
                return
            # The length of a cut is not an interval: learned as one, it would delay the detection of the next cut.
            self._learn(min(received_at - self.last_heartbeat, self.bounds.minimum))
        self.last_heartbeat = received_at

    def _learn(self, interval: timedelta) -> None:
        error = interval - self._interval
        self._interval += INTERVAL_GAIN * error
        self._deviation += DEVIATION_GAIN * (abs(error) - self._deviation)

    @property
    def timeout(self) -> timedelta:
        """The time without a heartbeat after which the endpoint is suspected."""
        return min(max(self._interval + DEVIATIONS * self._deviation, self.bounds.minimum), self.bounds.maximum)

    def heartbeat_age(self, now: timedelta) -> timedelta:
        """The time since the last heartbeat; since the endpoint is watched, if there was none."""
        return now - (self.watched_since if self.last_heartbeat is None else self.last_heartbeat)

    def suspected(self, now: timedelta) -> bool:
        """Whether the endpoint has missed heartbeats for longer than its timeout."""
        return self.heartbeat_age(now) >= self.timeout

    def presumed_dead(self, now: timedelta) -> bool:
        """Whether the endpoint has missed heartbeats for longer than the longest timeout."""
        return self.heartbeat_age(now) >= self.bounds.maximum

    def discount_pause(self, process_pause: timedelta, now: timedelta) -> None:
        """Don't count a pause of this process, in which it could receive nothing, as missed heartbeats."""
        if self.last_heartbeat is not None:
            self.last_heartbeat = min(now, self.last_heartbeat + process_pause)
