"""The operators' settings (HCL) as typed values. Unknown names are rejected, so that misspelt ones are noticed."""

from datetime import timedelta
from typing import Annotated

from msgspec import Meta, Struct, field


class Scheduling(Struct, frozen=True, forbid_unknown_fields=True):
    """Parameters of delay scheduling (`tau`, `wait_cap_s`) and utilization feedback (`delta`, `rho`, `period_s`).

    `tau`, `delta` and `rho` are the symbols of the paper that describes both algorithms. They are explained in
    `scheduling.delay_scheduling` and `scheduling.utilization_feedback`. `round_ms` limits each scheduling round.
    """

    tau: Annotated[float, Meta(ge=0, le=100)] = 1.0
    delta: Annotated[float, Meta(gt=0, lt=1)] = 0.6
    rho: Annotated[float, Meta(gt=1, le=100)] = 2.0
    period_s: Annotated[float, Meta(gt=0, le=600)] = 10.0
    wait_cap_s: Annotated[float, Meta(ge=0, le=600)] = 60.0
    round_ms: Annotated[float, Meta(gt=0, le=1000)] = 8.0

    @property
    def period(self) -> timedelta:
        """The interval at which utilization feedback updates each job's desire, the number of slots it should have."""
        return timedelta(seconds=self.period_s)

    @property
    def wait_cap(self) -> timedelta:
        """The longest time that delay scheduling lets a task wait for a machine or zone that caches its image."""
        return timedelta(seconds=self.wait_cap_s)

    @property
    def round(self) -> timedelta:
        """The time limit of one scheduling round. The next round continues where a round has stopped."""
        return timedelta(milliseconds=self.round_ms)


class FleetSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the autoscaler.

    `return_idle`: whether idle machines are returned to the cloud. If it is null, the platform's service objectives
    decide (see `scheduling.scale_out_planning.scales_out_ahead`). `most_machines`: the maximum size of the fleet.
    """

    return_idle: bool | None = None
    idle_s: Annotated[float, Meta(ge=0, le=86400)] = 40.0
    most_machines: Annotated[int, Meta(ge=1)] = 5000

    @property
    def max_idle_time(self) -> timedelta:
        """How long a machine may be idle before it is returned to the cloud."""
        return timedelta(seconds=self.idle_s)


class ElectionSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the lease that each controller holds in the key-value store in order to lead shards."""

    ttl_s: Annotated[float, Meta(ge=1, le=60)] = 4.0

    @property
    def ttl(self) -> timedelta:
        """How long a controller's lease lasts without renewal."""
        return timedelta(seconds=self.ttl_s)


class Rebalancing(Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of rebalancing, which is off if the file has no `rebalancing` block. See docs/rebalancing.md.

    `max_wait_ratio`: the target maximum of a team's median queue wait divided by the fleet's median queue wait. A team
    is favored as soon as its quotient exceeds half of this setting. `move_gain`: tasks are moved only if the moves save
    more than this many times their cost, both in CPU-seconds.
    """

    window_s: Annotated[float, Meta(ge=5, le=3600)] = 60.0
    stale_s: Annotated[float, Meta(ge=1, le=60)] = 5.0
    max_wait_ratio: Annotated[float, Meta(gt=1, le=100)] = 2.0
    moves_per_period: Annotated[int, Meta(ge=0, le=1000)] = 8
    move_period_s: Annotated[float, Meta(ge=1, le=3600)] = 30.0
    move_gain: Annotated[float, Meta(ge=1, le=100)] = 2.0
    move_rest_s: Annotated[float, Meta(ge=1, le=86400)] = 90.0

    @property
    def window(self) -> timedelta:
        """The time window over which queue waits are measured."""
        return timedelta(seconds=self.window_s)

    @property
    def stale_after(self) -> timedelta:
        """The age above which shards' load reports and the estimated waits for cached images are ignored."""
        return timedelta(seconds=self.stale_s)

    @property
    def move_period(self) -> timedelta:
        """The period in which at most `moves_per_period` tasks are moved."""
        return timedelta(seconds=self.move_period_s)

    @property
    def move_rest(self) -> timedelta:
        """The time after a move during which the task must not be moved again.

        During the same time, its job must not start tasks on the machine that the task left.
        """
        return timedelta(seconds=self.move_rest_s)


class Connectivity(Struct, frozen=True, forbid_unknown_fields=True):
    """Settings for partial network failures, such as the relaying of heartbeats. See docs/connectivity.md."""

    relay: bool = False
    relay_s: Annotated[float, Meta(ge=0, le=3600)] = 45.0
    relays_at_once: Annotated[int, Meta(ge=1, le=100_000)] = 4096
    settle_s: Annotated[float, Meta(ge=0, le=600)] = 8.0
    longest_settle_s: Annotated[float, Meta(ge=0, le=3600)] = 60.0
    penalty_half_life_s: Annotated[float, Meta(ge=1, le=3600)] = 30.0

    @property
    def relay_duration(self) -> timedelta:
        """How long heartbeats are relayed to a leader that its workers can't reach before leadership is transferred."""
        return timedelta(seconds=self.relay_s)

    @property
    def settle_time(self) -> timedelta:
        """How long connections must be stable, at least, before a shard returns to its home controller."""
        return timedelta(seconds=self.settle_s)

    @property
    def max_settle_time(self) -> timedelta:
        """The upper limit of the settle time, which grows from `settle_time` for connections that fail repeatedly."""
        return timedelta(seconds=self.longest_settle_s)

    @property
    def penalty_half_life(self) -> timedelta:
        """The half-life of the penalty by which repeated failures of a connection lengthen its settle time."""
        return timedelta(seconds=self.penalty_half_life_s)


class OperatorSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """The operators' settings file."""

    rebalancing: Rebalancing | None = None

    scheduling: Scheduling = Scheduling()
    fleet: FleetSettings = FleetSettings()
    election: ElectionSettings = field(name="claims", default=ElectionSettings())
    connectivity: Connectivity = Connectivity()
