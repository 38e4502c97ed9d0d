"""Limits on a transaction's number of changes and on the size of a value.

They are taken from the settings and lowered for some time after the store has refused a transaction. If the settings
announce a future limit, the client observes the lower of the current and the future limit from the first write on.
Exceeding that limit thus can't be the reason for a refusal. Any other limit that may be the reason is lowered at once,
so that the same transaction is not sent again. It is then raised step by step, since the reason may have been a
different one (docs/incidents.md, "A controller squeezed for good").
"""

from dataclasses import dataclass
from datetime import timedelta

from badgerroute.settings import LaterStoreLimits, StoreLimits

VALUE_SAFETY_FACTOR = 0.95  # portion of the store's limit on the size of a value that the client uses
MIN_CHANGES = 2  # refusals do not lower the limit on the number of changes below this
MIN_VALUE_BYTES = 512  # refusals do not lower the limit on the size of a value below this
FIRST_RECOVERY = timedelta(seconds=5)  # time between increases after the first refusal; each further refusal doubles it
# The maximum time between increases. If a limit has been back at its maximum for this long, earlier refusals no longer
# count.
MAX_RECOVERY = timedelta(minutes=10)


@dataclass(frozen=True, slots=True)
class TransactionSize:
    """The sizes of a transaction to which limits apply: its number of changes, and its largest value in bytes."""

    changes: int
    value_bytes: int


class SizeLimit:
    """One limit, whose value `current` lies between `minimum` and `maximum`.

    `announced` is whether the settings announce a future limit of the store. If so, `maximum` already
    respects that limit, and refusals do not lower `current`.
    """

    def __init__(self, maximum: int, minimum: int, announced: bool) -> None:
        self.current = maximum
        self.maximum = maximum
        self._minimum = min(minimum, maximum)
        self._announced = announced
        self._recovery_pause = FIRST_RECOVERY
        self._lowered_at: timedelta | None = None

    def lower_after_refusal(self, size: int, now: timedelta) -> bool:
        """Lower the limit if the size of a refused transaction may be the reason, and return whether it may be.

        The new limit is half of that size or of the current limit, whichever is less, but at least the minimum.
        """
        if self._announced or size <= self._minimum:
            return False
        if self._lowered_at is not None:
            self._recovery_pause = min(2 * self._recovery_pause, MAX_RECOVERY)
        self._lowered_at = now
        self.current = max(self._minimum, min(self.current, size) // 2)
        return True

    def recover(self, now: timedelta) -> None:
        """Double a lowered limit once for each recovery pause that has passed, up to the maximum."""
        if self._lowered_at is None:
            return
        while self.current < self.maximum and now - self._lowered_at >= self._recovery_pause:
            self.current = min(self.maximum, 2 * self.current)
            self._lowered_at += self._recovery_pause
        if now - self._lowered_at >= MAX_RECOVERY:
            self._lowered_at = None
            self._recovery_pause = FIRST_RECOVERY


class SizeLimits:
    """The limits on a transaction's number of changes and on the size of each of its values."""

    def __init__(
        self, max_changes: int, max_value_bytes: int, changes_announced: bool, value_bytes_announced: bool
    ) -> None:
        self.changes = SizeLimit(max_changes, MIN_CHANGES, changes_announced)
        self.value_bytes = SizeLimit(max_value_bytes, MIN_VALUE_BYTES, value_bytes_announced)

    @classmethod
    def of_store(cls, limits: StoreLimits) -> "SizeLimits":
        """Create the limits from the settings.

        `limits.max_changes` and `limits.max_value_bytes` already take the announced limits into account. These are
        observed from the first write on, since the settings don't say when they take effect.
        """
        later = limits.next or LaterStoreLimits()
        return cls(
            max_changes=limits.max_changes,
            max_value_bytes=int(limits.max_value_bytes * VALUE_SAFETY_FACTOR),
            changes_announced=later.txn_ops is not None,
            value_bytes_announced=later.value_kb is not None,
        )

    def lower_after_refusal(self, size: TransactionSize, now: timedelta) -> bool:
        """Lower the limits that may be why a transaction of this size was refused. Return whether there are any."""
        by_changes = self.changes.lower_after_refusal(size.changes, now)
        by_value = self.value_bytes.lower_after_refusal(size.value_bytes, now)
        return by_changes or by_value

    def recover(self, now: timedelta) -> None:
        """Raise lowered limits for which enough time has passed. Must be called before a limit is read."""
        self.changes.recover(now)
        self.value_bytes.recover(now)
