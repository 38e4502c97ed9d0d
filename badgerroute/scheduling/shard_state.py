"""Interfaces to a shard's state, used by modules that `shard` itself imports; this avoids import cycles."""

from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

from badgerroute.scheduling.duration_estimates import DurationEstimates
from badgerroute.scheduling.model import Job, Machine, Placement
from badgerroute.scheduling.task_phase import Phase


class ShardView(Protocol):
    """Read access to a shard's machines and jobs."""

    number: int
    lease: timedelta
    led_since: timedelta
    machines: dict[str, Machine]
    jobs: dict[str, Job]

    def waits_for_quota(self, job: Job) -> bool:
        """Whether a job can't start because its team's quota in this shard is used up."""


class ShardState(ShardView, Protocol):
    """The parts of a shard that heartbeat reconciliation, lease expiry and failure tracking use and change."""

    required_fencing_token: int
    reconciled: bool
    undecided: Callable[[str], bool]
    estimates: DurationEstimates

    @property
    def image_fetched(self) -> Callable[[Placement, timedelta], None]:
        """The callback for a fetched image. It takes a placement that needed the image, and the fetch's duration."""

    def lose_tasks(self, machine: Machine, now: timedelta) -> None:
        """Release all tasks of a machine, which are proven not to run any more."""

    def place(self, job: Job, index: int, attempt: int, machine: Machine, now: timedelta, phase: Phase) -> Placement:
        """Record an attempt of a task as placed on a machine."""

    def remove_placement(self, placement: Placement) -> None:
        """Remove a placement from its machine and its job."""

    def release(self, placement: Placement, now: timedelta) -> None:
        """Remove the placement of a task that is proven not to run any more. Unless it is done, it waits again."""

    def stop(self, placement: Placement, grace: timedelta) -> None:
        """Stop a task with a grace period to save its work."""

    def stop_gang(self, job: Job, grace: timedelta) -> None:
        """Stop all tasks of a gang with a grace period to save their work."""
