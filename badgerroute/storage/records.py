"""The values that are stored in the key-value store, and their form there (JSON).

Several versions of the controllers read and write the same store: names and forms stay as they are, and what a version
adds has a default. `keys` says under which key each record stands.
"""

from enum import StrEnum
from typing import Any

import msgspec
from msgspec import UNSET, Struct, UnsetType, field

from badgerroute.protocol.users import Submission
from badgerroute.storage.bitset import pack, span, trailing_ones, unpack
from badgerroute.storage.task_ranges import TaskRange

BITS_PER_CHARACTER = 6  # of a bit set that is written down in base64
MIN_TASKS_AHEAD = 64


class ShardLeaderRecord(Struct):
    """Which controller leads a shard. The revision of the key is the leader's term."""

    leader: str = field(name="owner")
    until: float = 0.0  # a time of day, in seconds since 1970: until then a leader before this one may still act
    transferred: bool = field(name="handed", default=False)  # written by the leader before, which had stopped


class AutoscalerLeaderRecord(Struct):
    """Which controller rents machines."""

    leader: str = field(name="owner")


class MachineRecord(Struct):
    """A machine that is a member of a shard."""

    shard: int = field(name="part")
    address: str
    type: str
    zone: str
    spot: bool


class TombstoneRecord(Struct):
    """The names of machines of a shard that were deleted lately."""

    names: list[str]


class DrainRecord(Struct):
    """A machine that operators want empty by `deadline`, a time of day in seconds since 1970."""

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
    """A job's final state, kept for ever, and when it was reached, in seconds since 1970 (0: by an older version)."""

    state: JobState
    tasks: int
    at: float = 0.0


class DonePage(Struct):
    """Done tasks that did not fit their job's record: the bits of `bitset.PAGE_TASKS` tasks, packed."""

    bits: str


class PredecessorsPage(Struct):
    """Predecessors that did not fit their job's record."""

    refs: list[str]


class JobRecord(Struct):
    """An unfinished job. Tasks below `base` are done; `bits` holds the others, task `base` first.

    `ranges` says which shard owns which tasks. While the job waits for others that stands in `planned`, and `ranges` is
    empty: a version that knows nothing of predecessors must not start it, should one be brought back.
    """

    job: Submission
    accepted: float  # when it was submitted, in seconds since 1970
    ranges: list[TaskRange]
    base: int = 0
    bits: str = ""
    pages: int = 0  # how many keys hold its predecessors, if these did not fit here
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
        below_base = (1 << self.base) - 1
        return below_base | (unpack(self.bits) << self.base) if self.bits else below_base

    def with_done(self, done: int) -> "JobRecord":
        """The record with these tasks done; a job that makes progress is released."""
        base = trailing_ones(done)
        bits = pack(done >> base)
        return msgspec.structs.replace(self, ranges=self.assigned, planned=UNSET, base=base, bits=bits)

    def without_bits(self, done: int) -> "JobRecord":
        """The record that only says how far all tasks are done; the other bits are on pages."""
        return msgspec.structs.replace(self, base=trailing_ones(done), bits="")

    def owned(self, shard: int) -> int:
        """The tasks that a shard owns, as a bit set."""
        owned = 0
        for owner, first, end in self.assigned:
            if owner == shard:
                owned |= span(first, end)
        return owned


def max_tasks_ahead(max_value_bytes: int) -> int:
    """How far beyond its first unfinished task a job may start others, so that its record fits its key.

    Half of the value is for the bits of done tasks, half for everything else.
    """
    return max(MIN_TASKS_AHEAD, max_value_bytes // 2 * BITS_PER_CHARACTER)


_decoders: dict[type, msgspec.json.Decoder] = {}


def read(value: bytes, kind: type) -> Any:
    """Decode a stored value as a record of the class `kind`; msgspec.DecodeError if it is none."""
    decoder = _decoders.get(kind)
    if decoder is None:
        decoder = _decoders[kind] = msgspec.json.Decoder(kind)
    return decoder.decode(value)


def write(record: Struct) -> msgspec.Raw:
    """Encode a record as the value to be stored; nothing is sent to the store."""
    return msgspec.Raw(msgspec.json.encode(record))
