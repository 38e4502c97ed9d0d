"""Allocation of teams' quotas to shards.

The shards' allocations of a team never exceed its limit together. A shard's leader starts tasks only within the shard's
allocation. It raises that from what no shard holds, and lowers it, or transfers some to another shard, only by what is
unused.
"""

import logging
from collections.abc import Container
from datetime import timedelta
from math import inf
from typing import Protocol

from badgerroute.coordination.quotas.quota_allocation import QuotaAllocation, available_part
from badgerroute.coordination.quotas.quota_store import QuotaStore
from badgerroute.protocol.key_value import Compare
from badgerroute.scheduling.resources import Resources
from badgerroute.settings import Settings, Team
from badgerroute.transport.loop import Loop

log = logging.getLogger(__name__)
REQUEST_INTERVAL = timedelta(seconds=1)


class ShardLeaderships(Protocol):
    """Which shards this controller leads."""

    @property
    def leaderships(self) -> Container[int]:
        """Their numbers."""

    def condition(self, shard: int) -> Compare:
        """The condition of a write that this controller leads a shard, which it does as far as it knows."""


class QuotaAllocator:
    """Reads and changes the allocations of the shards that this controller leads.

    `_transferring` has, while a transfer is being written, what is left to the shard that gives: from then on nothing
    may start within the quota that is given away, though the write may not be applied yet.
    """

    def __init__(
        self, settings: Settings, loop: Loop, quota_store: QuotaStore, leadership_state: ShardLeaderships
    ) -> None:
        self._loop, self._quota_store, self._leadership_state = loop, quota_store, leadership_state
        self._teams: dict[str, Team] = {team.name: team for team in settings.params.teams}
        self._limits = {name: QuotaAllocation(*team.limits) for name, team in self._teams.items()}
        self._requested_at: dict[tuple[int, str], timedelta] = {}  # (shard, team)
        self._transferring: dict[tuple[int, str], QuotaAllocation] = {}  # (shard, team)

    # -- queries

    def usable_quota(self, shard: int, team: str) -> QuotaAllocation:
        """How much a shard may use for a team; infinite where the team has no limit."""
        allocation = self._allocation(shard, team)
        limit = self._limits.get(team)
        if limit is None or inf not in limit:
            return allocation
        return QuotaAllocation(
            inf if limit.cpus == inf else allocation.cpus,
            inf if limit.accelerators == inf else allocation.accelerators,
        )

    def _allocation(self, shard: int, team: str) -> QuotaAllocation:
        """What a shard holds; while some of it is being transferred, without that."""
        allocation = self._quota_store.allocations(team).of_shard(shard)
        remaining = self._transferring.get((shard, team))
        return allocation if remaining is None else allocation.minimum(remaining)

    def _unallocated(self, team: str) -> Resources:
        """What no shard holds of a team's limit."""
        return Resources(*self._limits[team].reduced_by(self._quota_store.allocations(team).total()))

    def _without_unlimited(self, team: str, lack: Resources) -> Resources:
        """What is lacking, without the kinds that the team has no limit for."""
        limit = self._limits[team]
        return Resources(
            0.0 if limit.cpus == inf else lack.cpus, 0.0 if limit.accelerators == inf else lack.accelerators
        )

    # -- changes

    async def allocate(self, shard: int, team: str, lack: Resources) -> bool:
        """Raise a shard's allocation by what it lacks, as far as no shard holds it; whether all of it was there."""
        if not self._may_write(team):
            return False
        lack = self._without_unlimited(team, lack)
        increase = available_part(lack, self._unallocated(team))
        if not increase.is_negligible():
            await self._write(team, shard, {shard: self._allocation(shard, team).increased_by(increase)})
        return increase.covers(lack)

    def begin_request(self, shard: int, team: str) -> bool:
        """Whether a shard may ask its peers for a team's quota now. If so, not again before REQUEST_INTERVAL."""
        now = self._loop.now()
        if now - self._requested_at.get((shard, team), -REQUEST_INTERVAL) < REQUEST_INTERVAL:
            return False
        self._requested_at[shard, team] = now
        return True

    async def transfer(self, giver: int, taker: int, team: str, lack: Resources, surplus: Resources) -> None:
        """Move quota from a shard of this controller to another one that lacks it; `surplus` is what can be spared."""
        if not self._may_write(team) or giver == taker:
            return
        amount = available_part(self._without_unlimited(team, lack), surplus)
        if amount.is_negligible():
            return
        remaining = self._allocation(giver, team).reduced_by(amount)
        increased = self._quota_store.allocations(team).of_shard(taker).increased_by(amount)
        self._transferring[giver, team] = remaining
        try:
            if await self._write(team, giver, {giver: remaining, taker: increased}):
                log.info("event=quota_moved team=%s from=%d to=%d cpus=%.1f", team, giver, taker, amount.cpus)
        finally:
            self._transferring.pop((giver, team), None)

    def _may_write(self, team: str) -> bool:
        return team in self._teams and team not in self._quota_store.writing

    async def _write(self, team: str, writer: int, changed: dict[int, QuotaAllocation]) -> bool:
        """Change some shards' allocations in the name of the shard `writer`; whether it was written."""
        if writer not in self._leadership_state.leaderships:
            return False
        leadership = self._leadership_state.condition(writer)
        allocations = self._quota_store.allocations(team).replaced(changed)
        if allocations.total().exceeds(self._limits[team]):
            return False
        return await self._quota_store.write(team, allocations, leadership)
