"""The summary of a shard for the others: its free room, which images are cached where, what waits in it."""

from collections import Counter
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from badgerroute.protocol.mesh import FreeCapacity, ImageCapacity, PendingDemand, ShardSummary
from badgerroute.protocol.users import Priority
from badgerroute.scheduling.model import Machine
from badgerroute.scheduling.planner import Planner
from badgerroute.scheduling.resources import Resources
from badgerroute.scheduling.shard import Shard

MIN_DEMANDS = 200  # jobs whose waiting tasks are in a summary, however small the shard is
MACHINES_PER_DEMAND = 2
MAX_CAPACITY_GROUPS = 500  # groups of machines with the same free room in a summary
ROUNDING_STEPS = (0.25, 1.0, 4.0, 16.0)  # of processors and GB, tried in turn where there are more
MAX_IMAGE_MACHINES = 16  # machines that cache an image in a summary
MIN_FREE_CPUS = 1e-6  # less is a rounding error

# Plain tuples, since one of each is made for every machine several times a second.
MachineRoom = tuple[Machine, Resources]  # a machine, and the room on it
CapacityKey = tuple[str, str, bool, float, float, float]  # the fields of `FreeCapacity` before its count


class IdleCapacity(NamedTuple):
    """The free room of a shard's machines, and the images cached on those machines."""

    capacities: list[FreeCapacity]
    images: dict[str, ImageCapacity]


def idle_capacities(shard: Shard) -> IdleCapacity:
    """The free room of a shard's machines on which something may start now."""
    total: dict[str, float] = {}  # by image
    largest: dict[str, float] = {}
    rooms: list[MachineRoom] = []
    for machine in shard.machines.values():
        if not machine.usable or machine.reserved_for is not None or machine.free.cpus < MIN_FREE_CPUS:
            continue
        free_cpus = machine.free.cpus
        rooms.append((machine, machine.free))
        for image in machine.images:
            total[image] = total.get(image, 0.0) + free_cpus
            largest[image] = max(largest.get(image, 0.0), free_cpus)
    images = {image: ImageCapacity(total[image], largest[image]) for image in total}
    return IdleCapacity(_capacities(rooms), images)


def max_demands(machines: int) -> int:
    """How many jobs' waiting tasks a summary has: at 4,000 machines more of them can start at once than at 100."""
    return max(MIN_DEMANDS, machines // MACHINES_PER_DEMAND)


def _exactly(amount: float) -> float:
    return round(amount, 3)


def _group(rooms: list[MachineRoom], rounded: Callable[[float], float]) -> Counter[CapacityKey]:
    return Counter(
        (
            machine.kind.name,
            machine.zone,
            machine.spot,
            rounded(room.cpus),
            rounded(room.accelerators),
            rounded(room.memory_gb),
        )
        for machine, room in rooms
    )


def _capacities(rooms: list[MachineRoom]) -> list[FreeCapacity]:
    """Machines by their free room.

    Where thousands of machines all have a different room, it is rounded down: the summary stays small, and whoever
    asks for the room is judged by the exact figures again.
    """
    counts = _group(rooms, _exactly)
    for step in ROUNDING_STEPS:
        if len(counts) <= MAX_CAPACITY_GROUPS:
            break
        counts = _group(rooms, lambda amount, step=step: amount // step * step)  # type: ignore[misc]
    return [FreeCapacity(*key, count) for key, count in counts.items()]


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
    """The summary of a shard as it is now; it looks at every machine and every waiting job.

    `levels`: priority levels of the gangs there are, which other shards may want to make room for here.
    `workers_silent`: whether the heartbeats of at least half of the machines are overdue.
    """
    capacities, images = idle_capacities(shard)
    running = {
        job.ref: count
        for job in shard.jobs.values()
        if (count := sum(placement.running_since is not None for placement in job.placed.values()))
    }
    return ShardSummary(
        shard=shard.number,
        term=shard.term,
        reconciled=shard.reconciled,
        machines=len(shard.machines),
        capacities=capacities,
        images=images,
        cached_image_cpus=planner.reclaimable_cpus_by_image(
            max(levels, default=Priority.URGENT.level), MAX_IMAGE_MACHINES
        ),
        preemptible_capacities={level: _capacities(planner.reclaimable_by_machine(level)) for level in levels},
        demands=_demands(planner, now),
        soon_free_cpus=0.0 if scales_out_ahead else planner.freeing(now),  # only renting by need looks at it
        running=running,
        used={team: (usage.cpus, usage.accelerators) for team, usage in shard.usage.items() if usage.tasks},
        workers_silent=workers_silent,
        load=shard.guidance.load(shard, now),
    )
