"""Which tasks fit where, according to the free capacities that shards report to each other."""

from collections import Counter
from collections.abc import Iterable

from badgerroute.protocol.mesh import FreeCapacity, PendingDemand
from badgerroute.scheduling.model import Job
from badgerroute.scheduling.placement_constraints import allows
from badgerroute.scheduling.resources import Resources

# The only key in the result of `slots_by_zone` for a job whose tasks may run in different zones.
ANY_ZONE = ""


def free_resources_of(capacity: FreeCapacity) -> Resources:
    """The free resources of each single machine that `capacity` describes."""
    return Resources(capacity.cpus, capacity.accelerators, capacity.memory_gb)


def fits_capacity(demand: PendingDemand, capacity: FreeCapacity) -> bool:
    """Whether a waiting task may run, and fits, on a machine that `capacity` describes."""
    return (
        (demand.types is None or capacity.type in demand.types)
        and demand.zone in (None, capacity.zone)
        and (demand.spot or not capacity.spot)
        and free_resources_of(capacity).holds(Resources(demand.cpus, demand.accelerators, demand.memory_gb))
    )


def slots_by_zone(job: Job, capacities: Iterable[FreeCapacity]) -> Counter[str]:
    """How many tasks of a job fit: by zone if all tasks must be in one zone, otherwise as one sum for `ANY_ZONE`."""
    slots: Counter[str] = Counter()
    for capacity in capacities:
        if allows(job.spec, capacity.type, capacity.zone, capacity.spot):
            zone_key = capacity.zone if job.spec.together else ANY_ZONE
            slots[zone_key] += capacity.count * free_resources_of(capacity).count_fitting(job.task_resources)
    return slots


def holds_whole_job(job: Job, capacities: Iterable[FreeCapacity]) -> bool:
    """Whether all tasks of a job fit in these capacities at the same time."""
    return max(slots_by_zone(job, capacities).values(), default=0) >= job.spec.tasks
