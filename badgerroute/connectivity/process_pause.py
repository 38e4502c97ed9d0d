"""Detects that this process was paused: a periodic task then runs much later than scheduled."""

from datetime import timedelta

MIN_PAUSE = timedelta(seconds=1)  # shorter delays occur under normal load
ZERO = timedelta(0)


class PauseDetector:
    """Measures the delay of a task that calls `tick` once in each `period`."""

    def __init__(self, period: timedelta, now: timedelta) -> None:
        self._period, self._last_tick = period, now
        self.resumed_at = now  # the end of the last pause, or the start of the process

    def tick(self, now: timedelta) -> timedelta:
        """Record a run of the task, and return how long the process was paused before this run, or zero."""
        delay = now - self._last_tick - self._period
        self._last_tick = now
        if delay < MIN_PAUSE:
            return ZERO
        self.resumed_at = now
        return delay
