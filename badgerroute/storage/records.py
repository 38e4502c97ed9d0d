"""What is kept in the key-value store, and how it is written down."""

import base64
from enum import StrEnum
from typing import Any, NamedTuple

import msgspec
from msgspec import UNSET, Struct, UnsetType, field

from badgerroute.protocol.users import Submission


class ShardLeaderRecord(Struct):
    """Until the time of day `until` (seconds since 1970), a leader before this one may still act."""

    leader: str = field(name="owner")
    until: float = 0.0
    # written for its leader by the one before, which had stopped
    transferred: bool = field(name="handed", default=False)


class AutoscalerLeaderRecord(Struct):
    """Which controller rents machines."""

    leader: str = field(name="owner")


class MachineRecord(Struct):
    """A member of a shard."""

    shard: int = field(name="part")
    address: str
    type: str
    zone: str
    spot: bool


class TombstoneRecord(Struct):
    """Machines of a shard that were deleted lately."""

    names: list[str]


class DrainRecord(Struct):
    """A machine that operators want empty by the time of day `deadline` (seconds since 1970)."""

    deadline: float
    delete: bool = False  # at the cloud, once it is empty


class QuotaRecord(Struct):
    """How much of a team's limit each shard may use: shard number -> [cpus, accelerators]."""

    allocations: dict[str, tuple[float, float]] = field(name="shares")


class JobState(StrEnum):
    """What the key-value store says of a job: the values are stored and told to users."""

    ACTIVE = "active"
    DONE = "done"
    CANCELLED = "withdrawn"


class FinalStateRecord(Struct):
    """A final state, kept for ever, and the time of day at which it was reached (0: written by an older version)."""

    state: JobState
    tasks: int
    at: float = 0.0


class DonePage(Struct):
    """Done tasks that did not fit their job's record: the bits of PAGE_TASKS tasks."""

    bits: str


class PredecessorsPage(Struct):
    """Predecessors that did not fit their job's record."""

    refs: list[str]


class TaskRange(NamedTuple):
    """The tasks from `first` to before `end` belong to `shard`. Stored as a list of three numbers."""

    shard: int
    first: int
    end: int


class JobRecord(Struct):
    """An unfinished job. Tasks below `base` are done; `bits` holds the others, task `base` first.

    `ranges` says which shard owns which tasks. While the job waits for others that stands in `planned`, and `ranges` is
    empty: a version that knows nothing of predecessors must not start it, should one be brought back.
    """

    job: Submission
    accepted: float
    ranges: list[TaskRange]
    base: int = 0
    bits: str = ""
    pages: int = 0  # keys that hold its predecessors, if these did not fit here
    planned: list[TaskRange] | UnsetType = UNSET

    @property
    def assigned(self) -> list[TaskRange]:
        """Which shard owns which tasks as soon as the job is released."""
        return self.ranges if self.planned is UNSET else self.planned

    def with_ranges(self, ranges: list[TaskRange]) -> "JobRecord":
        """The record of a released job whose tasks belong to other shards."""
        return msgspec.structs.replace(self, ranges=ranges, planned=UNSET)

    def done(self) -> int:
        """The done tasks that are written down here, as a bit set."""
        low = (1 << self.base) - 1
        return low | (unpack(self.bits) << self.base) if self.bits else low

    def with_done(self, done: int) -> "JobRecord":
        """The record with these tasks done; a job that makes progress is released."""
        base = trailing_ones(done)
        bits = pack(done >> base)
        return msgspec.structs.replace(self, ranges=self.assigned, planned=UNSET, base=base, bits=bits)

    def without_bits(self, done: int) -> "JobRecord":
        """Only how far all is done; the other bits are on pages."""
        return msgspec.structs.replace(self, base=trailing_ones(done), bits="")

    def owned(self, shard: int) -> int:
        """The tasks that a shard owns, as a bit set."""
        owned = 0
        for holder, first, end in self.assigned:
            if holder == shard:
                owned |= span(first, end)
        return owned


PAGE_TASKS = 4096  # so a page is small, whatever the limits: the same for all versions


def pack(bits: int) -> str:
    """A bit set as text."""
    return base64.b64encode(bits.to_bytes((bits.bit_length() + 7) // 8, "little")).decode()


def unpack(text: str) -> int:
    """A bit set from its text."""
    return int.from_bytes(base64.b64decode(text), "little")


def page_of(done: int, number: int) -> int:
    """The bits of a page's tasks."""
    return (done >> (number * PAGE_TASKS)) & ((1 << PAGE_TASKS) - 1)


def trailing_ones(bits: int) -> int:
    """How many of the lowest bits are set without a gap."""
    return (~bits & (bits + 1)).bit_length() - 1


def span(first: int, end: int) -> int:
    """The bits from `first` to before `end`."""
    return ((1 << (end - first)) - 1) << first


def lowest(bits: int) -> int:
    """The number of the lowest bit that is set."""
    return (bits & -bits).bit_length() - 1


def give(ranges: list[TaskRange], first: int, end: int, shard: int) -> list[TaskRange]:
    """The ranges after the tasks from `first` to before `end` have gone to `shard`, neighbours joined."""
    pieces = [TaskRange(shard, first, end)]
    for known in ranges:
        before = known._replace(end=min(known.end, first))
        after = known._replace(first=max(known.first, end))
        pieces += [piece for piece in (before, after) if piece.first < piece.end]
    pieces.sort(key=lambda piece: piece.first)
    joined: list[TaskRange] = []
    for piece in pieces:
        if joined and joined[-1].shard == piece.shard and joined[-1].end == piece.first:
            joined[-1] = joined[-1]._replace(end=piece.end)
        else:
            joined.append(piece)
    return joined


def window(max_value_bytes: int) -> int:
    """How far beyond its first unfinished task a job may start others, so that its record fits its key."""
    return max(64, max_value_bytes // 2 * 6)


_decoders: dict[type, msgspec.json.Decoder] = {}


def read(value: bytes, kind: type) -> Any:
    """A record from its stored value."""
    decoder = _decoders.get(kind)
    if decoder is None:
        decoder = _decoders[kind] = msgspec.json.Decoder(kind)
    return decoder.decode(value)


def write(record: Struct) -> msgspec.Raw:
    """A record's value to be stored."""
    return msgspec.Raw(msgspec.json.encode(record))
