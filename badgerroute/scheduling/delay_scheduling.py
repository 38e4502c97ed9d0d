"""Delay scheduling: how far from its image a task may start, by how long it has waited.

After the paper's algorithm 2 (Parades, section IV.D), procedure ONUPDATE. Its symbols: `p` is the processing time of
a task, here the mean of the job's finished runs; `tau` scales the waits (`scheduling.tau`). A task starts

- at once on a machine that caches its image (the paper: node-local to its input);
- after `tau * p` on a machine in a zone where some machine caches it (the paper: rack-local);
- after `2 * tau * p` on any machine that fits (the paper: if also n.free >= 1 - delta).

Changed here: no wait is longer than the fetch of the image would take, or `scheduling.wait_cap_s`, or what lets the
task start when its user expects it; an image that no machine of the shard caches is not waited for.
"""

from collections.abc import Iterable
from datetime import timedelta
from enum import IntEnum

from badgerroute.scheduling.model import ZERO, Job, Machine
from badgerroute.settings import Scheduling

MIN_FETCH_GB_PER_S = 1e-6  # so that a machine type without a rate has a fetch time too


class LocalityLevel(IntEnum):
    """How far from its image a task is started."""

    CACHED = 0
    ZONE = 1
    ANY = 2


class ImageLocations:
    """Where images are cached in a shard, gathered once for a round of decisions."""

    def __init__(self, machines: Iterable[Machine]) -> None:
        self.zones: dict[str, set[str]] = {}
        for machine in machines:
            if machine.alive:
                for image in machine.images:
                    self.zones.setdefault(image, set()).add(machine.zone)

    def cached(self, image: str) -> bool:
        """Whether any machine of the shard caches an image."""
        return image in self.zones

    def in_zone(self, image: str, zone: str) -> bool:
        """Whether a machine in a zone caches an image."""
        return zone in self.zones.get(image, ())


def run_time(job: Job, correction: float) -> timedelta:
    """The paper's `p`: the mean run of the job's finished tasks; until one has, its user's estimate, corrected."""
    if job.finished_runs:
        return job.total_run_time / job.finished_runs
    return timedelta(seconds=job.spec.estimate_s * correction)


def fetch_time(job: Job, machine: Machine) -> timedelta:
    """How long a machine takes to fetch a job's image, as its type says."""
    return timedelta(seconds=job.spec.image_gb / max(machine.kind.fetch_gb_per_s, MIN_FETCH_GB_PER_S))


def allowed(
    job: Job,
    wait: timedelta,
    fetch: timedelta,
    images: ImageLocations,
    correction: float,
    settings: Scheduling,
    start_within: timedelta | None = None,
) -> LocalityLevel:
    """The highest locality level that a task which has waited so long may use.

    `fetch` is how long the image would take to fetch, `correction` the factor by which runs of the job's class exceed
    their estimates. `start_within` is when the task is expected to start: it must not wait so long for a cached image
    that a fetch elsewhere would come too late.
    """
    if not images.cached(job.spec.image):
        return LocalityLevel.ANY
    step = settings.tau * run_time(job, correction)
    cap = min(fetch, settings.wait_cap)
    if start_within is not None:
        cap = max(ZERO, min(cap, start_within - fetch))
    if wait >= min(2 * step, cap):
        return LocalityLevel.ANY
    if wait >= min(step, cap):
        return LocalityLevel.ZONE
    return LocalityLevel.CACHED


def locality_of(job: Job, machine: Machine, images: ImageLocations) -> LocalityLevel:
    """The locality level that starting the job on this machine would be."""
    if job.spec.image in machine.images:
        return LocalityLevel.CACHED
    return LocalityLevel.ZONE if images.in_zone(job.spec.image, machine.zone) else LocalityLevel.ANY
