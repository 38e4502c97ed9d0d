"""Messages between controllers.

The section "Controller nodes <-> controller nodes" of the platform's protocol specification leaves these messages to
the service, so they are defined here: msgpack structs, one per frame. A lost message can cause a delay but never
affects safety. The messages are also exchanged with controllers of the previous version. Names on the wire therefore
don't change, and each field that a version adds has a default.
"""

from typing import NamedTuple

import msgspec
from msgspec import UNSET, Struct, UnsetType, field

from badgerroute.protocol.message_sizes import TASK_LIST_BYTES
from badgerroute.protocol.users import Submission

# The unit in which the room in machines' task lists is told, and the room that every machine has that is not crowded.
LIST_BYTES_STEP = TASK_LIST_BYTES // 8
UNCROWDED_LIST_BYTES = 7 * LIST_BYTES_STEP


class FreeCapacity(Struct, array_like=True):
    """`count` machines of the same type, zone and rental model (spot or not), each with the given free resources.

    The task lists in these machines' heartbeats have room for at least UNCROWDED_LIST_BYTES of further tasks.
    """

    type: str
    zone: str
    spot: bool
    cpus: float
    accelerators: float
    memory_gb: float
    count: int

    @property
    def free_list_bytes(self) -> int:
        """The room for further tasks in the task list of each machine's heartbeat, in bytes."""
        return UNCROWDED_LIST_BYTES


class CrowdedCapacity(FreeCapacity, array_like=True):
    """Machines whose task lists have less room: `list_bytes` each. Older versions don't know this type."""

    list_bytes: int

    @property
    def free_list_bytes(self) -> int:
        """The room for further tasks in the task list of each machine's heartbeat, in bytes."""
        return self.list_bytes


def crowded_only(capacities: list[FreeCapacity]) -> list[CrowdedCapacity]:
    """Return the crowded machines among `capacities`."""
    return [capacity for capacity in capacities if isinstance(capacity, CrowdedCapacity)]


def uncrowded_only(capacities: list[FreeCapacity]) -> list[FreeCapacity]:
    """Return the machines among `capacities` that are not crowded."""
    return [capacity for capacity in capacities if not isinstance(capacity, CrowdedCapacity)]


class ImageCapacity(NamedTuple):
    """Free processors on the machines that cache an image: the total, and the maximum on a single machine.

    Encoded as an array.
    """

    total_cpus: float
    largest_cpus: float


class PendingDemand(Struct, array_like=True):
    """The waiting tasks of one job in one shard. The resources are those that one task needs.

    `count`: the number of waiting tasks. `level`: priority level. `guaranteed`: whether the job is within its team's
    guarantee. `types`, `zone`: the machine types and the zone to which the tasks are restricted, None for no
    restriction. `spot`: whether the tasks are allowed to run on spot machines.
    """

    ref: str
    team: str
    cpus: float
    accelerators: float
    memory_gb: float
    count: int
    gang: bool
    level: int
    guaranteed: bool
    waited_s: float
    types: list[str] | None
    zone: str | None
    spot: bool


class ClassWaits(Struct, array_like=True):
    """How long a team's tasks of one job class wait in one shard.

    `waiting`: the number of waiting tasks. `oldest_s`: the longest of their waits so far. `histogram`: the waits, in
    milliseconds, of tasks that were placed recently or are still waiting, as an encoded HDR histogram.
    """

    team: str
    job_class: str
    waiting: int
    oldest_s: float
    histogram: str


class ShardLoad(Struct):
    """A shard's queue waits and machine utilization, used for rebalancing. Older versions don't send this struct.

    `machines_by_load`: the number of machines in each tenth of CPU utilization, lowest first.
    """

    waits: list[ClassWaits]
    machines_by_load: list[int]


class TaskListRoom(Struct):
    """The room in the task lists of a shard's machines, which their heartbeats must hold.

    `soon_free_bytes`: the room that the tasks take which `ShardSummary.soon_free_cpus` counts.
    `crowded`: like `ShardSummary.capacities`, for the machines whose task lists have little room.
    """

    soon_free_bytes: int
    crowded: list[CrowdedCapacity]


class ShardSummary(Struct):
    """The part of a shard's state that other shards need.

    `images`: image -> free processors on the machines that cache it.
    `cached_image_cpus`: image -> for each machine that caches it, the number of processors that the machine could offer
    if preemptible work were stopped.
    `preemptible_capacities`: priority level -> resources that would be free for a job of this level if work of lower
    levels were preempted.
    `soon_free_cpus`: processors of array tasks that are expected to end before a newly rented machine could be used.
    `running`: job -> number of its running tasks.
    `used`: team -> processors and accelerators in use.
    `workers_silent`: whether the heartbeats of at least half of the shard's machines are overdue.
    `task_lists`: what matters if tasks are so small that they fill the machines' task lists. Older versions don't send
    it.
    """

    shard: int = field(name="part")
    term: int
    reconciled: bool = field(name="settled")
    machines: int
    capacities: list[FreeCapacity] = field(name="bins")
    images: dict[str, ImageCapacity]
    cached_image_cpus: dict[str, list[float]] = field(name="beside")
    preemptible_capacities: dict[int, list[FreeCapacity]] = field(name="soft")
    demands: list[PendingDemand] = field(name="wants")
    soon_free_cpus: float = field(name="freeing")
    running: dict[str, int]
    used: dict[str, tuple[float, float]]
    workers_silent: bool = field(name="silent", default=False)
    load: ShardLoad | UnsetType = UNSET
    task_lists: TaskListRoom | UnsetType = UNSET

    @property
    def all_capacities(self) -> list[FreeCapacity]:
        """The free capacity of all machines, crowded or not."""
        return [*self.capacities, *(self.task_lists.crowded if self.task_lists else ())]


class Gossip(Struct, tag="gossip"):
    """The state of a controller, sent to all its peers a few times a second.

    `store_reachable`: whether the key-value store has responded to the controller within the last seconds. `isolated`:
    whether the controller must not receive any shard, because workers can't reach it or because its links were
    restored too recently. `mode`: a mode of `connectivity.modes`. `hears`: the controllers whose gossip it receives.
    `relays`: whether it forwards requests and accepts forwarded requests. Older versions don't send `mode`, `hears` and
    `relays`.
    """

    host: str
    lease: int
    ready: bool
    store_reachable: bool = field(name="proved")
    isolated: bool = field(name="deaf")
    shards: list[ShardSummary] = field(name="parts")
    mode: str | UnsetType = UNSET
    hears: list[str] | UnsetType = UNSET
    relays: bool | UnsetType = UNSET


class Push(Struct, tag="push"):
    """A change in the key-value store, sent by its writer so that peers learn of it before their watch reports it.

    `value`: the new value, or None if the key was removed.
    """

    key: str
    revision: int
    value: bytes | None


class StealRequest(Struct, tag="steal"):
    """A shard (`thief`) asks a busier one (`victim`) for waiting tasks.

    The victim's leader decides which tasks to hand over and records their transfer. `teams_lacking_quota`: teams whose
    tasks should not be handed over, for example because the team's tasks in the thief's shard already wait for quota.
    """

    victim: int
    thief: int
    capacities: list[FreeCapacity] = field(name="bins")
    images: dict[str, ImageCapacity]
    teams_lacking_quota: list[str] = field(name="short", default_factory=list)
    crowded_capacities: list[CrowdedCapacity] | UnsetType = field(name="crowded_bins", default=UNSET)

    @property
    def all_capacities(self) -> list[FreeCapacity]:
        """The free capacity of all machines, crowded or not."""
        return [*self.capacities, *(self.crowded_capacities or ())]


class QuotaRequest(Struct, tag="lack"):
    """A shard asks for more of a team's quota. Another shard that does not use all of its own portion can grant some.

    Among the team's jobs that wait for quota, the request covers those that come first in the order of service. `cpus`,
    `accelerators`: the quota that these jobs lack. `age_s`: the age of the oldest of them when the request was sent.
    `arrived_at`: the POSIX time at which that job became runnable, the same for every controller; unset from a version
    without this field. `rank`: their sort key in
    the order of service, lowest first. It consists of the negated priority level, 0 if the jobs are within the team's
    guarantee or else 1, and the lateness tier. `used`: the number of processors that the team's tasks use in the
    requesting shard.
    """

    shard: int = field(name="part")
    team: str
    cpus: float
    accelerators: float
    age_s: float = 0.0
    rank: tuple[float, float, float] | None = None
    used: float = 0.0
    arrived_at: float | UnsetType = UNSET


class MachineRequest(Struct, tag="borrow"):
    """A shard that is too small for a gang (`job`) asks the other shards for empty machines.

    `count` is the number of the gang's tasks that don't fit into the shard, not a number of machines.
    """

    shard: int = field(name="part")
    job: Submission
    count: int


class MisroutedHeartbeat(Struct, tag="knock"):
    """A controller (`host`) received a heartbeat from a machine of a shard that another controller leads.

    The message is sent to that leader if its workers seem to be cut off from it, so that it can transfer the shard.
    """

    shard: int = field(name="part")
    machine: str
    host: str


class ForwardedRequest(Struct, tag="forward"):
    """A request that a controller can't answer itself, forwarded to one that can.

    `number` identifies the request among those that `host` has forwarded.
    """

    host: str
    number: int
    method: str
    path: str
    body: bytes


class ForwardedResponse(Struct, tag="forwarded"):
    """The response to a forwarded request. `host`: the sender of the response; `number`: as in the request."""

    host: str
    number: int
    status: int
    body: bytes


class CancellationNotice(Struct, tag="withdrawn"):
    """Cancelled jobs, with the revisions of their final states. The notice is resent until it is acknowledged."""

    host: str
    jobs: list[tuple[str, int]]


class CancellationAck(Struct, tag="withdrawn_heard"):
    """Acknowledges a CancellationNotice: its receiver (`host`) now treats the jobs `refs` as cancelled."""

    host: str
    refs: list[str]


Message = (
    Gossip
    | Push
    | StealRequest
    | QuotaRequest
    | MachineRequest
    | MisroutedHeartbeat
    | CancellationNotice
    | CancellationAck
    | ForwardedRequest
    | ForwardedResponse
)
encoder = msgspec.msgpack.Encoder()
decoder = msgspec.msgpack.Decoder(Message)
