"""Detects that this process was paused: a periodic task runs much later than it was due."""

from datetime import timedelta

MIN_PAUSE = timedelta(seconds=1)  # less is ordinary load
ZERO = timedelta(0)


class PauseDetector:
    """To be ticked by a task that runs once a `period`."""

    def __init__(self, period: timedelta, now: timedelta) -> None:
        self._period, self._last_tick = period, now
        self.resumed_at = now  # the end of the last pause, or the start of the process

    def tick(self, now: timedelta) -> timedelta:
        """Record a run of the task; returns how long the process was paused before it, zero if it was not."""
        delay = now - self._last_tick - self._period
        self._last_tick = now
        if delay < MIN_PAUSE:
            return ZERO
        self.resumed_at = now
        return delay
