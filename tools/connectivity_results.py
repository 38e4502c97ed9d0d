"""What one day of the connectivity measurement gave, and the spread over several."""

from dataclasses import dataclass, field
from statistics import mean


@dataclass
class CutDay:
    """One day with one kind of cut."""

    kind: str
    relay: bool
    seed: int
    hand_overs: int
    claims: int
    killed_by_lease: int
    without_leader_s: float  # summed over the shards
    refused: int  # answers of 503 to a user who asks twice a second
    asked: int
    relayed: int
    makespan_s: float
    problems: list[str] = field(default_factory=list)


@dataclass(frozen=True)
class Spread:
    """Least, mean and most of one figure over the seeds."""

    least: float
    mean: float
    most: float

    def __str__(self) -> str:
        return f"{self.mean:.1f} ({self.least:g} to {self.most:g})"


def spread(values: list[float]) -> Spread:
    """The spread of a figure."""
    return Spread(min(values), mean(values), max(values))


FIGURES: dict[str, str] = {
    "hand_overs": "hand-overs",
    "claims": "claims",
    "killed_by_lease": "tasks killed by their lease",
    "without_leader_s": "shard seconds without a leader",
    "refused": "users' 503s",
    "relayed": "reports relayed",
    "makespan_s": "makespan, s",
}


@dataclass(frozen=True)
class KindSummary:
    """The figures of one kind of cut, with or without relays."""

    kind: str
    relay: bool
    figures: dict[str, Spread]
    problems: int


def summarize(days: list[CutDay]) -> list[KindSummary]:
    """One summary for each kind and each of off and on, in the order in which they were played."""
    groups: dict[tuple[str, bool], list[CutDay]] = {}
    for day in days:
        groups.setdefault((day.kind, day.relay), []).append(day)
    return [
        KindSummary(
            kind,
            relay,
            {name: spread([float(getattr(day, name)) for day in group]) for name in FIGURES},
            sum(len(day.problems) for day in group),
        )
        for (kind, relay), group in groups.items()
    ]
