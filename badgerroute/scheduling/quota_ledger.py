"""How much quota each team uses in one shard, and how much of it is reserved for other shards."""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple

from badgerroute.scheduling.model import Job
from badgerroute.scheduling.resources import EPSILON, Resources

# Returns the processors and accelerators that a team may use in the shard.
AllocationOf = Callable[[str], tuple[float, float]]


@dataclass(slots=True)
class Usage:
    """The resources that a team's tasks use, counting every task that may still run on a machine."""

    cpus: float = 0.0
    accelerators: float = 0.0
    tasks: int = 0


class Reservation(NamedTuple):
    """Quota of a team that is kept for another shard until a given time.

    It may still be in use when it is reserved. Tasks that end in this shard then free it.
    """

    resources: Resources
    until: timedelta


class QuotaLedger:
    """Usage and reservations by team.

    Invariant: a task starts only if it fits in the shard's allocation less its usage and its reservations for peers.
    """

    def __init__(self, allocation_of: AllocationOf) -> None:
        self.allocation_of = allocation_of
        self.usage: defaultdict[str, Usage] = defaultdict(Usage)
        self.reserved_for_peers: dict[str, Reservation] = {}

    def add(self, job: Job) -> None:
        """Add the usage of one task of a job when it is placed."""
        used = self.usage[job.spec.team]
        used.cpus += job.task_resources.cpus
        used.accelerators += job.task_resources.accelerators
        used.tasks += 1

    def remove(self, job: Job) -> None:
        """Subtract the usage of one task of a job when its placement is removed."""
        used = self.usage[job.spec.team]
        used.tasks -= 1
        if used.tasks:
            used.cpus -= job.task_resources.cpus
            used.accelerators -= job.task_resources.accelerators
        else:
            used.cpus = used.accelerators = 0.0  # discards accumulated rounding errors

    def fitting_tasks(self, job: Job, tasks: int) -> int:
        """How many of `tasks` tasks of a job fit in its team's quota."""
        team = job.spec.team
        cpus, accelerators = self.allocation_of(team)
        if team in self.reserved_for_peers:
            reserved = self.reserved_for_peers[team].resources
            cpus, accelerators = cpus - reserved.cpus, accelerators - reserved.accelerators
        used = self.usage[team]
        unused = Resources(cpus - used.cpus, accelerators - used.accelerators)
        return max(
            0, min(tasks, unused.count_fitting(Resources(job.task_resources.cpus, job.task_resources.accelerators)))
        )

    def reserve_for_peer(self, team: str, resources: Resources, until: timedelta) -> None:
        """Reserve a team's quota for another shard: quota that ending tasks free is not used again in this shard."""
        if resources.cpus > EPSILON or resources.accelerators > EPSILON:
            self.reserved_for_peers[team] = Reservation(resources, until)
        else:
            self.reserved_for_peers.pop(team, None)

    def expire_reservations(self, now: timedelta) -> None:
        """Release quota that was reserved for other shards and not requested in time."""
        expired = [team for team, reservation in self.reserved_for_peers.items() if reservation.until < now]
        for team in expired:
            del self.reserved_for_peers[team]
