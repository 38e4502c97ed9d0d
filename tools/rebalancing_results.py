"""What one day of the rebalancing measurement gave, and the spread over several."""

from dataclasses import dataclass, field
from statistics import mean, pstdev


@dataclass
class Wait:
    """How long a task waited whose job was submitted at `submitted_s`."""

    team: str
    submitted_s: float
    wait_s: float


@dataclass
class DayResult:
    """One day: its waits, what was moved, and what went wrong."""

    seed: int
    on: bool
    machines: int
    ratios: dict[str, float]  # team -> its median wait, in medians of the fleet
    makespan_s: float
    moves: int
    move_cost_cpu_s: float
    runs_stopped: int
    starts: int
    problems: list[str] = field(default_factory=list)
    waits: list[Wait] = field(default_factory=list)

    @property
    def worst_ratio(self) -> float:
        """Of the team that waits longest."""
        return max(self.ratios.values())


@dataclass(frozen=True)
class Summary:
    """The spread of one figure over the seeds."""

    least: float
    mean: float
    most: float
    deviation: float


def summarize(values: list[float]) -> Summary:
    """Least, mean, most and standard deviation."""
    return Summary(min(values), mean(values), max(values), pstdev(values))
