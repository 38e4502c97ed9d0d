"""Advice that a shard's decisions take from outside the scheduling core.

The planner asks at a few places where the rules leave it a choice: which of equals comes first, how long waiting for
a cached image pays, which machines are to be emptied. The neutral advice here leaves every decision as it is without
it. What advises is handed to the shard; it never starts or stops anything by itself.
"""

from datetime import timedelta

from msgspec import UNSET, UnsetType

from badgerroute.protocol.mesh import ShardLoad
from badgerroute.scheduling import delay_scheduling
from badgerroute.scheduling.model import Job, Machine, Placement
from badgerroute.scheduling.shard_state import ShardView


class Guidance:
    """Neutral advice; what advises overrides what it has something to say about."""

    def task_placed(self, job: "Job", waited: timedelta, now: timedelta) -> None:
        """A task was placed on a machine after it had waited for so long."""

    def image_fetched(self, placement: "Placement", took: timedelta) -> None:
        """A task's image, which its machine did not cache, has arrived."""

    def precedence(self, job: "Job") -> float:
        """Among jobs that the order of service does not tell apart, less comes first."""
        return 0.0

    def may_exceed_desire(self, job: "Job") -> bool:
        """Whether a job that holds as much as its desire may still start tasks before others' desires are filled."""
        return False

    def fetch_time(self, job: "Job", machine: "Machine") -> timedelta:
        """How long a machine would take to fetch a job's image."""
        return delay_scheduling.fetch_time(job, machine)

    def local_wait(self, job: "Job") -> timedelta | None:
        """How soon a machine that caches a job's image should have room for it; None: there is no telling."""
        return None

    def drain_deadline(self, machine: str) -> timedelta | None:
        """When a machine is to be empty, on the steady clock; None: it is not to be drained."""
        return None

    def load(self, shard: ShardView, now: timedelta) -> ShardLoad | UnsetType:
        """What the other controllers are told of the shard's waits and load."""
        return UNSET


NEUTRAL = Guidance()
