"""The platform's settings file (TOML), as typed values. It may add fields at any time, so unknown ones are ignored."""

from datetime import timedelta
from math import inf
from typing import Annotated

from msgspec import Meta, Struct, field

Name = Annotated[str, Meta(min_length=1, max_length=120)]
Address = Annotated[str, Meta(pattern=r"^[0-9A-Za-z.\-]+:[0-9]{1,5}$")]
Positive = Annotated[float, Meta(gt=0)]
Amount = Annotated[float, Meta(ge=0)]


class PeerAddress(Struct, frozen=True):
    """Another controller."""

    host_name: Name
    zone: Name
    endpoint: Address


class Endpoints(Struct, frozen=True):
    """Where the outside systems are."""

    cloud: Address
    state: Address


class Team(Struct, frozen=True):
    """A team's guarantee and limit."""

    name: Name
    cpus: Amount = 0.0
    cpus_max: Amount = 0.0
    gpus: Amount = 0.0
    gpus_max: Amount = 0.0

    @property
    def limits(self) -> tuple[float, float]:
        """What the team's tasks may use at any time, processors and accelerators.

        0 is the platform's word for no limit. Taken for "nothing", it once had every job of a guest team refused.
        """
        return self.cpus_max or inf, self.gpus_max or inf


class Objective(Struct, frozen=True):
    """An aim of the users."""

    kind: str
    share: float = 1.0
    job_class: str | None = field(name="class", default=None)
    within_s: float | None = None
    times: float | None = None


class WorkerLimits(Struct, frozen=True):
    """The times that workers keep to."""

    report_s: Positive
    lease_s: Positive
    gang_wait_s: Positive
    gang_peer_s: Positive
    cancel_s: Positive

    @property
    def heartbeat_interval(self) -> timedelta:
        """The time between two heartbeats."""
        return timedelta(seconds=self.report_s)

    @property
    def lease(self) -> timedelta:
        """How long a worker keeps its tasks without an answer."""
        return timedelta(seconds=self.lease_s)

    @property
    def cancel(self) -> timedelta:
        """How long a cancelled task may still be on a machine."""
        return timedelta(seconds=self.cancel_s)

    @property
    def gang_peer(self) -> timedelta:
        """How soon a gang's tasks notice that one is gone, or stop together."""
        return timedelta(seconds=self.gang_peer_s)


class LaterStoreLimits(Struct, frozen=True):
    """Limits that the key-value store will have from some moment on, without notice; null: as now."""

    rps: Positive | None = None
    write_rps: Positive | None = None
    value_kb: Positive | None = None
    txn_ops: Annotated[int, Meta(ge=2)] | None = None


class StoreLimits(Struct, frozen=True):
    """What the key-value store takes."""

    rps: Positive
    write_rps: Positive
    value_kb: Positive
    txn_ops: Annotated[int, Meta(ge=2)]
    next: LaterStoreLimits | None = None

    @property
    def max_changes(self) -> int:
        """In one transaction, now and later: nobody says when the lower limit comes."""
        return min(self.txn_ops, (self.next and self.next.txn_ops) or self.txn_ops)

    @property
    def max_value_bytes(self) -> int:
        """Of a value, now and later."""
        return int(min(self.value_kb, (self.next and self.next.value_kb) or self.value_kb) * 1024)

    @property
    def lower_rates(self) -> tuple[float, float]:
        """Requests and changes a second once the service has lowered its limits."""
        later = self.next or LaterStoreLimits()
        return min(self.rps, later.rps or self.rps), min(self.write_rps, later.write_rps or self.write_rps)


class CloudLimits(Struct, frozen=True):
    """What the cloud takes, and how far its list lags."""

    rps: Positive
    list_lag_s: Amount

    @property
    def list_lag(self) -> timedelta:
        """How old the machine list usually is."""
        return timedelta(seconds=self.list_lag_s)


class HostLimits(Struct, frozen=True):
    """What a controller may use of its host."""

    cpu: Positive
    mem_mb: Positive
    fd_limit: Annotated[int, Meta(ge=32)]


class Params(Struct, frozen=True):
    """What all controllers of a deployment have in common."""

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
