"""The platform's settings file (TOML) as typed values. Unknown fields are ignored: the platform may add fields."""

from datetime import timedelta
from math import inf
from typing import Annotated

from msgspec import Meta, Struct, field

Name = Annotated[str, Meta(min_length=1, max_length=120)]
Address = Annotated[str, Meta(pattern=r"^[0-9A-Za-z.\-]+:[0-9]{1,5}$")]
Positive = Annotated[float, Meta(gt=0)]
Amount = Annotated[float, Meta(ge=0)]


class PeerAddress(Struct, frozen=True):
    """The host name, zone and address of another controller."""

    host_name: Name
    zone: Name
    endpoint: Address


class Endpoints(Struct, frozen=True):
    """The addresses of the cloud and of the state service, which is the key-value store."""

    cloud: Address
    state: Address


class Team(Struct, frozen=True):
    """The quota of a team: `cpus` and `gpus` are guaranteed, `cpus_max` and `gpus_max` are limits (0: no limit)."""

    name: Name
    cpus: Amount = 0.0
    cpus_max: Amount = 0.0
    gpus: Amount = 0.0
    gpus_max: Amount = 0.0

    @property
    def limits(self) -> tuple[float, float]:
        """The most CPUs and accelerators that the team's tasks may use at the same time.

        In the file, 0 means that there is no limit. When 0 was taken as the limit, all jobs of a team without a
        guarantee were refused.
        """
        return self.cpus_max or inf, self.gpus_max or inf


class Objective(Struct, frozen=True):
    """A service objective of the deployment, for example the share of jobs that must start within a given time."""

    kind: str
    share: float = 1.0
    job_class: str | None = field(name="class", default=None)
    within_s: float | None = None
    times: float | None = None


class WorkerLimits(Struct, frozen=True):
    """Time limits that workers observe, and the interval of their heartbeats, in seconds."""

    report_s: Positive
    lease_s: Positive
    gang_wait_s: Positive
    gang_peer_s: Positive
    cancel_s: Positive

    @property
    def heartbeat_interval(self) -> timedelta:
        """The time between two heartbeats of a worker."""
        return timedelta(seconds=self.report_s)

    @property
    def lease(self) -> timedelta:
        """How long a worker keeps its tasks running without a response to its heartbeats."""
        return timedelta(seconds=self.lease_s)

    @property
    def max_cancellation_time(self) -> timedelta:
        """The longest time that a task is allowed to keep running after its job was cancelled."""
        return timedelta(seconds=self.cancel_s)

    @property
    def gang_stop_time(self) -> timedelta:
        """The time within which a gang's tasks notice that one of them has ended, and within which all of them stop."""
        return timedelta(seconds=self.gang_peer_s)


class LaterStoreLimits(Struct, frozen=True):
    """Limits that the key-value store will adopt later, without notice. A limit that is None stays as it is."""

    rps: Positive | None = None
    write_rps: Positive | None = None
    value_kb: Positive | None = None
    txn_ops: Annotated[int, Meta(ge=2)] | None = None


class StoreLimits(Struct, frozen=True):
    """The limits of the key-value store: requests and changes per second, size of a value, changes per transaction.

    `next` holds the limits that the store will adopt later, if they are known.
    """

    rps: Positive
    write_rps: Positive
    value_kb: Positive
    txn_ops: Annotated[int, Meta(ge=2)]
    next: LaterStoreLimits | None = None

    @property
    def max_changes(self) -> int:
        """The maximum number of changes in a transaction: the lower of the current limit and the later one.

        Both are observed from the start, because the later limit can take effect at any time.
        """
        return min(self.txn_ops, (self.next and self.next.txn_ops) or self.txn_ops)

    @property
    def max_value_bytes(self) -> int:
        """The maximum size of a value: the lower of the current limit and the later one."""
        return int(min(self.value_kb, (self.next and self.next.value_kb) or self.value_kb) * 1024)

    @property
    def lower_rates(self) -> tuple[float, float]:
        """The maximum requests and changes per second: for each, the lower of the current limit and the later one."""
        later = self.next or LaterStoreLimits()
        return min(self.rps, later.rps or self.rps), min(self.write_rps, later.write_rps or self.write_rps)


class CloudLimits(Struct, frozen=True):
    """The number of requests per second that the cloud accepts, and the usual age of its machine list in seconds."""

    rps: Positive
    list_lag_s: Amount

    @property
    def list_lag(self) -> timedelta:
        """The usual age of the machine list that the cloud returns."""
        return timedelta(seconds=self.list_lag_s)


class HostLimits(Struct, frozen=True):
    """The resources that a controller is allowed to use on its host: CPUs, memory in MB, file descriptors."""

    cpu: Positive
    mem_mb: Positive
    fd_limit: Annotated[int, Meta(ge=32)]


class Params(Struct, frozen=True):
    """The settings that all controllers of a deployment share.

    `size` is the number of controllers. `time_bound_ms` is the largest error of a host's wall clock.
    """

    size: Annotated[int, Meta(ge=1, le=64)]
    zones: list[Name]
    workers: WorkerLimits
    state: StoreLimits
    cloud: CloudLimits
    resources: HostLimits
    teams: list[Team] = []
    objectives: list[Objective] = []
    time_bound_ms: Amount = 250.0


class PlatformSettings(Struct, frozen=True):
    """The platform's settings file."""

    host_name: Name
    zone: Name
    public_addr: Address
    mesh_addr: Address
    endpoints: Endpoints
    params: Params
    peers: list[PeerAddress] = field(name="siblings", default_factory=list)
