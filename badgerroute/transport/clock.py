"""Clocks. Monotonic time is a `timedelta` since an arbitrary origin; wall-clock time is a `datetime` in UTC."""

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol

ZERO = timedelta(0)


def seconds(value: float) -> timedelta:
    """Convert a number of seconds to a `timedelta`."""
    return timedelta(seconds=value)


class Clock(Protocol):
    """The source of all times: a monotonic clock and a wall clock."""

    def now(self) -> timedelta:
        """Return the monotonic time. It never goes back, but its rate may differ slightly from that of other hosts."""

    def today(self) -> datetime:
        """Return the wall-clock time, whose error is at most the platform setting `time_bound_ms`."""


class SystemClock:
    """The clocks of the operating system."""

    def now(self) -> timedelta:
        """Return the operating system's monotonic time."""
        return timedelta(seconds=time.monotonic())

    def today(self) -> datetime:
        """Return the operating system's wall-clock time."""
        return datetime.now(UTC)


class VirtualClock:
    """A simulated clock that moves only when `advance` is called, so that tests can simulate long periods quickly."""

    def __init__(self, start: datetime = datetime(2026, 1, 1, tzinfo=UTC)) -> None:
        self._start = start
        self._elapsed = ZERO

    def now(self) -> timedelta:
        """Return the simulated monotonic time."""
        return self._elapsed

    def today(self) -> datetime:
        """Return the simulated wall-clock time, which never deviates from the monotonic time."""
        return self._start + self._elapsed

    def advance(self, to: timedelta) -> None:
        """Set the monotonic time; an earlier time than the current one has no effect."""
        self._elapsed = max(self._elapsed, to)
