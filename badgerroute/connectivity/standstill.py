"""Recognises that the own process stood still: a periodic duty comes much later than it was due."""

from datetime import timedelta

LEAST_STANDSTILL = timedelta(seconds=1)  # less is ordinary load
ZERO = timedelta(0)


class StandstillDetector:
    """Told of every turn of a duty that is due once a period."""

    def __init__(self, period: timedelta, now: timedelta) -> None:
        self._period, self._turn = period, now
        self.awake_since = now  # the end of the last standstill, or the start

    def turn(self, now: timedelta) -> timedelta:
        """Note a turn; how long the process stood still before it, zero if it did not."""
        late = now - self._turn - self._period
        self._turn = now
        if late < LEAST_STANDSTILL:
            return ZERO
        self.awake_since = now
        return late
