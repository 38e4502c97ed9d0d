"""Names of deleted machines. Any message from one of them can only be a late copy of an old message."""

from collections.abc import Iterable

from badgerroute.storage import records
from badgerroute.storage.records import TombstoneRecord

# The names of the latest deletions are kept: this many for each machine of the largest permitted fleet. That is enough,
# since copies of messages arrive at most minutes late, not weeks.
TOMBSTONES_PER_MACHINE = 2


class MachineTombstones:
    """The names of the most recently deleted machines, up to a number derived from the maximum fleet size."""

    def __init__(self, most_machines: int) -> None:
        self._capacity = TOMBSTONES_PER_MACHINE * most_machines
        self._names: dict[str, None] = {}  # ordered, oldest first

    def __contains__(self, name: str) -> bool:
        return name in self._names

    def __len__(self) -> int:
        return len(self._names)

    def record_changed(self, key: str, value: bytes | None, revision: int) -> None:
        """Add the names in a changed tombstone record of the replica. When a record is removed, its names are kept."""
        if value is not None:
            self.add(records.read(value, TombstoneRecord).names)

    def add(self, names: Iterable[str]) -> None:
        """Add names. If there are then more than the capacity, remove the oldest ones."""
        self._names.update(dict.fromkeys(names))
        while len(self._names) > self._capacity:
            del self._names[next(iter(self._names))]
