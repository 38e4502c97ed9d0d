"""What is kept in the state service, and how it is written down."""

import base64
from typing import Any

import msgspec
from msgspec import Struct

from badgerroute.protocol.users import Submission


class PartClaim(Struct):
    """Until the time of day `until` (seconds since 1970), an owner before this one may still act."""

    owner: str
    until: float = 0.0
    handed: bool = False  # written for its owner by the one before, which had stopped


class FleetClaim(Struct):
    owner: str


class MachineRecord(Struct):
    part: int
    address: str
    type: str
    zone: str
    spot: bool


class DeletedMachinesRecord(Struct):
    """Machines of a part that were deleted lately."""

    names: list[str]


class ShareRecord(Struct):
    """How much of a team's limit each part may use: part number -> [cpus, accelerators]."""

    shares: dict[str, tuple[float, float]]


class FinalStateRecord(Struct):
    """A final state, kept for ever, and the time of day at which it was reached (0: written by an older version)."""

    state: str
    tasks: int
    at: float = 0.0


class DonePage(Struct):
    """Done tasks that did not fit their job's record: the bits of PAGE_TASKS tasks."""

    bits: str


class PredecessorsPage(Struct):
    """Predecessors that did not fit their job's record."""

    refs: list[str]


class JobRecord(Struct):
    """An unfinished job. Tasks below `base` are done; `bits` holds the others, task `base` first.

    `ranges` says which part owns which tasks: (part, first, one past the last).
    """

    job: Submission
    accepted: float
    ranges: list[tuple[int, int, int]]
    base: int = 0
    bits: str = ""
    pages: int = 0  # keys that hold its predecessors, if these did not fit here

    def done(self) -> int:
        """The done tasks that are written down here, as a bit set."""
        low = (1 << self.base) - 1
        return low | (unpack(self.bits) << self.base) if self.bits else low

    def with_done(self, done: int) -> "JobRecord":
        base = trailing_ones(done)
        return msgspec.structs.replace(self, base=base, bits=pack(done >> base))

    def without_bits(self, done: int) -> "JobRecord":
        """Only how far all is done; the other bits are on pages."""
        return msgspec.structs.replace(self, base=trailing_ones(done), bits="")

    def owned(self, part: int) -> int:
        """The tasks that a part owns, as a bit set."""
        owned = 0
        for owner, first, end in self.ranges:
            if owner == part:
                owned |= span(first, end)
        return owned


PAGE_TASKS = 4096  # so a page is small, whatever the limits: the same for all versions


def pack(bits: int) -> str:
    return base64.b64encode(bits.to_bytes((bits.bit_length() + 7) // 8, "little")).decode()


def unpack(text: str) -> int:
    return int.from_bytes(base64.b64decode(text), "little")


def page_of(done: int, number: int) -> int:
    """The bits of a page's tasks."""
    return (done >> (number * PAGE_TASKS)) & ((1 << PAGE_TASKS) - 1)


def trailing_ones(bits: int) -> int:
    return (~bits & (bits + 1)).bit_length() - 1


def span(first: int, end: int) -> int:
    return ((1 << (end - first)) - 1) << first


def lowest(bits: int) -> int:
    return (bits & -bits).bit_length() - 1


def give(ranges: list[tuple[int, int, int]], first: int, end: int, part: int) -> list[tuple[int, int, int]]:
    """The ranges after the tasks from `first` to before `end` have gone to `part`, neighbours joined."""
    cut: list[tuple[int, int, int]] = []
    for owner, start, stop in ranges:
        if start < min(stop, first):
            cut.append((owner, start, min(stop, first)))
        if max(start, end) < stop:
            cut.append((owner, max(start, end), stop))
    cut.append((part, first, end))
    cut.sort(key=lambda one: one[1])
    joined: list[tuple[int, int, int]] = []
    for owner, start, stop in cut:
        if joined and joined[-1][0] == owner and joined[-1][2] == start:
            joined[-1] = (owner, joined[-1][1], stop)
        else:
            joined.append((owner, start, stop))
    return joined


def window(max_value_bytes: int) -> int:
    """How far beyond its first unfinished task a job may start others, so that its record fits its key."""
    return max(64, max_value_bytes // 2 * 6)


_decoders: dict[type, msgspec.json.Decoder] = {}


def read(value: bytes, kind: type) -> Any:
    decoder = _decoders.get(kind)
    if decoder is None:
        decoder = _decoders[kind] = msgspec.json.Decoder(kind)
    return decoder.decode(value)


def write(record: Struct) -> msgspec.Raw:
    return msgspec.Raw(msgspec.json.encode(record))
