"""How fast machines fetch images, by machine type, as it was measured."""

from datetime import timedelta

from badgerroute.scheduling import delay_scheduling
from badgerroute.scheduling.model import ZERO, Job, Machine, Placement

SMOOTHING = 0.2  # the weight of a new measurement
MIN_MEASUREMENTS = 3  # before they replace what the machine type says
MAX_FACTOR = 8.0  # that measurements may lie above or below it: heartbeats come late, clocks stand still


class FetchRates:
    """GB a second by machine type, smoothed over fetches that were seen from beginning to end."""

    def __init__(self) -> None:
        self._rates: dict[str, float] = {}
        self._counts: dict[str, int] = {}

    def learn(self, placement: Placement, took: timedelta) -> None:
        """A machine has fetched a task's image in so long."""
        kind, image_gb = placement.machine.kind, placement.job.spec.image_gb
        if took <= ZERO or image_gb <= 0:
            return
        nominal = max(kind.fetch_gb_per_s, 1e-6)
        rate = min(nominal * MAX_FACTOR, max(nominal / MAX_FACTOR, image_gb / took.total_seconds()))
        previous = self._rates.get(kind.name, rate)
        self._rates[kind.name] = previous + SMOOTHING * (rate - previous)
        self._counts[kind.name] = self._counts.get(kind.name, 0) + 1

    def fetch_time(self, job: Job, machine: Machine) -> timedelta:
        """How long a machine should take to fetch a job's image."""
        if self._counts.get(machine.kind.name, 0) < MIN_MEASUREMENTS:
            return delay_scheduling.fetch_time(job, machine)
        return timedelta(seconds=job.spec.image_gb / self._rates[machine.kind.name])
