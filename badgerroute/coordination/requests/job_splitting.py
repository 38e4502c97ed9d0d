"""Assigns the tasks of a new job to shards: by cached images, else by free slots (the paper: by input data)."""

import zlib
from collections.abc import Sequence
from math import inf

from badgerroute.protocol.mesh import ShardSummary
from badgerroute.protocol.users import Submission
from badgerroute.scheduling.resources import Resources, need_of
from badgerroute.storage.task_ranges import TaskRange

MAX_QUEUE_IMBALANCE = 1.5  # queue of a shard for its size, compared to the shortest, up to which it is preferred
MIN_TASK_CPUS = 0.01  # a task that asks for next to nothing counts as this much


def split(job: Submission, summaries: Sequence[ShardSummary], shard_count: int) -> list[TaskRange]:
    """Ranges of tasks with their shards. The ranges are disjoint and cover all tasks of the job.

    A job whose placement rules look at all its tasks (a gang, or one that sets `together` or `spread`) goes to one
    shard as a whole; other arrays are split in proportion to what the shards can take.
    """
    weights = shard_weights(job, summaries, shard_count)
    if job.tasks == 1 and not job.gang:
        return [TaskRange(_shard_by_hash(job.ref, weights), 0, 1)]
    if job.gang or job.together or job.spread:
        return [TaskRange(_shard_for_whole_job(job, summaries, weights), 0, job.tasks)]
    return _proportional_ranges(job.tasks, weights)


def shard_weights(job: Submission, summaries: Sequence[ShardSummary], shard_count: int) -> list[float]:
    """How much of a new job each shard should get: by cached images, else by free slots, else by its queue."""
    by_shard = {summary.shard: summary for summary in summaries}
    shards = [by_shard.get(shard) for shard in range(shard_count)]
    free = [_free_slots(job, summary) if summary else 0 for summary in shards]
    cached = [
        min(free_slots, _cached_slots(job, summary)) if summary else 0
        for free_slots, summary in zip(free, shards, strict=True)
    ]
    if sum(cached) >= job.tasks:
        return [float(count) for count in cached]
    if sum(free) > 0:
        return [float(count) for count in free]
    # Nothing is free: the shard with the shortest queue for its size gets to the job first.
    return [(summary.machines + 1.0) / (_queued_cpus(summary) + 10.0) if summary else 0.01 for summary in shards]


def _free_slots(job: Submission, summary: ShardSummary) -> int:
    """How many tasks of the job fit the free capacity of machines that the job allows."""
    need = need_of(job)
    return sum(
        capacity.count * Resources(capacity.cpus, capacity.accelerators, capacity.memory_gb).times(need)
        for capacity in summary.capacities
        if (job.types is None or capacity.type in job.types)
        and (job.zone is None or job.zone == capacity.zone)
        and (job.spot or not capacity.spot)
    )


def _cached_slots(job: Submission, summary: ShardSummary) -> int:
    """How many tasks of the job fit beside copies of its image, by processors alone."""
    free_cpus, _ = summary.images.get(job.image, (0.0, 0.0))
    return int(free_cpus / max(job.cpus, MIN_TASK_CPUS))


def _queued_cpus(summary: ShardSummary) -> float:
    return sum(demand.count * max(demand.cpus, demand.accelerators, MIN_TASK_CPUS) for demand in summary.demands)


def _queue_per_machine(summary: ShardSummary | None) -> float:
    """Queued processors for the shard's size; infinite for a shard of which nothing is known."""
    return inf if summary is None else _queued_cpus(summary) / (summary.machines + 1)


def _shard_by_hash(ref: str, weights: list[float]) -> int:
    """The shard of a job with one task, drawn by the hash of its id in proportion to the weights.

    Drawn, because many such jobs arrive together: sent to the best shard, all of a moment would go to the same one.
    """
    point = zlib.crc32(ref.encode()) / 2**32 * sum(weights)
    for shard, weight in enumerate(weights):
        point -= weight
        if point < 0:
            return shard
    return len(weights) - 1


def _shard_for_whole_job(job: Submission, summaries: Sequence[ShardSummary], weights: list[float]) -> int:
    """The shard that takes all tasks of a job.

    It is the one where most machines cache the image, even if lesser work has to make room there: fetching an image may
    take as long as the run. Where too few machines cache it, what is fetched now serves the next job in the same shard.
    """
    by_shard = {summary.shard: summary for summary in summaries}
    shards = range(len(weights))

    def slots_with_image(shard: int) -> int:
        machines = by_shard[shard].cached_image_cpus.get(job.image, ()) if shard in by_shard else ()
        return min(job.tasks, sum(cpus >= job.cpus for cpus in machines))

    fitting = [shard for shard in shards if weights[shard] >= job.tasks or slots_with_image(shard) >= job.tasks]
    if not any(slots_with_image(shard) for shard in shards):
        # Nobody caches the image yet. If all gangs of an image fetch it in one shard, the next finds enough machines
        # there; scattered over the shards, as many copies serve none.
        queues = [_queue_per_machine(by_shard.get(shard)) for shard in shards]
        home = zlib.crc32(job.image.encode()) % len(weights)
        if queues[home] <= MAX_QUEUE_IMBALANCE * min(queues) + 1.0 and (home in fitting or not fitting):
            return home
    candidates = fitting or [_heaviest(weights)]
    return max(candidates, key=lambda shard: (slots_with_image(shard), weights[shard], -shard))


def _heaviest(weights: list[float]) -> int:
    """The shard with the largest weight; the lowest number among equals."""
    return max(range(len(weights)), key=lambda shard: (weights[shard], -shard))


def _proportional_ranges(tasks: int, weights: list[float]) -> list[TaskRange]:
    """Consecutive ranges whose lengths follow the weights; equal ones if nothing is known."""
    best = _heaviest(weights)
    total = sum(weights)
    if total <= 0:
        weights, total = [1.0] * len(weights), float(len(weights))
    ranges: list[TaskRange] = []
    first, cumulated = 0, 0.0
    for shard, weight in enumerate(weights):
        cumulated += weight
        end = round(tasks * cumulated / total)
        if end > first:
            ranges.append(TaskRange(shard, first, end))
            first = end
    if first < tasks:
        last = ranges.pop() if ranges else TaskRange(best, 0, 0)
        ranges.append(last._replace(end=tasks))
    return ranges
