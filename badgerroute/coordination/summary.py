"""What a part tells the others: its free room, where images lie, what waits in it."""

from collections import Counter
from collections.abc import Iterable
from datetime import timedelta

from badgerroute.protocol.mesh import FreeCapacity, PartSummary, PendingDemand
from badgerroute.protocol.users import Priority
from badgerroute.scheduling.model import Machine, Room
from badgerroute.scheduling.part import Part
from badgerroute.scheduling.planner import Planner

MAX_DEMANDS = 200
MAX_IMAGE_MACHINES = 16  # machines that cache an image, of which the others are told


def idle_capacities(part: Part) -> tuple[list[FreeCapacity], dict[str, tuple[float, float]]]:
    """The free room of a part's machines, and where images lie in it."""
    images: dict[str, tuple[float, float]] = {}
    rooms: list[tuple[Machine, Room]] = []
    for machine in part.machines.values():
        if not machine.usable or machine.held_for is not None or machine.free.cpus < 1e-6:
            continue
        free = machine.free
        rooms.append((machine, free))
        for image in machine.images:
            total, most = images.get(image, (0.0, 0.0))
            images[image] = (total + free.cpus, max(most, free.cpus))
    return _capacities(rooms), images


def _capacities(rooms: Iterable[tuple[Machine, Room]]) -> list[FreeCapacity]:
    counts = Counter(
        (
            machine.kind.name,
            machine.zone,
            machine.spot,
            round(room.cpus, 3),
            round(room.accelerators, 3),
            round(room.memory_gb, 3),
        )
        for machine, room in rooms
    )
    return [FreeCapacity(*key, count) for key, count in counts.items()]


def _demands(planner: Planner, now: timedelta) -> list[PendingDemand]:
    return [
        PendingDemand(
            one.ref,
            one.team,
            one.need.cpus,
            one.need.accelerators,
            one.need.memory_gb,
            one.count,
            one.gang,
            one.level,
            one.guaranteed,
            one.waited.total_seconds(),
            one.job.spec.types,
            one.job.spec.zone,
            one.job.spec.spot,
        )
        for one in planner.shapes(now)[:MAX_DEMANDS]
    ]


def summarize(
    part: Part, planner: Planner, levels: set[int], rents_ahead: bool, now: timedelta, silent: bool = False
) -> PartSummary:
    """`levels`: those of the gangs there are, which others may want to make room for here."""
    capacities, images = idle_capacities(part)
    running = {
        job.ref: count
        for job in part.jobs.values()
        if (count := sum(one.running_since is not None for one in job.placed.values()))
    }
    return PartSummary(
        part=part.number,
        term=part.term,
        settled=part.settled,
        machines=len(part.machines),
        capacities=capacities,
        images=images,
        beside=planner.room_beside_images(max(levels, default=Priority.URGENT.level), MAX_IMAGE_MACHINES),
        soft={level: _capacities(planner.room_without(level)) for level in levels},
        demands=_demands(planner, now),
        freeing=0.0 if rents_ahead else planner.freeing(now),  # only renting by need looks at it
        running=running,
        used={team: (one.cpus, one.accelerators) for team, one in part.usage.items() if one.tasks},
        silent=silent,
    )
