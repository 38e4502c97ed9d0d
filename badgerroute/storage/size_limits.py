"""How large transactions and values may be: as the settings say, and smaller for a while if the store refuses more.

A limit that the settings announce is kept to from the first write on, so a refusal can't be a matter of that size. Any
other size that may have been the reason is lowered at once, so that nothing is sent again as it was; and raised again
step by step, since the reason may have been another one (docs/incidents.md, "A controller squeezed for good").
"""

from dataclasses import dataclass
from datetime import timedelta

from badgerroute.settings import LaterStoreLimits, StoreLimits

VALUE_SAFETY_FACTOR = 0.95  # of the published limit, as for the rates
MIN_CHANGES = 2
MIN_VALUE_BYTES = 512
FIRST_RECOVERY = timedelta(seconds=5)  # between two steps up after the first refusal; doubled by each that follows
MAX_RECOVERY = timedelta(minutes=10)


@dataclass(frozen=True, slots=True)
class TransactionSize:
    """What of a transaction is limited: how many changes it makes, and how many bytes its largest value has."""

    changes: int
    value_bytes: int


class SizeLimit:
    """One limit: `current` lies between `minimum` and `maximum`.

    `announced`: the settings name what the limit will be, so it is never lowered.
    """

    def __init__(self, maximum: int, minimum: int, announced: bool) -> None:
        self.current = maximum
        self.maximum = maximum
        self._minimum = min(minimum, maximum)
        self._announced = announced
        self._recovery_pause = FIRST_RECOVERY
        self._lowered_at: timedelta | None = None

    def lower_after_refusal(self, size: int, now: timedelta) -> bool:
        """Halve the limit after a transaction of this size was refused; whether the size may have been the reason."""
        if self._announced or size <= self._minimum:
            return False
        if self._lowered_at is not None:
            self._recovery_pause = min(2 * self._recovery_pause, MAX_RECOVERY)
        self._lowered_at = now
        self.current = max(self._minimum, min(self.current, size) // 2)
        return True

    def recover(self, now: timedelta) -> None:
        """Raise a limit that was lowered by one step for each pause that has passed since."""
        if self._lowered_at is None:
            return
        while self.current < self.maximum and now - self._lowered_at >= self._recovery_pause:
            self.current = min(self.maximum, 2 * self.current)
            self._lowered_at += self._recovery_pause
        if now - self._lowered_at >= MAX_RECOVERY:
            self._lowered_at = None
            self._recovery_pause = FIRST_RECOVERY


class SizeLimits:
    """The limits of a transaction's sizes."""

    def __init__(
        self, max_changes: int, max_value_bytes: int, changes_announced: bool, value_bytes_announced: bool
    ) -> None:
        self.changes = SizeLimit(max_changes, MIN_CHANGES, changes_announced)
        self.value_bytes = SizeLimit(max_value_bytes, MIN_VALUE_BYTES, value_bytes_announced)

    @classmethod
    def of_store(cls, limits: StoreLimits) -> "SizeLimits":
        """The limits by the settings: the lower of what the store takes now and what it will take later.

        The later ones are kept to from the first write on, since nobody says when they come.
        """
        later = limits.next or LaterStoreLimits()
        return cls(
            max_changes=limits.max_changes,
            max_value_bytes=int(limits.max_value_bytes * VALUE_SAFETY_FACTOR),
            changes_announced=later.txn_ops is not None,
            value_bytes_announced=later.value_kb is not None,
        )

    def lower_after_refusal(self, size: TransactionSize, now: timedelta) -> bool:
        """Lower what may have been the reason for a refusal; whether anything was."""
        by_changes = self.changes.lower_after_refusal(size.changes, now)
        by_value = self.value_bytes.lower_after_refusal(size.value_bytes, now)
        return by_changes or by_value

    def recover(self, now: timedelta) -> None:
        """Called before a limit is read, so that what was lowered by mistake comes back."""
        self.changes.recover(now)
        self.value_bytes.recover(now)
