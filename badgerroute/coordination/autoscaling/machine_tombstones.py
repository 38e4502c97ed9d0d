"""The names of machines that were deleted: what still comes from them can only be a late copy."""

from collections.abc import Iterable

KEPT_PER_MACHINE = 2  # names that are kept, for each machine that there may be; copies come minutes late, not weeks


class MachineTombstones:
    """Keeps the newest of them."""

    def __init__(self, most_machines: int) -> None:
        self._most = KEPT_PER_MACHINE * most_machines
        self._names: dict[str, None] = {}  # oldest first

    def __contains__(self, name: str) -> bool:
        return name in self._names

    def __len__(self) -> int:
        return len(self._names)

    def add(self, names: Iterable[str]) -> None:
        """Remember these, and forget the oldest if there are too many."""
        self._names.update(dict.fromkeys(names))
        while len(self._names) > self._most:
            del self._names[next(iter(self._names))]
