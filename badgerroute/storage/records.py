"""The records that are stored as values in the key-value store, encoded as JSON.

Several versions of the controllers read and write the same store. Stored names and formats must therefore not change,
and a new field needs a default. `keys` documents under which key each record is stored.
"""

from enum import StrEnum
from typing import Any

import msgspec
from msgspec import UNSET, Struct, UnsetType, field

from badgerroute.protocol.users import Submission
from badgerroute.storage.bitset import pack, task_span, trailing_ones, unpack
from badgerroute.storage.task_ranges import TaskRange

BITS_PER_CHARACTER = 6  # of base64
MIN_TASKS_AHEAD = 64  # the least that `max_tasks_ahead` returns


class ShardLeaderRecord(Struct):
    """Which controller leads a shard. The revision at which the record was last written is the leader's term."""

    leader: str = field(name="owner")
    until: float = 0.0  # POSIX time until which the previous leader may still act
    transferred: bool = field(
        name="handed", default=False
    )  # written by the previous leader, after it had stopped acting


class AutoscalerLeaderRecord(Struct):
    """Which controller is the autoscaler leader, the only one that rents machines."""

    leader: str = field(name="owner")


class MachineRecord(Struct):
    """A machine that is a member of a shard."""

    shard: int = field(name="part")
    address: str
    type: str
    zone: str
    spot: bool


class TombstoneRecord(Struct):
    """The names of recently deleted machines of a shard, which must not become members again."""

    names: list[str]


class DrainRecord(Struct):
    """An operator's request to drain a machine: no task may run on it after `deadline`, a POSIX time."""

    deadline: float
    delete: bool = False  # whether to delete the machine at the cloud once it is empty


class QuotaRecord(Struct):
    """How much of a team's limit each shard may use: shard number -> [cpus, accelerators]."""

    allocations: dict[str, tuple[float, float]] = field(name="shares")


class JobState(StrEnum):
    """The state of a job in the key-value store. The values are stored, and returned to users."""

    ACTIVE = "active"
    DONE = "done"
    CANCELLED = "withdrawn"


class FinalStateRecord(Struct):
    """A job's final state, kept permanently.

    `at` is the POSIX time at which the state was reached, or 0 in a record that an older version wrote.
    """

    state: JobState
    tasks: int
    at: float = 0.0


class DonePage(Struct):
    """Done tasks that did not fit into their job's record: the packed bits of `bitset.PAGE_TASKS` consecutive tasks."""

    bits: str


class PredecessorsPage(Struct):
    """Predecessors (the jobs that a job waits for) that did not fit into the job's record."""

    refs: list[str]


class JobRecord(Struct):
    """An unfinished job.

    All tasks below `base` are done. `bits` holds the done tasks from `base` on, encoded by `bitset.pack`, with task
    `base` as the lowest bit. `ranges` says which shard owns which tasks. While the job waits for its predecessors,
    `planned` holds the ranges and `ranges` is empty, so that after a rollback a version that does not support
    predecessors won't start the job. The job is released when it no longer waits: then `ranges` holds the ranges, and
    `planned` is unset.
    """

    job: Submission
    accepted: float  # POSIX time of its submission
    ranges: list[TaskRange]
    base: int = 0
    bits: str = ""
    pages: int = 0  # number of keys that hold its predecessors, if these did not fit into this record
    planned: list[TaskRange] | UnsetType = UNSET

    @property
    def assigned_ranges(self) -> list[TaskRange]:
        """Which tasks each shard owns or, if the job is not released yet, will own after the release."""
        return self.ranges if self.planned is UNSET else self.planned

    def with_ranges(self, ranges: list[TaskRange]) -> "JobRecord":
        """Return the record of the job as released, with a new assignment of tasks to shards."""
        return msgspec.structs.replace(self, ranges=ranges, planned=UNSET)

    def stored_done_tasks(self) -> int:
        """Return the done tasks that this record holds, as a bit set."""
        below_base = (1 << self.base) - 1
        return below_base | (unpack(self.bits) << self.base) if self.bits else below_base

    def with_done(self, done: int) -> "JobRecord":
        """Return the record of the job as released, with exactly these tasks done. Only released jobs make progress."""
        base = trailing_ones(done)
        bits = pack(done >> base)
        return msgspec.structs.replace(self, ranges=self.assigned_ranges, planned=UNSET, base=base, bits=bits)

    def without_bits(self, done: int) -> "JobRecord":
        """Return the record with the `base` for these done tasks and empty `bits`, as pages hold the bits instead."""
        return msgspec.structs.replace(self, base=trailing_ones(done), bits="")

    def tasks_owned_by(self, shard: int) -> int:
        """Return the tasks that a shard owns, as a bit set."""
        owned = 0
        for owner, first, end in self.assigned_ranges:
            if owner == shard:
                owned |= task_span(first, end)
        return owned


def max_tasks_ahead(max_value_bytes: int) -> int:
    """Return how far beyond its first unfinished task a job may start tasks, in task numbers.

    The limit lets the bits of the done tasks fit into half of the largest permitted value. The other half is reserved
    for the rest of the job's record.
    """
    return max(MIN_TASKS_AHEAD, max_value_bytes // 2 * BITS_PER_CHARACTER)


_decoders: dict[type, msgspec.json.Decoder] = {}


def read(value: bytes, record_type: type) -> Any:
    """Decode a stored value as a record of the given class. Raise msgspec.DecodeError if it is not one."""
    decoder = _decoders.get(record_type)
    if decoder is None:
        decoder = _decoders[record_type] = msgspec.json.Decoder(record_type)
    return decoder.decode(value)


def write(record: Struct) -> msgspec.Raw:
    """Encode a record as a value for a transaction. This sends nothing to the store."""
    return msgspec.Raw(msgspec.json.encode(record))
