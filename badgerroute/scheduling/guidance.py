"""The interface through which code outside the scheduling core influences a shard's decisions.

The scheduling rules ask for guidance where they leave a choice: which job of a group comes first, how long it pays to
wait for a cached image, and which machines to drain. The neutral defaults in this module influence nothing. An
implementation is passed to the shard; it never starts or stops tasks itself.
"""

from datetime import timedelta

from msgspec import UNSET, UnsetType

from badgerroute.protocol.mesh import ShardLoad
from badgerroute.scheduling import delay_scheduling
from badgerroute.scheduling.model import Job, Machine, Placement
from badgerroute.scheduling.shard_state import ShardView


class Guidance:
    """Neutral guidance; implementations override the methods for which they have information."""

    def task_placed(self, job: "Job", waited: timedelta, now: timedelta) -> None:
        """Called when a task was placed on a machine, with how long it had waited."""

    def image_fetched(self, placement: "Placement", took: timedelta) -> None:
        """Called when a machine has fetched a task's image, with how long the fetch took."""

    def precedence(self, job: "Job") -> float:
        """Sort key of a job among jobs of equal rank in the order of service; lower values come first."""
        return 0.0

    def may_exceed_desire(self, job: "Job") -> bool:
        """Whether a job that holds its desired slots may start more tasks before other jobs have theirs."""
        return False

    def fetch_time(self, job: "Job", machine: "Machine") -> timedelta:
        """How long a machine would take to fetch a job's image."""
        return delay_scheduling.fetch_time(job, machine)

    def local_wait(self, job: "Job") -> timedelta | None:
        """How soon a machine that caches a job's image should have free capacity for it, or None if unknown."""
        return None

    def drain_deadline(self, machine: str) -> timedelta | None:
        """When a machine must be empty, on the monotonic clock, or None if it is not drained."""
        return None

    def load(self, shard: ShardView, now: timedelta) -> ShardLoad | UnsetType:
        """The shard's waits and load for the other controllers, or UNSET if they are not reported."""
        return UNSET


NEUTRAL = Guidance()
