"""What fits where, judged by the free capacity that shards tell each other of."""

from collections import Counter
from collections.abc import Iterable

from badgerroute.protocol.mesh import FreeCapacity, PendingDemand
from badgerroute.scheduling.model import Job
from badgerroute.scheduling.placement_constraints import allows
from badgerroute.scheduling.resources import Resources

ANY_ZONE = ""


def free_resources_of(capacity: FreeCapacity) -> Resources:
    """What is free on each of these machines."""
    return Resources(capacity.cpus, capacity.accelerators, capacity.memory_gb)


def fits_capacity(demand: PendingDemand, capacity: FreeCapacity) -> bool:
    """Whether a waiting task could run on such a machine as it is now."""
    return (
        (demand.types is None or capacity.type in demand.types)
        and demand.zone in (None, capacity.zone)
        and (demand.spot or not capacity.spot)
        and free_resources_of(capacity).holds(Resources(demand.cpus, demand.accelerators, demand.memory_gb))
    )


def slots_by_zone(job: Job, capacities: Iterable[FreeCapacity]) -> Counter[str]:
    """How many of a job's tasks fit there: by zone if they must lie in one, else under ANY_ZONE."""
    slots: Counter[str] = Counter()
    for capacity in capacities:
        if allows(job.spec, capacity.type, capacity.zone, capacity.spot):
            zone_key = capacity.zone if job.spec.together else ANY_ZONE
            slots[zone_key] += capacity.count * free_resources_of(capacity).times(job.need)
    return slots


def holds_whole_job(job: Job, capacities: Iterable[FreeCapacity]) -> bool:
    """Whether all of a job's tasks fit there at once."""
    return max(slots_by_zone(job, capacities).values(), default=0) >= job.spec.tasks
