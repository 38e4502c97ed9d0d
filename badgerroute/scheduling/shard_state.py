"""What of a shard's state the modules may use that `shard` itself is built of."""

from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

from badgerroute.scheduling.model import Job, Machine, Phase, Placement


class DurationEstimates(Protocol):
    """Learns how much longer jobs of a class run than their users say."""

    def learn(self, job_class: str, estimate: timedelta, actual: timedelta) -> None:
        """Take in the run time of a finished task."""


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

    @property
    def estimates(self) -> DurationEstimates:
        """What run times were learned."""

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
