"""How long a endpoint may be silent before it is suspected, learned from the intervals at which it was heard.

The estimate is that of TCP's retransmission timer (Jacobson and Karels, 1988): a smoothed interval plus four times its
smoothed deviation, within bounds. docs/connectivity.md weighs it against phi accrual.
"""

from dataclasses import dataclass, field
from datetime import timedelta

INTERVAL_GAIN = 0.125
DEVIATION_GAIN = 0.25
DEVIATIONS = 4
ZERO = timedelta(0)


@dataclass(frozen=True, slots=True)
class SuspicionBounds:
    """The least and the longest silence after which a endpoint may be suspected."""

    least: timedelta
    most: timedelta


STATE_SERVICE = SuspicionBounds(timedelta(seconds=3), timedelta(seconds=6))
PEER = SuspicionBounds(timedelta(seconds=3), timedelta(seconds=8))


@dataclass(slots=True)
class Link:
    """One endpoint as it is heard. All times are readings of the caller's steady clock.

    A link decides nothing that safety rests on: terms, the grace period and the workers' leases are measured elsewhere.
    """

    bounds: SuspicionBounds
    since: timedelta  # when the link began to be watched
    last_heard: timedelta | None = None
    _interval: timedelta = field(default=ZERO)
    _deviation: timedelta = field(default=ZERO)

    def heard(self, now: timedelta) -> None:
        """Note a sign of life. One that is older than the last changes nothing."""
        if self.last_heard is not None:
            if now <= self.last_heard:
                return
            # A cut is no sample: it would make the next one go unnoticed for longer.
            self._learn(min(now - self.last_heard, self.bounds.least))
        self.last_heard = now

    def _learn(self, interval: timedelta) -> None:
        error = interval - self._interval
        self._interval += INTERVAL_GAIN * error
        self._deviation += DEVIATION_GAIN * (abs(error) - self._deviation)

    @property
    def patience(self) -> timedelta:
        """The silence after which the endpoint is suspected."""
        return min(max(self._interval + DEVIATIONS * self._deviation, self.bounds.least), self.bounds.most)

    def silence(self, now: timedelta) -> timedelta:
        """How long the endpoint has not been heard; since the link is watched, if it never was."""
        return now - (self.since if self.last_heard is None else self.last_heard)

    def suspected(self, now: timedelta) -> bool:
        """Whether the endpoint has been silent for too long."""
        return self.silence(now) >= self.patience

    def gone(self, now: timedelta) -> bool:
        """Whether the endpoint has been silent for longer than any delay that is bridged."""
        return self.silence(now) >= self.bounds.most

    def excuse(self, process_pause: timedelta, now: timedelta) -> None:
        """Don't count a pause of our own process as the endpoint's silence."""
        if self.last_heard is not None:
            self.last_heard = min(now, self.last_heard + process_pause)
