"""Keeps gossip within one frame of the mesh, whatever the number of jobs, images and machines in its shards.

A longer frame would be refused: the receiver closes the connection, and then suspects the sender. What is left out
first only guides decisions that are checked against exact amounts later; the tasks that run, which users ask about, are
left out last.
"""

from collections.abc import Callable
from itertools import islice

import msgspec

from badgerroute.protocol.mesh import Gossip, ImageCapacity, ShardSummary, encoder
from badgerroute.transport.frames import MAX_FRAME_BYTES

Reduction = Callable[[ShardSummary, int], ShardSummary]
MAX_HALVINGS = 20  # more than enough to leave nothing of a list of a million entries


def encode_gossip(gossip: Gossip, max_bytes: int = MAX_FRAME_BYTES) -> bytes:
    """Return the encoded gossip, without parts of its summaries if it would exceed `max_bytes`."""
    payload = encoder.encode(gossip)
    if len(payload) <= max_bytes:
        return payload
    for reduction in REDUCTIONS:
        complete = gossip
        for halvings in range(1, MAX_HALVINGS + 1):
            gossip = msgspec.structs.replace(
                complete, shards=[reduction(summary, 2**halvings) for summary in complete.shards]
            )
            payload = encoder.encode(gossip)
            if len(payload) <= max_bytes:
                return payload
    return payload


def _fewer_image_machines(summary: ShardSummary, divisor: int) -> ShardSummary:
    """Leave out the images with the least capacity that preemption could free."""
    largest = sorted(summary.cached_image_cpus.items(), key=lambda item: sum(item[1]), reverse=True)
    return msgspec.structs.replace(summary, cached_image_cpus=dict(largest[: len(largest) // divisor]))


def _fewer_images(summary: ShardSummary, divisor: int) -> ShardSummary:
    """Leave out the images with the least free capacity."""

    def total_cpus(item: tuple[str, ImageCapacity]) -> float:
        return item[1].total_cpus

    largest = sorted(summary.images.items(), key=total_cpus, reverse=True)
    return msgspec.structs.replace(summary, images=dict(largest[: len(largest) // divisor]))


def _fewer_demands(summary: ShardSummary, divisor: int) -> ShardSummary:
    """Leave out the last waiting jobs; they are told once the ones before them have started."""
    return msgspec.structs.replace(summary, demands=summary.demands[: len(summary.demands) // divisor])


def _fewer_running(summary: ShardSummary, divisor: int) -> ShardSummary:
    kept = islice(summary.running.items(), len(summary.running) // divisor)
    return msgspec.structs.replace(summary, running=dict(kept))


REDUCTIONS: list[Reduction] = [_fewer_image_machines, _fewer_images, _fewer_demands, _fewer_running]
