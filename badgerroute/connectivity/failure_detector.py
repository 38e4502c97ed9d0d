"""Detects that an endpoint has failed or is unreachable: it is suspected once no heartbeat arrives within a timeout.

The timeout adapts to the intervals between heartbeats, as TCP's retransmission timeout does (Jacobson and Karels,
1988): a smoothed interval plus four times its smoothed deviation, within bounds. docs/connectivity.md compares this
with the phi accrual detector.
"""

from dataclasses import dataclass, field
from datetime import timedelta

INTERVAL_GAIN = 0.125
DEVIATION_GAIN = 0.25
DEVIATION_FACTOR = 4
ZERO = timedelta(0)


@dataclass(frozen=True, slots=True)
class TimeoutBounds:
    """The bounds of the adaptive timeout."""

    minimum: timedelta
    maximum: timedelta


STORE_TIMEOUT = TimeoutBounds(timedelta(seconds=3), timedelta(seconds=6))
PEER_TIMEOUT = TimeoutBounds(timedelta(seconds=3), timedelta(seconds=8))


@dataclass(slots=True)
class FailureDetector:
    """Monitors one endpoint. All times are readings of the caller's monotonic clock.

    A suspicion may be wrong, so safety does not depend on suspicions. It depends on terms, the grace period and the
    workers' leases.
    """

    bounds: TimeoutBounds
    monitored_since: timedelta
    last_heartbeat: timedelta | None = None  # None before the first heartbeat
    _interval: timedelta = field(default=ZERO)  # smoothed
    _deviation: timedelta = field(default=ZERO)  # smoothed

    def record_heartbeat(self, received_at: timedelta) -> None:
        """Record a heartbeat or any other message of the endpoint. It is ignored if it is older than the last one."""
        if self.last_heartbeat is not None:
            if received_at <= self.last_heartbeat:
                return
            # A gap during a network partition is no regular interval: it would delay detection of the next partition.
            self._update_timeout(min(received_at - self.last_heartbeat, self.bounds.minimum))
        self.last_heartbeat = received_at

    def _update_timeout(self, interval: timedelta) -> None:
        deviation = interval - self._interval
        self._interval += INTERVAL_GAIN * deviation
        self._deviation += DEVIATION_GAIN * (abs(deviation) - self._deviation)

    @property
    def timeout(self) -> timedelta:
        """The time without a heartbeat after which the endpoint is suspected."""
        return min(max(self._interval + DEVIATION_FACTOR * self._deviation, self.bounds.minimum), self.bounds.maximum)

    def heartbeat_age(self, now: timedelta) -> timedelta:
        """Return the time since the last heartbeat, or since monitoring began if there was none."""
        return now - (self.monitored_since if self.last_heartbeat is None else self.last_heartbeat)

    def suspected(self, now: timedelta) -> bool:
        """Whether the last heartbeat is older than the timeout."""
        return self.heartbeat_age(now) >= self.timeout

    def presumed_dead(self, now: timedelta) -> bool:
        """Whether the last heartbeat is older than the maximum timeout."""
        return self.heartbeat_age(now) >= self.bounds.maximum

    def discount_pause(self, process_pause: timedelta, now: timedelta) -> None:
        """Exclude a pause of this process, during which it could receive nothing, from the heartbeat's age."""
        if self.last_heartbeat is not None:
            self.last_heartbeat = min(now, self.last_heartbeat + process_pause)
