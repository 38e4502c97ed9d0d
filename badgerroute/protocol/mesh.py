"""Controllers <-> controllers: msgpack structs, one per frame. A lost message costs time, never safety."""

from typing import NamedTuple

import msgspec
from msgspec import UNSET, Struct, UnsetType, field

from badgerroute.protocol.users import Submission


class FreeCapacity(Struct, array_like=True):
    """Machines with the same free room."""

    type: str
    zone: str
    spot: bool
    cpus: float
    accelerators: float
    memory_gb: float
    count: int


class ImageCapacity(NamedTuple):
    """Free processors on the machines that cache an image: in all, and on one machine at most. On the wire an array."""

    total_cpus: float
    largest_cpus: float


class PendingDemand(Struct, array_like=True):
    """Waiting tasks of one job in one shard."""

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
    """How long a team's tasks of one job class wait in one shard."""

    team: str
    job_class: str
    waiting: int
    oldest_s: float  # the longest that one of them has waited by now
    histogram: str  # of the milliseconds that they waited, started lately or still waiting, as its library encodes it


class ShardLoad(Struct):
    """How evenly a shard's work is spread. Versions that know nothing of it leave it out."""

    waits: list[ClassWaits]
    machines_by_load: list[int]  # how many machines are up to a tenth used, up to two tenths, and so on


class ShardSummary(Struct):
    """What the other shards need to know of one."""

    shard: int = field(name="part")
    term: int
    reconciled: bool = field(name="settled")
    machines: int
    capacities: list[FreeCapacity] = field(name="bins")
    images: dict[str, ImageCapacity]  # by image
    # Image -> processors on machines that cache it, lesser work than gangs not counted.
    cpus_near_images: dict[str, list[float]] = field(name="beside")
    # Level -> room there would be for it if lesser work were stopped.
    preemptible_capacities: dict[int, list[FreeCapacity]] = field(name="soft")
    demands: list[PendingDemand] = field(name="wants")
    freeing: float  # processors of small tasks that should end before a new machine could serve
    running: dict[str, int]
    used: dict[str, tuple[float, float]]
    # Its leader has had no heartbeat in time of at least half of its machines.
    workers_silent: bool = field(name="silent", default=False)
    load: ShardLoad | UnsetType = UNSET


class Gossip(Struct, tag="gossip"):
    """What a controller tells the others a few times a second."""

    host: str
    lease: int
    ready: bool
    store_reachable: bool = field(name="proved")  # the key-value store answered it within the last seconds
    isolated: bool = field(name="deaf")  # it wants no shard: workers don't reach it, or links have just come back
    shards: list[ShardSummary] = field(name="parts")
    mode: str | UnsetType = UNSET  # of `connectivity.modes`; older versions leave out this and what follows
    hears: list[str] | UnsetType = UNSET  # the controllers that it hears
    relays: bool | UnsetType = UNSET  # it passes requests on, and takes those that are passed on


class Push(Struct, tag="push"):
    """A change in the key-value store, told early."""

    key: str
    revision: int
    value: bytes | None


class StealRequest(Struct, tag="steal"):
    """An idle shard asks a busy one for waiting tasks; the busy one's leader decides and writes."""

    victim: int
    thief: int
    capacities: list[FreeCapacity] = field(name="bins")
    images: dict[str, ImageCapacity]
    # Teams of which work waits at the thief already, for want of quota.
    teams_short_of_quota: list[str] = field(name="short", default_factory=list)


class QuotaRequest(Struct, tag="lack"):
    """A shard lacks quota of a team's limit; who has it unused may give it."""

    shard: int = field(name="part")
    team: str
    cpus: float
    accelerators: float
    age_s: float = 0.0  # of the oldest job that lacks it
    rank: tuple[float, float, float] | None = None  # of the first of them in the order of service: less comes first
    used: float = 0.0  # processors that the shard uses of the team's limit


class MachineRequest(Struct, tag="borrow"):
    """A shard too small for a gang asks the others for empty machines."""

    shard: int = field(name="part")
    job: Submission
    count: int


class MisroutedHeartbeat(Struct, tag="knock"):
    """A machine of a silent shard reported to a controller that does not own it."""

    shard: int = field(name="part")
    machine: str
    host: str


class ForwardedRequest(Struct, tag="forward"):
    """A request that a controller can't answer itself, passed on to one that can."""

    host: str
    number: int  # of the sender's forwarded requests
    method: str
    path: str
    body: bytes


class ForwardedResponse(Struct, tag="forwarded"):
    """The answer to a forwarded request."""

    host: str
    number: int
    status: int
    body: bytes


class CancellationNotice(Struct, tag="withdrawn"):
    """Jobs that are cancelled, with the revisions of their final states. Repeated until it is acknowledged."""

    host: str
    jobs: list[tuple[str, int]]


class CancellationAck(Struct, tag="withdrawn_heard"):
    """These are known to be cancelled here too."""

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
