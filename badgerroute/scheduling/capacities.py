"""Which tasks fit where, according to the free capacities that shards report to each other."""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from badgerroute.protocol.mesh import FreeCapacity, PendingDemand
from badgerroute.protocol.message_sizes import max_task_status_bytes
from badgerroute.protocol.users import Submission
from badgerroute.scheduling.model import Job
from badgerroute.scheduling.placement_constraints import allows, gang_fits, max_tasks_per_zone
from badgerroute.scheduling.resources import Resources


def free_resources_of(capacity: FreeCapacity) -> Resources:
    """The free resources of each single machine that `capacity` describes."""
    return Resources(capacity.cpus, capacity.accelerators, capacity.memory_gb, capacity.free_list_bytes)


def need_of_demand(demand: PendingDemand) -> Resources:
    """The resources that each task of a demand uses."""
    return Resources(demand.cpus, demand.accelerators, demand.memory_gb, max_task_status_bytes(demand.ref))


def fits_capacity(demand: PendingDemand, capacity: FreeCapacity) -> bool:
    """Whether a waiting task may run, and fits, on a machine that `capacity` describes."""
    return (
        (demand.types is None or capacity.type in demand.types)
        and demand.zone in (None, capacity.zone)
        and (demand.spot or not capacity.spot)
        and free_resources_of(capacity).holds(need_of_demand(demand))
    )


def slots_by_zone(job: Job, capacities: Iterable[FreeCapacity]) -> Counter[str]:
    """How many tasks of a job would fit in each zone, whatever its constraints on several zones."""
    slots: Counter[str] = Counter()
    for capacity in capacities:
        if allows(job.spec, capacity.type, capacity.zone, capacity.spot):
            slots[capacity.zone] += capacity.count * free_resources_of(capacity).count_fitting(job.task_resources)
    return slots


def holds_whole_job(job: Job, capacities: Iterable[FreeCapacity]) -> bool:
    """Whether all tasks of a job fit in these capacities at the same time."""
    return gang_fits(job.spec, slots_by_zone(job, capacities))


class SlotShortage(NamedTuple):
    """How many slots a gang lacks, and the zone in which it can use them; None: in any zone."""

    zone: str | None
    slots: int


def slot_shortage(spec: Submission, own: Counter[str], total: Counter[str]) -> SlotShortage:
    """What a gang lacks in its shard, where it has the slots `own`; all shards together have `total`, by zone.

    A gang of which all tasks must be in one zone lacks slots in the zone where the most would fit. A spread gang lacks
    slots in the zone where further ones bring the most, since it can use only half of its number of tasks in each.
    """
    if spec.together:
        zone = max(sorted(total), key=lambda name: (min(spec.tasks, total[name]), own[name]))
        return SlotShortage(zone, spec.tasks - own[zone])
    if not spec.spread:
        return SlotShortage(None, spec.tasks - own.total())
    most = max_tasks_per_zone(spec)
    usable = {name: min(own[name], most) for name in total}
    zone = max(sorted(total), key=lambda name: min(total[name], most) - usable[name])
    return SlotShortage(zone, min(most - usable[zone], spec.tasks - sum(usable.values())))
