"""Learns how long the tasks of each job class run, compared to their users' estimates."""

from datetime import timedelta

from badgerroute.scheduling.model import ZERO

MIN_RATIO, MAX_RATIO = 0.1, 10.0  # of actual to estimated run time; ratios are clamped to this range
DECAY = 0.95  # each finished run multiplies the weight of all earlier runs by this
INITIAL_SUM_AND_WEIGHT = (1.0, 1.0)  # before any run: as if one run had taken as long as estimated


class DurationEstimates:
    """By job class, the mean ratio of actual to estimated run times, weighted towards recent runs."""

    def __init__(self) -> None:
        self._ratios: dict[str, tuple[float, float]] = {}  # job class -> (sum of ratios, weight)

    def learn(self, job_class: str, estimate: timedelta, actual: timedelta) -> None:
        """Add a finished run to the mean of its class. Runs without a positive estimate or run time are ignored."""
        if estimate <= ZERO or actual <= ZERO:
            return
        ratio = min(MAX_RATIO, max(MIN_RATIO, actual / estimate))
        total, weight = self._ratios.get(job_class, INITIAL_SUM_AND_WEIGHT)
        self._ratios[job_class] = (total * DECAY + ratio, weight * DECAY + 1.0)

    def correction(self, job_class: str) -> float:
        """The mean ratio of actual to estimated run time of a class, 1.0 if no run has finished."""
        total, weight = self._ratios.get(job_class, INITIAL_SUM_AND_WEIGHT)
        return total / weight
