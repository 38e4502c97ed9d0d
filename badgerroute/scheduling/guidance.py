"""The interface through which code outside this package influences a shard's decisions.

The scheduling rules ask for guidance where they leave a choice: which of several jobs of equal rank comes first, how
long it pays to wait for a machine that caches the image, and which machines to drain. The neutral defaults in this
module change no decision. An implementation is passed to the shard; it never starts or stops tasks itself.
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
        """Called when a task was placed on a machine; `waited` is how long the task had waited."""

    def image_fetched(self, placement: "Placement", took: timedelta) -> None:
        """Called when a machine has fetched a task's image; `took` is the duration of the fetch."""

    def precedence(self, job: "Job") -> float:
        """Sort key of a job among jobs of equal rank in the order of service; lower values come first."""
        return 0.0

    def may_exceed_desire(self, job: "Job") -> bool:
        """Whether a job may start tasks beyond its desired slots even before other jobs have their desired slots."""
        return False

    def fetch_time(self, job: "Job", machine: "Machine") -> timedelta:
        """How long a machine would take to fetch a job's image."""
        return delay_scheduling.fetch_time(job, machine)

    def local_wait(self, job: "Job") -> timedelta | None:
        """How soon a machine that caches a job's image should have free capacity for it, or None if unknown."""
        return None

    def drain_deadline(self, machine: str) -> timedelta | None:
        """When a machine must be empty, on the monotonic clock, or None if it is not being drained."""
        return None

    def load(self, shard: ShardView, now: timedelta) -> ShardLoad | UnsetType:
        """The shard's load and waiting times to report to the other controllers, or UNSET to report none."""
        return UNSET


NEUTRAL = Guidance()
