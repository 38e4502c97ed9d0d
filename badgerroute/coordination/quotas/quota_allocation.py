"""Values of the quota arithmetic: what one shard holds of a team's limit, and what all shards hold of it."""

from collections.abc import Mapping
from typing import NamedTuple

from badgerroute.scheduling.resources import EPSILON, Resources
from badgerroute.storage.records import QuotaRecord

DECIMALS = 6  # that are stored


class QuotaAllocation(NamedTuple):
    """Processors and accelerators. Stored as a list of these two numbers."""

    cpus: float = 0.0
    accelerators: float = 0.0

    def increased_by(self, amount: "QuotaAllocation") -> "QuotaAllocation":
        """The sum of both."""
        return QuotaAllocation(self.cpus + amount.cpus, self.accelerators + amount.accelerators)

    def reduced_by(self, amount: "QuotaAllocation") -> "QuotaAllocation":
        """What is left without an amount; it may be negative."""
        return QuotaAllocation(self.cpus - amount.cpus, self.accelerators - amount.accelerators)

    def minimum(self, other: "QuotaAllocation") -> "QuotaAllocation":
        """The lower number of each kind."""
        return QuotaAllocation(min(self.cpus, other.cpus), min(self.accelerators, other.accelerators))

    def exceeds(self, limit: "QuotaAllocation") -> bool:
        """Whether there is more than the limit of either kind, rounding errors aside."""
        return self.cpus > limit.cpus + EPSILON or self.accelerators > limit.accelerators + EPSILON

    def covers(self, needed: Resources) -> bool:
        """Whether there is as much as is needed of both kinds, rounding errors aside."""
        return self.cpus >= needed.cpus - EPSILON and self.accelerators >= needed.accelerators - EPSILON

    def is_negligible(self) -> bool:
        """Whether there is nothing of either kind, rounding errors aside."""
        return self.cpus <= EPSILON and self.accelerators <= EPSILON

    def rounded(self) -> "QuotaAllocation":
        """As it is stored."""
        return QuotaAllocation(round(self.cpus, DECIMALS), round(self.accelerators, DECIMALS))


NO_QUOTA = QuotaAllocation()


def available_part(needed: Resources, available: Resources) -> QuotaAllocation:
    """As much of what is needed as is available, of each kind; never negative."""
    return QuotaAllocation(
        max(0.0, min(needed.cpus, available.cpus)), max(0.0, min(needed.accelerators, available.accelerators))
    )


class TeamAllocations:
    """What each shard holds of one team's limit. Immutable."""

    __slots__ = ("_by_shard",)

    def __init__(self, record: QuotaRecord) -> None:
        self._by_shard = {shard: QuotaAllocation(*stored) for shard, stored in record.allocations.items()}

    def of_shard(self, shard: int) -> QuotaAllocation:
        """What a shard holds."""
        return self._by_shard.get(str(shard), NO_QUOTA)

    def total(self) -> QuotaAllocation:
        """What all shards hold together."""
        held = self._by_shard.values()
        return QuotaAllocation(
            sum(allocation.cpus for allocation in held), sum(allocation.accelerators for allocation in held)
        )

    def replaced(self, allocations: Mapping[int, QuotaAllocation]) -> "TeamAllocations":
        """The same with other allocations for some shards."""
        rounded = {str(shard): allocation.rounded() for shard, allocation in allocations.items()}
        return TeamAllocations(QuotaRecord({**self._by_shard, **rounded}))

    def record(self) -> QuotaRecord:
        """As it is stored."""
        return QuotaRecord(dict(self._by_shard))


NO_ALLOCATIONS = TeamAllocations(QuotaRecord({}))
