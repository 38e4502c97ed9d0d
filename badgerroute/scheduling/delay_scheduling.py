"""Delay scheduling: how far from its image a task may start, depending on how long it has waited.

After the paper's algorithm 2 (Parades, section IV.D), procedure ONUPDATE. Its symbols: `p` is the processing time of
a task, here the mean of the job's finished runs; `tau` scales the waits (`scheduling.tau`). A task starts

- at once on a machine that caches its image (the paper: node-local to its input);
- after `tau * p` on a machine in a zone where some machine caches it (the paper: rack-local);
- after `2 * tau * p` on any machine that fits (the paper: if also n.free >= 1 - delta).

Changed here: each wait is limited to the shortest of three durations: the image's fetch time, `scheduling.wait_cap_s`,
and the longest wait after which the task could still fetch its image and start as soon as its user expects. Tasks do
not wait at all if no machine of the shard caches their image.
"""

from collections.abc import Iterable
from datetime import timedelta
from enum import IntEnum

from badgerroute.scheduling.model import ZERO, Job, Machine
from badgerroute.settings import Scheduling

MIN_FETCH_GB_PER_S = 1e-6  # avoids a division by zero for machine types without a fetch rate


class LocalityLevel(IntEnum):
    """How far a machine is from a task's image; a higher level is a greater distance."""

    CACHED = 0  # the machine caches the image
    ZONE = 1  # another machine in the same zone caches the image
    ANY = 2  # no machine in the same zone caches the image


class ImageLocations:
    """The zones in which each image is cached in a shard, as found when the order of service was last computed."""

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
        """Whether any of the shard's machines in a zone caches an image."""
        return zone in self.zones.get(image, ())


def run_time(job: Job, correction: float) -> timedelta:
    """The paper's `p`: the mean run time of the job's finished tasks, or the corrected estimate if there are none."""
    if job.finished_runs:
        return job.total_run_time / job.finished_runs
    return timedelta(seconds=job.spec.estimate_s * correction)


def fetch_time(job: Job, machine: Machine) -> timedelta:
    """How long a machine takes to fetch a job's image at the rate of its machine type."""
    return timedelta(seconds=job.spec.image_gb / max(machine.machine_type.fetch_gb_per_s, MIN_FETCH_GB_PER_S))


def allowed_locality(
    job: Job,
    wait: timedelta,
    fetch: timedelta,
    images: ImageLocations,
    correction: float,
    settings: Scheduling,
    start_within: timedelta | None = None,
) -> LocalityLevel:
    """The highest locality level at which a task that has waited for `wait` may start.

    `fetch` is how long fetching the image would take, `correction` the mean ratio of actual to estimated run times in
    the job's class. `start_within` is how soon the task is expected to start. The task must not wait for a machine that
    caches the image for so long that a fetch begun afterwards would end later than that.
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
    """The locality level of a machine for a job."""
    if job.spec.image in machine.images:
        return LocalityLevel.CACHED
    return LocalityLevel.ZONE if images.in_zone(job.spec.image, machine.zone) else LocalityLevel.ANY
