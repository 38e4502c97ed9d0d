"""Assigns the tasks of a new job to shards: by cached images, or else by free slots.

A slot is room for one task of the job in the free capacity of a machine. The paper that this design follows assigns
tasks by the location of their input data, for which cached images are the substitute here.
"""

import zlib
from collections.abc import Sequence
from math import inf

from badgerroute.protocol.mesh import ShardSummary
from badgerroute.protocol.users import Submission
from badgerroute.scheduling.capacities import free_resources_of
from badgerroute.scheduling.resources import need_of
from badgerroute.storage.task_ranges import TaskRange

# A shard's queue per machine is the number of processors that its waiting tasks need, divided by its machines. The
# shard that the hash of a job's image selects is preferred only if its queue per machine is at most this many times
# the shortest of any shard, plus one processor.
MAX_QUEUE_IMBALANCE = 1.5
MIN_TASK_CPUS = 0.01  # lower bound for a task's processors, which may be close to 0


def split(job: Submission, summaries: Sequence[ShardSummary], shard_count: int) -> list[TaskRange]:
    """Return ranges of tasks with their shards. The ranges are disjoint and cover all tasks of the job.

    A job whose placement rules concern all its tasks (a gang, or a job that sets `together` or `spread`) is assigned to
    one shard as a whole. Other arrays are split in proportion to the number of tasks that each shard can take.
    """
    weights = shard_weights(job, summaries, shard_count)
    if job.tasks == 1 and not job.gang:
        return [TaskRange(_shard_by_hash(job.ref, weights), 0, 1)]
    if job.gang or job.together or job.spread:
        return [TaskRange(_shard_for_whole_job(job, summaries, weights), 0, job.tasks)]
    return _proportional_ranges(job.tasks, weights)


def shard_weights(job: Submission, summaries: Sequence[ShardSummary], shard_count: int) -> list[float]:
    """Return a weight for each shard; the shards get parts of a new job in proportion to their weights.

    The weights are the free slots on machines that cache the image, if these are enough for the whole job. Otherwise
    they are all free slots. If no shard has a free slot, they are the inverse of the queue per machine.
    """
    summary_by_shard = {summary.shard: summary for summary in summaries}
    shard_summaries = [summary_by_shard.get(shard) for shard in range(shard_count)]
    free_slots = [_free_slots(job, summary) if summary else 0 for summary in shard_summaries]
    cached_slots = [
        min(slots, _cached_slots(job, summary)) if summary else 0
        for slots, summary in zip(free_slots, shard_summaries, strict=True)
    ]
    if sum(cached_slots) >= job.tasks:
        return [float(count) for count in cached_slots]
    if sum(free_slots) > 0:
        return [float(count) for count in free_slots]
    # No slot is free: the shard with the shortest queue per machine can start the job first.
    return [
        (summary.machines + 1.0) / (_queued_cpus(summary) + 10.0) if summary else 0.01 for summary in shard_summaries
    ]


def _free_slots(job: Submission, summary: ShardSummary) -> int:
    """Return how many tasks of the job fit into the free capacity of the machines that the job allows."""
    task_resources = need_of(job)
    return sum(
        capacity.count * free_resources_of(capacity).count_fitting(task_resources)
        for capacity in summary.all_capacities
        if (job.types is None or capacity.type in job.types)
        and (job.zone is None or job.zone == capacity.zone)
        and (job.spot or not capacity.spot)
    )


def _cached_slots(job: Submission, summary: ShardSummary) -> int:
    """Return how many tasks of the job fit on machines that cache its image, considering only free processors."""
    free_cpus, _ = summary.images.get(job.image, (0.0, 0.0))
    return int(free_cpus / max(job.cpus, MIN_TASK_CPUS))


def _queued_cpus(summary: ShardSummary) -> float:
    return sum(demand.count * max(demand.cpus, demand.accelerators, MIN_TASK_CPUS) for demand in summary.demands)


def _queue_per_machine(summary: ShardSummary | None) -> float:
    """Return how many processors a shard's waiting tasks need per machine, or infinity if it has no summary."""
    return inf if summary is None else _queued_cpus(summary) / (summary.machines + 1)


def _shard_by_hash(ref: str, weights: list[float]) -> int:
    """Choose the shard of a job with one task pseudo-randomly, by the hash of its id, in proportion to the weights.

    Many jobs with one task may arrive at the same time. If each were assigned to the best shard, all of them would
    go to the same shard.
    """
    remaining_weight = zlib.crc32(ref.encode()) / 2**32 * sum(weights)
    for shard, weight in enumerate(weights):
        remaining_weight -= weight
        if remaining_weight < 0:
            return shard
    return len(weights) - 1


def _shard_for_whole_job(job: Submission, summaries: Sequence[ShardSummary], weights: list[float]) -> int:
    """Choose the shard that gets all tasks of a job.

    Among the shards that can hold the job, this is the one with the most slots on machines that cache the image. Slots
    from which other tasks must first be preempted count too, because fetching an image may take as long as running the
    job. If the image is cached on too few machines, the remaining tasks run on machines that must fetch it. The next
    job with this image can then use all of these machines.
    """
    summary_by_shard = {summary.shard: summary for summary in summaries}
    shards = range(len(weights))

    def slots_with_image(shard: int) -> int:
        machines = summary_by_shard[shard].cached_image_cpus.get(job.image, ()) if shard in summary_by_shard else ()
        return min(job.tasks, sum(cpus >= job.cpus for cpus in machines))

    fitting = [shard for shard in shards if weights[shard] >= job.tasks or slots_with_image(shard) >= job.tasks]
    if not any(slots_with_image(shard) for shard in shards):
        # No machine caches the image yet. If all gangs of an image fetch it in one shard, a later gang finds enough
        # machines with the image there; the same number of copies scattered over all shards would be too few in each.
        queues = [_queue_per_machine(summary_by_shard.get(shard)) for shard in shards]
        image_shard = zlib.crc32(job.image.encode()) % len(weights)
        if queues[image_shard] <= MAX_QUEUE_IMBALANCE * min(queues) + 1.0 and (image_shard in fitting or not fitting):
            return image_shard
    candidates = fitting or [_heaviest_shard(weights)]
    return max(candidates, key=lambda shard: (slots_with_image(shard), weights[shard], -shard))


def _heaviest_shard(weights: list[float]) -> int:
    """Return the shard with the largest weight, or the lowest-numbered of them if there are several."""
    return max(range(len(weights)), key=lambda shard: (weights[shard], -shard))


def _proportional_ranges(tasks: int, weights: list[float]) -> list[TaskRange]:
    """Return consecutive ranges with lengths in proportion to the weights, or of equal length if all weights are 0."""
    heaviest = _heaviest_shard(weights)
    total_weight = sum(weights)
    if total_weight <= 0:
        weights, total_weight = [1.0] * len(weights), float(len(weights))
    ranges: list[TaskRange] = []
    first, cumulative_weight = 0, 0.0
    for shard, weight in enumerate(weights):
        cumulative_weight += weight
        end = round(tasks * cumulative_weight / total_weight)
        if end > first:
            ranges.append(TaskRange(shard, first, end))
            first = end
    if first < tasks:
        last_range = ranges.pop() if ranges else TaskRange(heaviest, 0, 0)
        ranges.append(last_range._replace(end=tasks))
    return ranges
