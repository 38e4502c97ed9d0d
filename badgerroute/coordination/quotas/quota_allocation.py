"""Values for quota arithmetic: the part of a team's limit allocated to one shard, and the parts of all shards."""

from collections.abc import Mapping
from typing import NamedTuple

from badgerroute.scheduling.resources import EPSILON, Resources
from badgerroute.storage.records import QuotaRecord

STORED_DECIMALS = 6


class QuotaAllocation(NamedTuple):
    """An amount of processors and accelerators, stored as a list of these two numbers."""

    cpus: float = 0.0
    accelerators: float = 0.0

    def increased_by(self, amount: "QuotaAllocation") -> "QuotaAllocation":
        """Return the sum of both allocations."""
        return QuotaAllocation(self.cpus + amount.cpus, self.accelerators + amount.accelerators)

    def reduced_by(self, amount: "QuotaAllocation") -> "QuotaAllocation":
        """Return the difference, which may be negative."""
        return QuotaAllocation(self.cpus - amount.cpus, self.accelerators - amount.accelerators)

    def minimum(self, other: "QuotaAllocation") -> "QuotaAllocation":
        """Return the lower number of processors and the lower number of accelerators."""
        return QuotaAllocation(min(self.cpus, other.cpus), min(self.accelerators, other.accelerators))

    def exceeds(self, limit: "QuotaAllocation") -> bool:
        """Return whether either number is above the limit by more than a rounding error."""
        return self.cpus > limit.cpus + EPSILON or self.accelerators > limit.accelerators + EPSILON

    def covers(self, needed: Resources) -> bool:
        """Return whether the allocation is at least as large as `needed`, apart from rounding errors."""
        return self.cpus >= needed.cpus - EPSILON and self.accelerators >= needed.accelerators - EPSILON

    def is_negligible(self) -> bool:
        """Return whether both numbers are zero, apart from rounding errors."""
        return self.cpus <= EPSILON and self.accelerators <= EPSILON

    def rounded(self) -> "QuotaAllocation":
        """Return the allocation rounded to the precision in which it is stored."""
        return QuotaAllocation(round(self.cpus, STORED_DECIMALS), round(self.accelerators, STORED_DECIMALS))


NO_QUOTA = QuotaAllocation()


def available_part(needed: Resources, available: Resources) -> QuotaAllocation:
    """Return, for each resource, the lower of the needed and the available amount, but at least 0."""
    return QuotaAllocation(
        max(0.0, min(needed.cpus, available.cpus)), max(0.0, min(needed.accelerators, available.accelerators))
    )


class TeamAllocations:
    """The allocations of one team's limit to all shards. Immutable."""

    __slots__ = ("_by_shard",)

    def __init__(self, record: QuotaRecord) -> None:
        self._by_shard = {shard: QuotaAllocation(*stored) for shard, stored in record.allocations.items()}

    def of_shard(self, shard: int) -> QuotaAllocation:
        """Return a shard's allocation."""
        return self._by_shard.get(str(shard), NO_QUOTA)

    def total(self) -> QuotaAllocation:
        """Return the sum of all shards' allocations."""
        allocations = self._by_shard.values()
        return QuotaAllocation(
            sum(allocation.cpus for allocation in allocations),
            sum(allocation.accelerators for allocation in allocations),
        )

    def replaced(self, allocations: Mapping[int, QuotaAllocation]) -> "TeamAllocations":
        """Return a copy in which some shards have the given allocations."""
        rounded = {str(shard): allocation.rounded() for shard, allocation in allocations.items()}
        return TeamAllocations(QuotaRecord({**self._by_shard, **rounded}))

    def record(self) -> QuotaRecord:
        """Return the record in which the allocations are stored."""
        return QuotaRecord(dict(self._by_shard))


NO_ALLOCATIONS = TeamAllocations(QuotaRecord({}))
