"""Clocks. A steady time is a `timedelta` since an arbitrary origin; a time of day is a `datetime`."""

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol

ZERO = timedelta(0)


def seconds(value: float) -> timedelta:
    """So many seconds as a `timedelta`."""
    return timedelta(seconds=value)


class Clock(Protocol):
    """Where the program gets its times from."""

    def now(self) -> timedelta:
        """Steady time: never goes back, may drift."""

    def today(self) -> datetime:
        """Time of day; wrong by up to the bound that the platform settings give (`time_bound_ms`)."""


class SystemClock:
    """The machine's clocks."""

    def now(self) -> timedelta:
        """See Clock."""
        return timedelta(seconds=time.monotonic())

    def today(self) -> datetime:
        """See Clock."""
        return datetime.now(UTC)


class VirtualClock:
    """Time that moves only by `advance`, so that a day can be replayed in a moment."""

    def __init__(self, start: datetime = datetime(2026, 1, 1, tzinfo=UTC)) -> None:
        self._start = start
        self._elapsed = ZERO

    def now(self) -> timedelta:
        """See Clock."""
        return self._elapsed

    def today(self) -> datetime:
        """See Clock."""
        return self._start + self._elapsed

    def advance(self, to: timedelta) -> None:
        """Move on to a time; never back."""
        self._elapsed = max(self._elapsed, to)
