"""Names of deleted machines: a message that still comes from one of them can only be a late copy."""

from collections.abc import Iterable

from badgerroute.storage import records
from badgerroute.storage.records import TombstoneRecord

TOMBSTONES_PER_MACHINE = 2  # for each machine that there may be; copies come minutes late, not weeks


class MachineTombstones:
    """The names of the machines that were deleted last, up to a number that the size of the fleet gives."""

    def __init__(self, most_machines: int) -> None:
        self._capacity = TOMBSTONES_PER_MACHINE * most_machines
        self._names: dict[str, None] = {}  # the oldest first

    def __contains__(self, name: str) -> bool:
        return name in self._names

    def __len__(self) -> int:
        return len(self._names)

    def record_changed(self, key: str, value: bytes | None, revision: int) -> None:
        """Listener of the replica, for keys under `TOMBSTONES`. Names stay when a record goes."""
        if value is not None:
            self.add(records.read(value, TombstoneRecord).names)

    def add(self, names: Iterable[str]) -> None:
        """Add names, and remove the oldest if there are too many."""
        self._names.update(dict.fromkeys(names))
        while len(self._names) > self._capacity:
            del self._names[next(iter(self._names))]
