"""Controllers <-> controllers: PROTOCOL, "Controller nodes <-> controller nodes".

That section leaves the messages to the service, so they are defined here: msgpack structs, one per frame. A lost
message costs time, never safety. Controllers of the version before send and read them too: names on the wire stay as
they are, and what a version adds has a default.
"""

from typing import NamedTuple

import msgspec
from msgspec import UNSET, Struct, UnsetType, field

from badgerroute.protocol.users import Submission


class FreeCapacity(Struct, array_like=True):
    """`count` machines of one kind, each with the same free resources."""

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
    """How long a team's tasks of one job class wait in one shard.

    `oldest_s`: the longest that one of them has waited by now. `histogram`: of the milliseconds that they waited,
    started lately or still waiting, as its library encodes it.
    """

    team: str
    job_class: str
    waiting: int
    oldest_s: float
    histogram: str


class ShardLoad(Struct):
    """How evenly a shard's work is spread. Versions that know nothing of it leave it out.

    `machines_by_load`: how many machines are up to a tenth used, up to two tenths, and so on.
    """

    waits: list[ClassWaits]
    machines_by_load: list[int]


class ShardSummary(Struct):
    """What the other shards need to know of one.

    `images`: image -> free processors on machines that cache it.
    `cached_image_cpus`: image -> processors that each machine with it cached could offer, preemptible work aside.
    `preemptible_capacities`: priority level -> capacities for a job of it if work of lower levels were stopped.
    `soon_free_cpus`: processors of small tasks that should end before a new machine could serve.
    `running`: job -> how many of its tasks run. `used`: team -> its processors and accelerators in use.
    `workers_silent`: its leader has had no heartbeat in time of at least half of its machines.
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


class Gossip(Struct, tag="gossip"):
    """What a controller tells the others a few times a second.

    `store_reachable`: the key-value store answered it within the last seconds.
    `isolated`: it wants no shard, because workers don't reach it or links have just come back.
    `mode`: of `connectivity.modes`; older versions leave out this and what follows.
    `hears`: the controllers whose gossip reaches it.
    `relays`: it passes requests on, and takes those that are passed on.
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
    """A change in the key-value store, sent before the watch reports it. `value` None: the key was removed."""

    key: str
    revision: int
    value: bytes | None


class StealRequest(Struct, tag="steal"):
    """An idle shard (`thief`) asks a busy one (`victim`) for waiting tasks; the busy one's leader decides and writes.

    `teams_lacking_quota`: teams of which work waits at the thief already, for want of quota.
    """

    victim: int
    thief: int
    capacities: list[FreeCapacity] = field(name="bins")
    images: dict[str, ImageCapacity]
    teams_lacking_quota: list[str] = field(name="short", default_factory=list)


class QuotaRequest(Struct, tag="lack"):
    """A shard lacks quota of a team's limit; a shard that does not use its own may give it.

    `age_s`: of the oldest job that lacks it. `rank`: of the first of these jobs in the order of service; less comes
    first. `used`: processors that the shard uses of the team's limit.
    """

    shard: int = field(name="part")
    team: str
    cpus: float
    accelerators: float
    age_s: float = 0.0
    rank: tuple[float, float, float] | None = None
    used: float = 0.0


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
    """A request that a controller can't answer itself, passed on to one that can. `number` counts those of `host`."""

    host: str
    number: int
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
    """Jobs that are cancelled, with the revisions of their final states. Sent again until it is acknowledged."""

    host: str
    jobs: list[tuple[str, int]]


class CancellationAck(Struct, tag="withdrawn_heard"):
    """The receiver of a CancellationNotice treats these jobs as cancelled from now on."""

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
