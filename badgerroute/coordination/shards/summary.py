"""What a shard tells the others: its free room, where images lie, what waits in it."""

from collections import Counter
from collections.abc import Callable
from datetime import timedelta

from badgerroute.protocol.mesh import FreeCapacity, PendingDemand, ShardSummary
from badgerroute.protocol.users import Priority
from badgerroute.scheduling.model import Machine
from badgerroute.scheduling.planner import Planner
from badgerroute.scheduling.resources import Resources
from badgerroute.scheduling.shard import Shard

MIN_DEMANDS = 200  # that are told of, however small a shard is
MACHINES_PER_DEMAND = 2
MAX_CAPACITY_GROUPS = 500  # kinds of free room that are told apart
ROUNDING_STEPS = (0.25, 1.0, 4.0, 16.0)  # of processors and GB, tried in turn where there are more
MAX_IMAGE_MACHINES = 16  # machines that cache an image, of which the others are told


def idle_capacities(shard: Shard) -> tuple[list[FreeCapacity], dict[str, tuple[float, float]]]:
    """The free room of a shard's machines, and where images lie in it."""
    images: dict[str, tuple[float, float]] = {}
    rooms: list[tuple[Machine, Resources]] = []
    for machine in shard.machines.values():
        if not machine.usable or machine.reserved_for is not None or machine.free.cpus < 1e-6:
            continue
        free = machine.free
        rooms.append((machine, free))
        for image in machine.images:
            total, most = images.get(image, (0.0, 0.0))
            images[image] = (total + free.cpus, max(most, free.cpus))
    return _capacities(rooms), images


def max_demands(machines: int) -> int:
    """How many jobs' waiting tasks are told of: at 4,000 machines more of them can start at once than at 100."""
    return max(MIN_DEMANDS, machines // MACHINES_PER_DEMAND)


def _exactly(amount: float) -> float:
    return round(amount, 3)


def _group(
    rooms: list[tuple[Machine, Resources]], rounded: Callable[[float], float]
) -> Counter[tuple[str, str, bool, float, float, float]]:
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


def _capacities(rooms: list[tuple[Machine, Resources]]) -> list[FreeCapacity]:
    """Machines by their free room.

    Where thousands of machines all have a different room, it is rounded down: what is told stays small, and whoever
    asks for it is judged by the exact room again.
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
    shard: Shard, planner: Planner, levels: set[int], scales_out_ahead: bool, now: timedelta, silent: bool = False
) -> ShardSummary:
    """`levels`: those of the gangs there are, which others may want to make room for here."""
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
        beside=planner.reclaimable_cpus_by_image(max(levels, default=Priority.URGENT.level), MAX_IMAGE_MACHINES),
        soft={level: _capacities(planner.reclaimable_by_machine(level)) for level in levels},
        demands=_demands(planner, now),
        freeing=0.0 if scales_out_ahead else planner.freeing(now),  # only renting by need looks at it
        running=running,
        used={team: (usage.cpus, usage.accelerators) for team, usage in shard.usage.items() if usage.tasks},
        silent=silent,
        load=shard.guidance.load(shard, now),
    )
