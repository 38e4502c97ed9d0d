"""What teams use of their quota in one shard, and what of it is kept for other shards."""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple

from badgerroute.scheduling.model import Job
from badgerroute.scheduling.resources import EPSILON, Resources

# A team's processors and accelerators that the shard may use.
AllocationOf = Callable[[str], tuple[float, float]]


@dataclass(slots=True)
class Usage:
    """What a team's tasks use, everything that may be on a machine included."""

    cpus: float = 0.0
    accelerators: float = 0.0
    tasks: int = 0


class Reservation(NamedTuple):
    """Quota of a team that another shard is to have as this shard's tasks end, and until when it is kept for it."""

    resources: Resources
    until: timedelta


class QuotaLedger:
    """Usage and reservations by team.

    Invariant: what starts fits the shard's allocation less its usage and less what is reserved for other shards.
    """

    def __init__(self, allocation_of: AllocationOf) -> None:
        self.allocation_of = allocation_of
        self.usage: defaultdict[str, Usage] = defaultdict(Usage)
        self.reserved_for_peers: dict[str, Reservation] = {}

    def add(self, job: Job) -> None:
        """A task of the job may be on a machine from now on."""
        used = self.usage[job.spec.team]
        used.cpus += job.need.cpus
        used.accelerators += job.need.accelerators
        used.tasks += 1

    def remove(self, job: Job) -> None:
        """A task of the job is on no machine any more."""
        used = self.usage[job.spec.team]
        used.tasks -= 1
        if used.tasks:
            used.cpus -= job.need.cpus
            used.accelerators -= job.need.accelerators
        else:
            used.cpus = used.accelerators = 0.0  # no rounding errors left behind

    def fitting_tasks(self, job: Job, tasks: int) -> int:
        """How many of so many tasks of the job fit the team's quota."""
        team = job.spec.team
        cpus, accelerators = self.allocation_of(team)
        if team in self.reserved_for_peers:
            reserved = self.reserved_for_peers[team].resources
            cpus, accelerators = cpus - reserved.cpus, accelerators - reserved.accelerators
        used = self.usage[team]
        unused = Resources(cpus - used.cpus, accelerators - used.accelerators)
        return max(0, min(tasks, unused.times(Resources(job.need.cpus, job.need.accelerators))))

    def reserve_for_peer(self, team: str, resources: Resources, until: timedelta) -> None:
        """As the team's tasks end here, start nothing in so much of its quota: another shard is to have it."""
        if resources.cpus > EPSILON or resources.accelerators > EPSILON:
            self.reserved_for_peers[team] = Reservation(resources, until)
        else:
            self.reserved_for_peers.pop(team, None)

    def expire_reservations(self, now: timedelta) -> None:
        """Let go of quota that was kept for other shards and not called for."""
        expired = [team for team, reservation in self.reserved_for_peers.items() if reservation.until < now]
        for team in expired:
            del self.reserved_for_peers[team]
