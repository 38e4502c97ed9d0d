"""Which waiting tasks a shard gives to an idle one. Pure: what is chosen is written and given elsewhere."""

from dataclasses import dataclass
from datetime import timedelta

from badgerroute.protocol.mesh import FreeCapacity
from badgerroute.scheduling.capacities import room_of
from badgerroute.scheduling.model import Job
from badgerroute.scheduling.placement_constraints import allows
from badgerroute.scheduling.shard import Shard
from badgerroute.storage.records import TaskRange, give, lowest, span, trailing_ones

UNCACHED_WAIT = timedelta(seconds=1)  # a task whose image the idle shard lacks is left here for so long


@dataclass(slots=True)
class _Offer:
    """Machines of the idle shard with the same free room, and how many of them are not spoken for."""

    capacity: FreeCapacity
    left: int


class StealSelection:
    """Chooses for one steal request; each choice uses up some of the room that was offered."""

    def __init__(
        self, shard: Shard, capacities: list[FreeCapacity], images: dict[str, tuple[float, float]], now: timedelta
    ) -> None:
        self._shard, self._images, self._now = shard, images, now
        self._offers = [_Offer(capacity, capacity.count) for capacity in capacities]

    def choose(self, job: Job) -> int:
        """The waiting tasks of a job that the other shard could start, as a bit set."""
        whole = job.gang or job.spec.together or job.spec.spread
        if whole and job.placed:
            return 0  # placement rules look at all of the job's tasks: they stay in one shard
        # Only machines that the job may use count: else its tasks would stay where none of them can ever run.
        waiting = job.waiting_bits
        room_here = self._shard.room_for(job)
        wanted = waiting.bit_count() - (0 if whole else min(room_here, waiting.bit_count()))
        if whole and room_here >= wanted:
            return 0
        if job.spec.image not in self._images and self._now - job.since < UNCACHED_WAIT:
            return 0
        fitting, used = self._find_room(job, wanted)
        # An array that must stay in one shard may run there a few at a time. Where none of its tasks has any room, it
        # once waited for a shard that could hold all of them, beside one with room for some.
        few = whole and not job.gang and not room_here
        count = min(fitting, wanted)
        if count <= 0 or (whole and fitting < wanted and not few):
            return 0
        for offer, machines in used:
            offer.left -= machines
        return span(0, job.spec.tasks) & job.owned if whole else _highest(waiting, count)

    def _find_room(self, job: Job, wanted: int) -> tuple[int, list[tuple[_Offer, int]]]:
        """How many tasks fit, up to `wanted`, and how many machines of which offers they take."""
        fitting = 0
        used: list[tuple[_Offer, int]] = []
        for offer in self._offers:
            capacity = offer.capacity
            if not offer.left or fitting >= wanted:
                continue
            if not allows(job.spec, capacity.type, capacity.zone, capacity.spot):
                continue
            each = room_of(capacity).times(job.need)
            if not each:
                continue
            machines = min(offer.left, -(-(wanted - fitting) // each))
            used.append((offer, machines))
            fitting += each * machines
        return fitting, used


def _highest(bits: int, count: int) -> int:
    """So many bits from the far end, so that what stays is one piece."""
    taken = 0
    for _ in range(count):
        top = 1 << (bits.bit_length() - 1)
        bits ^= top
        taken |= top
    return taken


def given_ranges(ranges: list[TaskRange], tasks: int, shard: int) -> list[TaskRange]:
    """The ranges after a bit set of tasks has gone to a shard."""
    while tasks:
        first = lowest(tasks)
        length = trailing_ones(tasks >> first)
        tasks &= ~span(first, first + length)
        ranges = give(ranges, first, first + length, shard)
    return ranges
