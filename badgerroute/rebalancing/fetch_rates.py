"""Measures the rates at which machines fetch images, by machine type."""

from datetime import timedelta

from badgerroute.scheduling import delay_scheduling
from badgerroute.scheduling.model import ZERO, Job, Machine, Placement

SMOOTHING = 0.2  # weight of a new measurement in the moving average
MIN_MEASUREMENTS = 3  # with fewer, the nominal rate of the machine type is used
# Each measured rate is limited to at most the nominal rate of the machine type times this factor, and to at least the
# nominal rate divided by it, because a late heartbeat or a stopped clock distorts a measurement.
MAX_DEVIATION_FACTOR = 8.0


class FetchRates:
    """Moving averages of fetch rates in GB per second, by machine type.

    Only fetches whose start and end were both observed are measured.
    """

    def __init__(self) -> None:
        self._rates: dict[str, float] = {}
        self._counts: dict[str, int] = {}

    def record_fetch(self, placement: Placement, duration: timedelta) -> None:
        """Record how long a machine took to fetch a task's image."""
        machine_type, image_gb = placement.machine.machine_type, placement.job.spec.image_gb
        if duration <= ZERO or image_gb <= 0:
            return
        nominal = max(machine_type.fetch_gb_per_s, 1e-6)
        rate = min(
            nominal * MAX_DEVIATION_FACTOR, max(nominal / MAX_DEVIATION_FACTOR, image_gb / duration.total_seconds())
        )
        previous = self._rates.get(machine_type.name, rate)
        self._rates[machine_type.name] = previous + SMOOTHING * (rate - previous)
        self._counts[machine_type.name] = self._counts.get(machine_type.name, 0) + 1

    def fetch_time(self, job: Job, machine: Machine) -> timedelta:
        """Return how long a machine is expected to take to fetch a job's image."""
        if self._counts.get(machine.machine_type.name, 0) < MIN_MEASUREMENTS:
            return delay_scheduling.fetch_time(job, machine)
        return timedelta(seconds=job.spec.image_gb / self._rates[machine.machine_type.name])
