"""How large transactions and values may be: as the settings say, and smaller for a while if the service refuses more.

Where the settings announce a limit it is kept from the first write on, so a refusal can't be a matter of that size. Any
other size that may have been the reason is lowered at once, so that nothing is sent again as it was; and raised again
step by step, since the reason may have been another one. A transaction that was refused for something else once
squeezed a healthy controller to two changes and 512 bytes for good.
"""

from dataclasses import dataclass
from datetime import timedelta

MIN_CHANGES = 2
MIN_VALUE_BYTES = 512
FIRST_RECOVERY = timedelta(seconds=5)
MAX_RECOVERY = timedelta(minutes=10)


@dataclass(frozen=True, slots=True)
class TransactionSize:
    """What of a transaction is limited: how many changes it makes, and how long its largest value is."""

    changes: int
    value_bytes: int


class SizeLimit:
    """One limit. `announced`: the settings name what it will be, so it is never lowered."""

    def __init__(self, limit: int, minimum: int, announced: bool) -> None:
        self.current = limit
        self._limit, self._minimum, self._announced = limit, min(minimum, limit), announced
        self._pause = FIRST_RECOVERY
        self._lowered_at: timedelta | None = None

    def refused(self, size: int, now: timedelta) -> bool:
        """A transaction of this size was refused; whether the size may have been the reason."""
        if self._announced or size <= self._minimum:
            return False
        if self._lowered_at is not None:
            self._pause = min(2 * self._pause, MAX_RECOVERY)
        self._lowered_at = now
        self.current = max(self._minimum, min(self.current, size) // 2)
        return True

    def recover(self, now: timedelta) -> None:
        """Raise a limit that was lowered by one step for each pause that has passed since."""
        if self._lowered_at is None:
            return
        while self.current < self._limit and now - self._lowered_at >= self._pause:
            self.current = min(self._limit, 2 * self.current)
            self._lowered_at += self._pause
        if now - self._lowered_at >= MAX_RECOVERY:
            self._lowered_at, self._pause = None, FIRST_RECOVERY


class SizeLimits:
    """The limits of a transaction's sizes."""

    def __init__(
        self, max_changes: int, max_value_bytes: int, changes_announced: bool, value_bytes_announced: bool
    ) -> None:
        self.changes = SizeLimit(max_changes, MIN_CHANGES, changes_announced)
        self.value_bytes = SizeLimit(max_value_bytes, MIN_VALUE_BYTES, value_bytes_announced)

    def refused(self, size: TransactionSize, now: timedelta) -> bool:
        """A transaction was called malformed; whether its size may have been the reason."""
        by_changes = self.changes.refused(size.changes, now)
        by_value = self.value_bytes.refused(size.value_bytes, now)
        return by_changes or by_value

    def recover(self, now: timedelta) -> None:
        """Called before a limit is read: what was lowered by mistake comes back."""
        self.changes.recover(now)
        self.value_bytes.recover(now)
