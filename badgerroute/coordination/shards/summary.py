"""The summary of a shard for the other shards: its free capacity, its cached images and its waiting tasks."""

from collections import Counter
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from badgerroute.protocol.mesh import (
    LIST_BYTES_STEP,
    UNCROWDED_LIST_BYTES,
    CrowdedCapacity,
    FreeCapacity,
    ImageCapacity,
    PendingDemand,
    ShardSummary,
    TaskListRoom,
    crowded_only,
    uncrowded_only,
)
from badgerroute.protocol.users import Priority
from badgerroute.scheduling.model import Machine
from badgerroute.scheduling.planner import Planner
from badgerroute.scheduling.resources import Resources
from badgerroute.scheduling.shard import Shard

MIN_DEMANDS = 200  # a summary may list at least this many waiting jobs, however small the shard is
MACHINES_PER_DEMAND = 2  # the summary of a large shard may list one waiting job per two machines
MAX_CAPACITY_GROUPS = 500  # if a summary has more groups of machines with equal free capacity, amounts are rounded
# Amounts are rounded down to multiples of the first step that leaves at most MAX_CAPACITY_GROUPS groups, or else of the
# last step. The unit is one processor, accelerator or GB.
ROUNDING_STEPS = (0.25, 1.0, 4.0, 16.0)
MAX_IMAGE_MACHINES = 16  # a summary lists at most this many machines for each image
MIN_FREE_CPUS = 1e-6  # a smaller amount is a rounding error

# Both are plain tuples for speed, since one of each is created for every machine several times a second.
MachineResources = tuple[Machine, Resources]  # a machine, and its free or reclaimable resources
# type, zone, spot, cpus, accelerators, memory_gb, list_bytes
CapacityKey = tuple[str, str, bool, float, float, float, int]


class IdleCapacity(NamedTuple):
    """The free capacity of a shard's machines, and the images cached on those machines."""

    capacities: list[FreeCapacity]
    images: dict[str, ImageCapacity]


def idle_capacities(shard: Shard) -> IdleCapacity:
    """Return the free capacity of those machines of a shard on which tasks may be started now."""
    total_cpus: dict[str, float] = {}  # by image
    largest_cpus: dict[str, float] = {}
    machine_resources: list[MachineResources] = []
    for machine in shard.machines.values():
        if not machine.usable or machine.reserved_for is not None or machine.free.cpus < MIN_FREE_CPUS:
            continue
        free_cpus = machine.free.cpus
        machine_resources.append((machine, machine.free))
        for image in machine.images:
            total_cpus[image] = total_cpus.get(image, 0.0) + free_cpus
            largest_cpus[image] = max(largest_cpus.get(image, 0.0), free_cpus)
    images = {image: ImageCapacity(total_cpus[image], largest_cpus[image]) for image in total_cpus}
    return IdleCapacity(_group_capacities(machine_resources), images)


def max_demands(machines: int) -> int:
    """Return the maximum number of jobs whose waiting tasks a summary lists.

    It grows with the shard: with 4,000 machines, more jobs can start at once than with 100.
    """
    return max(MIN_DEMANDS, machines // MACHINES_PER_DEMAND)


def _without_rounding_error(amount: float) -> float:
    return round(amount, 3)


def _count_by_capacity(
    machine_resources: list[MachineResources], rounding: Callable[[float], float]
) -> Counter[CapacityKey]:
    return Counter(
        (
            machine.machine_type.name,
            machine.zone,
            machine.spot,
            rounding(resources.cpus),
            rounding(resources.accelerators),
            rounding(resources.memory_gb),
            min(UNCROWDED_LIST_BYTES, resources.list_bytes // LIST_BYTES_STEP * LIST_BYTES_STEP),
        )
        for machine, resources in machine_resources
    )


def _group_capacities(machine_resources: list[MachineResources]) -> list[FreeCapacity]:
    """Group machines by their free or reclaimable resources.

    If thousands of machines all differ, amounts are rounded down to keep the summary small. This is safe, as requests
    from other shards are checked against the exact amounts.
    """
    counts = _count_by_capacity(machine_resources, _without_rounding_error)
    for step in ROUNDING_STEPS:
        if len(counts) <= MAX_CAPACITY_GROUPS:
            break
        counts = _count_by_capacity(machine_resources, lambda amount, step=step: amount // step * step)  # type: ignore[misc]
    return [_capacity(key, count) for key, count in counts.items()]


def _capacity(key: CapacityKey, count: int) -> FreeCapacity:
    type_name, zone, spot, cpus, accelerators, memory_gb, list_bytes = key
    if list_bytes >= UNCROWDED_LIST_BYTES:
        return FreeCapacity(type_name, zone, spot, cpus, accelerators, memory_gb, count)
    return CrowdedCapacity(type_name, zone, spot, cpus, accelerators, memory_gb, count, list_bytes)


def _demands(planner: Planner, now: timedelta) -> list[PendingDemand]:
    return [
        PendingDemand(
            demand.ref,
            demand.team,
            demand.need.cpus,
            demand.need.accelerators,
            demand.need.memory_gb,
            demand.count,
            demand.gang,
            demand.level,
            demand.guaranteed,
            demand.waited.total_seconds(),
            demand.job.spec.types,
            demand.job.spec.zone,
            demand.job.spec.spot,
        )
        for demand in planner.waiting_demands(now)[: max_demands(len(planner.shard.machines))]
    ]


def summarize(
    shard: Shard,
    planner: Planner,
    levels: set[int],
    scales_out_ahead: bool,
    now: timedelta,
    workers_silent: bool = False,
) -> ShardSummary:
    """Compute the summary of a shard as it is now. This visits every machine and every waiting job.

    `levels`: the priority levels of all gangs. The summary tells how much capacity a gang of each level could get here
    after preemption, since gangs may move here from other shards.
    `scales_out_ahead`: whether machines are rented before work arrives, rather than on demand.
    `workers_silent`: whether the heartbeats of at least half of the machines are overdue.
    """
    capacities, images = idle_capacities(shard)
    # Used only when renting on demand.
    soon_free = Resources() if scales_out_ahead else planner.soon_free(now)
    running = {
        job.ref: count
        for job in shard.jobs.values()
        if (count := sum(placement.running_since is not None for placement in job.placements.values()))
    }
    return ShardSummary(
        shard=shard.number,
        term=shard.term,
        reconciled=shard.reconciled,
        machines=len(shard.machines),
        capacities=uncrowded_only(capacities),
        images=images,
        cached_image_cpus=planner.reclaimable_cpus_by_image(
            max(levels, default=Priority.URGENT.level), MAX_IMAGE_MACHINES
        ),
        preemptible_capacities={
            level: uncrowded_only(_group_capacities(planner.reclaimable_by_machine(level))) for level in levels
        },
        demands=_demands(planner, now),
        soon_free_cpus=soon_free.cpus,
        running=running,
        used={team: (usage.cpus, usage.accelerators) for team, usage in shard.usage.items() if usage.tasks},
        workers_silent=workers_silent,
        load=shard.guidance.load(shard, now),
        task_lists=TaskListRoom(soon_free.list_bytes, crowded_only(capacities)),
    )
