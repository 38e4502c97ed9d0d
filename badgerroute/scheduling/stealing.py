"""Work stealing, the victim's side: chooses the waiting tasks that a shard gives to an idle one.

After the paper's algorithm 2 (Parades, section IV.D), procedures STEAL, SENDSTEAL and ONRECEIVESTEAL(n): the thief has
no waiting task and offers its free capacity `n` to the victim, which decides which tasks to give away. Changed here:
one request offers many machines, and the chosen tasks are transferred by a transaction
(`coordination.shards.migration`).
"""

from collections.abc import Container
from dataclasses import dataclass
from datetime import timedelta

from badgerroute.protocol.mesh import FreeCapacity
from badgerroute.scheduling.capacities import free_resources_of
from badgerroute.scheduling.model import Job
from badgerroute.scheduling.placement_constraints import allows
from badgerroute.scheduling.shard import Shard
from badgerroute.storage.bitset import lowest_bit, task_span, trailing_ones
from badgerroute.storage.task_ranges import TaskRange, assign_tasks

UNCACHED_WAIT = timedelta(seconds=1)  # a job's tasks wait this long before a shard without their image may take them


@dataclass(slots=True)
class _Offer:
    """Machines of the idle shard with equal free capacity; no task is chosen yet for `machines_left` of them."""

    capacity: FreeCapacity
    machines_left: int


class StealSelection:
    """Chooses tasks for one steal request; each choice uses up some of the offered capacity."""

    def __init__(self, shard: Shard, capacities: list[FreeCapacity], images: Container[str], now: timedelta) -> None:
        self._shard, self._images, self._now = shard, images, now
        self._offers = [_Offer(capacity, capacity.count) for capacity in capacities]

    def choose(self, job: Job) -> int:
        """Choose waiting tasks of a job to give to the other shard, as a bit set."""
        same_shard = job.gang or job.spec.together or job.spec.spread
        if same_shard and job.placements:
            return 0  # its tasks must all be in one shard, since its constraints apply to them together
        # `count_free_slots` counts only machines that the job may use: no shard must keep tasks that it can never run.
        waiting = job.waiting_bits
        fitting_here = self._shard.count_free_slots(job)
        wanted = waiting.bit_count() - (0 if same_shard else min(fitting_here, waiting.bit_count()))
        if same_shard and fitting_here >= wanted:
            return 0
        if job.spec.image not in self._images and self._now - job.waiting_since < UNCACHED_WAIT:
            return 0
        fitting, used = self._fitting_offers(job, wanted)
        # An array whose tasks must all be in one shard can run a few of them at a time. If none fits in this shard, the
        # array is given away even if the other shard has no capacity for all of its tasks.
        partial_suffices = same_shard and not job.gang and not fitting_here
        count = min(fitting, wanted)
        if count <= 0 or (same_shard and fitting < wanted and not partial_suffices):
            return 0
        for offer, machines in used:
            offer.machines_left -= machines
        return task_span(0, job.spec.tasks) & job.owned if same_shard else _highest_bits(waiting, count)

    def _fitting_offers(self, job: Job, wanted: int) -> tuple[int, list[tuple[_Offer, int]]]:
        """How many tasks the offered machines can hold, and the number of machines of each offer to use.

        All tasks that fit on the last machine are counted too. So the result may exceed `wanted`, but by less than the
        number of tasks that fit on one machine.
        """
        fitting = 0
        used: list[tuple[_Offer, int]] = []
        for offer in self._offers:
            capacity = offer.capacity
            if not offer.machines_left or fitting >= wanted:
                continue
            if not allows(job.spec, capacity.type, capacity.zone, capacity.spot):
                continue
            tasks_per_machine = free_resources_of(capacity).count_fitting(job.task_resources)
            if not tasks_per_machine:
                continue
            machines = min(offer.machines_left, -(-(wanted - fitting) // tasks_per_machine))
            used.append((offer, machines))
            fitting += tasks_per_machine * machines
        return fitting, used


def _highest_bits(bits: int, count: int) -> int:
    """The `count` highest bits of a bit set. If the set is contiguous, so are its remaining bits."""
    highest = 0
    for _ in range(count):
        top = 1 << (bits.bit_length() - 1)
        bits ^= top
        highest |= top
    return highest


def ranges_after_transfer(ranges: list[TaskRange], tasks: int, shard: int) -> list[TaskRange]:
    """Return a job's task ranges, which map its tasks to shards, after a bit set of tasks is given to a shard."""
    while tasks:
        first = lowest_bit(tasks)
        length = trailing_ones(tasks >> first)
        tasks &= ~task_span(first, first + length)
        ranges = assign_tasks(ranges, first, first + length, shard)
    return ranges
