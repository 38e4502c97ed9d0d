"""What a part tells the others: its free room, where images lie, what waits in it."""

from collections import Counter
from collections.abc import Iterable
from datetime import timedelta

from badgerroute.protocol.mesh import Bin, PartSummary, Want
from badgerroute.protocol.users import Priority
from badgerroute.scheduling.model import Machine, Room
from badgerroute.scheduling.part import Part
from badgerroute.scheduling.planner import Planner

MOST_WANTS = 200
MOST_BESIDE = 16  # machines that cache an image, of which the others are told


def idle_bins(part: Part) -> tuple[list[Bin], dict[str, tuple[float, float]]]:
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
    return _bins(rooms), images


def _bins(rooms: Iterable[tuple[Machine, Room]]) -> list[Bin]:
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
    return [Bin(*key, count) for key, count in counts.items()]


def _wants(planner: Planner, now: timedelta) -> list[Want]:
    return [
        Want(
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
        for one in planner.shapes(now)[:MOST_WANTS]
    ]


def summarize(
    part: Part, planner: Planner, levels: set[int], rents_ahead: bool, now: timedelta, silent: bool = False
) -> PartSummary:
    """`levels`: those of the gangs there are, which others may want to make room for here."""
    bins, images = idle_bins(part)
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
        bins=bins,
        images=images,
        beside=planner.room_beside_images(max(levels, default=Priority.URGENT.level), MOST_BESIDE),
        soft={level: _bins(planner.room_without(level)) for level in levels},
        wants=_wants(planner, now),
        freeing=0.0 if rents_ahead else planner.freeing(now),  # only renting by need looks at it
        running=running,
        used={team: (one.cpus, one.accelerators) for team, one in part.usage.items() if one.tasks},
        silent=silent,
    )
