"""Results of the rebalancing measurement: the results of each simulation, and their spread over the seeds."""

from dataclasses import dataclass, field
from statistics import mean, pstdev


@dataclass
class Wait:
    """How long a task waited from the submission of its job to its own first start.

    `submitted_s`: the time from the start of the simulated load to the submission.
    """

    team: str
    submitted_s: float
    wait_s: float


@dataclass
class DayResult:
    """The results of one simulation.

    `on`: whether rebalancing was enabled. `problems`: violations of safety rules, and unfinished jobs.
    """

    seed: int
    on: bool
    machines: int
    ratios: dict[str, float]  # team -> its median wait divided by the median wait of the fleet
    makespan_s: float
    moves: int
    move_cost_cpu_s: float
    runs_stopped: int
    starts: int
    problems: list[str] = field(default_factory=list)
    waits: list[Wait] = field(default_factory=list)

    @property
    def worst_ratio(self) -> float:
        """The ratio of the team with the longest median wait: the largest value in `ratios`."""
        return max(self.ratios.values())


@dataclass(frozen=True)
class Summary:
    """The spread of a metric over the seeds."""

    minimum: float
    mean: float
    maximum: float
    deviation: float


def summarize(values: list[float]) -> Summary:
    """Return the minimum, mean, maximum and population standard deviation of a metric's values."""
    return Summary(min(values), mean(values), max(values), pstdev(values))
