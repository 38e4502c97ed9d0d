"""Names of deleted machines: any further message from one of them can only be a delayed duplicate."""

from collections.abc import Iterable

from badgerroute.storage import records
from badgerroute.storage.records import TombstoneRecord

TOMBSTONES_PER_MACHINE = 2  # per machine of the largest permitted fleet: duplicates are delayed by minutes, not weeks


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
        """Replica listener for keys under `TOMBSTONES`. Names are kept when a record is removed."""
        if value is not None:
            self.add(records.read(value, TombstoneRecord).names)

    def add(self, names: Iterable[str]) -> None:
        """Add names, and remove the oldest ones above the capacity."""
        self._names.update(dict.fromkeys(names))
        while len(self._names) > self._capacity:
            del self._names[next(iter(self._names))]
