"""Which shard gets which tasks of a new job: by cached images, else by free slots (the paper: by input data)."""

import zlib
from collections.abc import Sequence
from math import inf

from badgerroute.protocol.mesh import ShardSummary
from badgerroute.protocol.users import Submission
from badgerroute.scheduling.model import Resources, need_of
from badgerroute.storage.records import TaskRange

UNEVEN = 1.5  # how much more than another a shard may have waiting, for its size, to get a gang for its image's sake


def _free_slots(job: Submission, summary: ShardSummary) -> int:
    need = need_of(job)
    return sum(
        capacity.count * Resources(capacity.cpus, capacity.accelerators, capacity.memory_gb).times(need)
        for capacity in summary.capacities
        if (job.types is None or capacity.type in job.types)
        and (job.zone is None or job.zone == capacity.zone)
        and (job.spot or not capacity.spot)
    )


def _queued(summary: ShardSummary) -> float:
    return sum(want.count * max(want.cpus, want.accelerators, 0.01) for want in summary.demands)


def _load(summary: ShardSummary | None) -> float:
    return inf if summary is None else _queued(summary) / (summary.machines + 1)


def weights(job: Submission, summaries: Sequence[ShardSummary], size: int) -> list[float]:
    """How much of a new job each shard should get: by cached images, else by free slots, else by its queue."""
    by_shard = {summary.shard: summary for summary in summaries}
    shards = [by_shard.get(shard) for shard in range(size)]
    free = [_free_slots(job, summary) if summary else 0 for summary in shards]
    cached = [
        min(free[number], int(summary.images.get(job.image, (0.0, 0.0))[0] / max(job.cpus, 0.01))) if summary else 0
        for number, summary in enumerate(shards)
    ]
    if sum(cached) >= job.tasks:
        return [float(count) for count in cached]
    if sum(free) > 0:
        return [float(count) for count in free]
    # Nothing is free: the shard with the shortest queue for its size will come to it first.
    return [(summary.machines + 1.0) / (_queued(summary) + 10.0) if summary else 0.01 for summary in shards]


def _shard_by_hash(ref: str, shares: list[float]) -> int:
    """The shard of a job of one task, drawn by its name: what would be split among the shards if it were one large job.

    Such jobs once all went where their image lay, beside shards that were idle; and all of a moment to the same shard.
    """
    point = zlib.crc32(ref.encode()) / 2**32 * sum(shares)
    for shard, share in enumerate(shares):
        point -= share
        if point < 0:
            return shard
    return len(shares) - 1


def split(job: Submission, summaries: Sequence[ShardSummary], size: int) -> list[TaskRange]:
    """Ranges that cover all tasks."""
    shares = weights(job, summaries, size)
    best = max(range(size), key=lambda shard: (shares[shard], -shard))
    if job.tasks == 1 and not job.gang:
        return [TaskRange(_shard_by_hash(job.ref, shares), 0, 1)]
    if job.gang or job.together or job.spread:
        # Whole jobs go where most machines cache their image, even if lesser work must make room: a fetch may take as
        # long as the run. And where too few do, what is fetched now is there, in the same shard, for the next one.
        by_shard = {summary.shard: summary for summary in summaries}

        def beside(shard: int) -> int:
            rooms = by_shard[shard].cpus_near_images.get(job.image, ()) if shard in by_shard else ()
            return min(job.tasks, sum(room >= job.cpus for room in rooms))

        fitting = [shard for shard in range(size) if shares[shard] >= job.tasks or beside(shard) >= job.tasks]
        if not any(beside(shard) for shard in range(size)):
            # Nobody caches it yet. If all gangs of an image fetch it in one shard, the next finds enough machines
            # there; scattered over the shards, as many copies serve none.
            load = [_load(by_shard.get(shard)) for shard in range(size)]
            home = zlib.crc32(job.image.encode()) % size
            if load[home] <= UNEVEN * min(load) + 1.0 and (home in fitting or not fitting):
                return [TaskRange(home, 0, job.tasks)]
        best = max(fitting or [best], key=lambda shard: (beside(shard), shares[shard], -shard))
        return [TaskRange(best, 0, job.tasks)]
    total = sum(shares)
    if total <= 0:
        shares, total = [1.0] * size, float(size)
    ranges: list[TaskRange] = []
    first, seen = 0, 0.0
    for shard in range(size):
        seen += shares[shard]
        end = round(job.tasks * seen / total)
        if end > first:
            ranges.append(TaskRange(shard, first, end))
            first = end
    if first < job.tasks:
        last = ranges.pop() if ranges else TaskRange(best, 0, 0)
        ranges.append(last._replace(end=job.tasks))
    return ranges
