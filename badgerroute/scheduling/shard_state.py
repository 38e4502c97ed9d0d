"""What of a shard's state those modules may use that `shard` is built from."""

from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

from badgerroute.scheduling.duration_estimates import DurationEstimates
from badgerroute.scheduling.model import Job, Machine, Placement
from badgerroute.scheduling.task_phase import Phase


class ShardView(Protocol):
    """A shard's members and jobs, to be looked at."""

    number: int
    lease: timedelta
    led_since: timedelta
    machines: dict[str, Machine]
    jobs: dict[str, Job]

    def short_of_quota(self, job: Job) -> bool:
        """Whether a job waits only for quota of its team's limit."""


class ShardState(ShardView, Protocol):
    """A shard as those see it that read heartbeats and judge failures for it."""

    fence: int
    reconciled: bool
    undecided: Callable[[str], bool]
    estimates: DurationEstimates

    @property
    def image_fetched(self) -> Callable[[Placement, timedelta], None]:
        """Told of each image that was fetched, and how long that took."""

    def lose_tasks(self, machine: Machine, now: timedelta) -> None:
        """Everything on the machine is provably dead."""

    def place(self, job: Job, index: int, attempt: int, machine: Machine, now: timedelta, phase: Phase) -> Placement:
        """A task counts as on the machine from now on."""

    def forget(self, placement: Placement) -> None:
        """A task is off its machine and done."""

    def release(self, placement: Placement, now: timedelta) -> None:
        """A task is off its machine and waits again."""

    def stop(self, placement: Placement, grace: timedelta) -> None:
        """Have a task stopped."""

    def stop_gang(self, job: Job, grace: timedelta) -> None:
        """Have all tasks of a gang stopped."""
