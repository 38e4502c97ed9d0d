"""Results of the connectivity measurement: the results of each simulation, and their spread over the seeds."""

from dataclasses import dataclass, field
from statistics import mean


@dataclass
class CutDay:
    """The results of one simulation with one kind of network cut."""

    kind: str
    relay: bool
    seed: int
    hand_overs: int  # leadership transfers
    claims: int  # elections won
    killed_by_lease: int  # tasks killed because their machine's lease expired
    without_leader_s: float  # time without a leader, summed over all shards
    refused: int  # 503 responses to a simulated user who sends two requests per second
    asked: int  # requests that this user sent
    relayed: int  # heartbeats relayed to the shard's leader
    makespan_s: float
    problems: list[str] = field(default_factory=list)


@dataclass(frozen=True)
class Spread:
    """Minimum, mean and maximum of a metric over the seeds."""

    minimum: float
    mean: float
    maximum: float

    def __str__(self) -> str:
        return f"{self.mean:.1f} ({self.minimum:g} to {self.maximum:g})"


def spread(values: list[float]) -> Spread:
    """Return the spread of a metric's values."""
    return Spread(min(values), mean(values), max(values))


# Attribute of CutDay -> title in tables and plots.
METRICS: dict[str, str] = {
    "hand_overs": "leadership transfers",
    "claims": "elections won",
    "killed_by_lease": "tasks killed by lease expiry",
    "without_leader_s": "shard-seconds without a leader",
    "refused": "503 responses to users",
    "relayed": "heartbeats relayed",
    "makespan_s": "makespan, s",
}


@dataclass(frozen=True)
class KindSummary:
    """The metrics for one kind of cut, with or without relays."""

    kind: str
    relay: bool
    metrics: dict[str, Spread]
    problems: int


def summarize(days: list[CutDay]) -> list[KindSummary]:
    """Return a summary for each kind of cut with and without relays, in the order of their first results."""
    groups: dict[tuple[str, bool], list[CutDay]] = {}
    for day in days:
        groups.setdefault((day.kind, day.relay), []).append(day)
    return [
        KindSummary(
            kind,
            relay,
            {name: spread([float(getattr(day, name)) for day in group]) for name in METRICS},
            sum(len(day.problems) for day in group),
        )
        for (kind, relay), group in groups.items()
    ]
