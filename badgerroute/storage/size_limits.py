"""Limits on the sizes of transactions and values: set by the settings, and lowered for a while after refusals.

If the settings announce a lower future limit, the client observes it from the first write on, so that size cannot be
the reason for a refusal. Any other limit that may be the reason is lowered at once, so that the same transaction is not
sent again. It is then raised step by step, since the reason may have been a different one (docs/incidents.md, "A
controller squeezed for good").
"""

from dataclasses import dataclass
from datetime import timedelta

from badgerroute.settings import LaterStoreLimits, StoreLimits

VALUE_SAFETY_FACTOR = 0.95  # the portion of the published limit that is used, as for the rates
MIN_CHANGES = 2
MIN_VALUE_BYTES = 512
FIRST_RECOVERY = timedelta(seconds=5)  # time between increases after the first refusal; each further refusal doubles it
MAX_RECOVERY = timedelta(minutes=10)


@dataclass(frozen=True, slots=True)
class TransactionSize:
    """The limited sizes of a transaction: its number of changes, and the size of its largest value in bytes."""

    changes: int
    value_bytes: int


class SizeLimit:
    """One limit: `current` lies between `minimum` and `maximum`.

    `announced`: the settings announce the store's future limit, which `maximum` includes, so it is never lowered.
    """

    def __init__(self, maximum: int, minimum: int, announced: bool) -> None:
        self.current = maximum
        self.maximum = maximum
        self._minimum = min(minimum, maximum)
        self._announced = announced
        self._recovery_pause = FIRST_RECOVERY
        self._lowered_at: timedelta | None = None

    def lower_after_refusal(self, size: int, now: timedelta) -> bool:
        """Halve the limit after a transaction of this size was refused; return whether the size may be the reason."""
        if self._announced or size <= self._minimum:
            return False
        if self._lowered_at is not None:
            self._recovery_pause = min(2 * self._recovery_pause, MAX_RECOVERY)
        self._lowered_at = now
        self.current = max(self._minimum, min(self.current, size) // 2)
        return True

    def recover(self, now: timedelta) -> None:
        """Double a lowered limit once for each recovery pause that has passed."""
        if self._lowered_at is None:
            return
        while self.current < self.maximum and now - self._lowered_at >= self._recovery_pause:
            self.current = min(self.maximum, 2 * self.current)
            self._lowered_at += self._recovery_pause
        if now - self._lowered_at >= MAX_RECOVERY:
            self._lowered_at = None
            self._recovery_pause = FIRST_RECOVERY


class SizeLimits:
    """The limits on the number of changes and on the value size of a transaction."""

    def __init__(
        self, max_changes: int, max_value_bytes: int, changes_announced: bool, value_bytes_announced: bool
    ) -> None:
        self.changes = SizeLimit(max_changes, MIN_CHANGES, changes_announced)
        self.value_bytes = SizeLimit(max_value_bytes, MIN_VALUE_BYTES, value_bytes_announced)

    @classmethod
    def of_store(cls, limits: StoreLimits) -> "SizeLimits":
        """Create the limits from the settings: the lower of the store's current and announced limits.

        The announced limits are observed from the first write on, since the settings don't say when they take effect.
        """
        later = limits.next or LaterStoreLimits()
        return cls(
            max_changes=limits.max_changes,
            max_value_bytes=int(limits.max_value_bytes * VALUE_SAFETY_FACTOR),
            changes_announced=later.txn_ops is not None,
            value_bytes_announced=later.value_kb is not None,
        )

    def lower_after_refusal(self, size: TransactionSize, now: timedelta) -> bool:
        """Lower the limits that may be the reason for a refusal; return whether there are any."""
        by_changes = self.changes.lower_after_refusal(size.changes, now)
        by_value = self.value_bytes.lower_after_refusal(size.value_bytes, now)
        return by_changes or by_value

    def recover(self, now: timedelta) -> None:
        """Raise lowered limits again as time passes. Call this before reading a limit."""
        self.changes.recover(now)
        self.value_bytes.recover(now)
