"""Recognises that the own process was paused: a periodic duty comes much later than it was due."""

from datetime import timedelta

MIN_PAUSE = timedelta(seconds=1)  # less is ordinary load
ZERO = timedelta(0)


class PauseDetector:
    """Told of every turn of a duty that is due once a period."""

    def __init__(self, period: timedelta, now: timedelta) -> None:
        self._period, self._turn = period, now
        self.resumed_at = now  # the end of the last pause, or the start

    def turn(self, now: timedelta) -> timedelta:
        """Note a turn; how long the process was paused before it, zero if it did not."""
        late = now - self._turn - self._period
        self._turn = now
        if late < MIN_PAUSE:
            return ZERO
        self.resumed_at = now
        return late
