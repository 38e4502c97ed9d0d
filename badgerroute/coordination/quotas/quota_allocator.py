"""Allocation of teams' quotas to shards.

The sum of all shards' allocations of a team never exceeds the team's limit. A shard's leader starts tasks only within
the shard's allocation. It increases the allocation only by quota that no shard holds, and transfers only unused quota
to another shard.
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
REQUEST_INTERVAL = timedelta(seconds=1)  # minimum time between two requests of a shard for quota of the same team


class ShardLeaderships(Protocol):
    """The shards that this controller leads."""

    @property
    def leaderships(self) -> Container[int]:
        """Return the numbers of these shards."""

    def leadership_condition(self, shard: int) -> Compare:
        """Return a condition for writes that holds only while this controller still leads the shard."""


class QuotaAllocator:
    """Reads and changes the allocations of the shards that this controller leads.

    While a transfer is being written, `_transferring` holds the allocation that the giving shard will have afterwards.
    The transferred quota may no longer be used for starting tasks, even if the write has not been applied yet.
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
        """Return how much quota of a team a shard may use. For a resource without a limit, it is infinite."""
        allocation = self._allocation(shard, team)
        limit = self._limits.get(team)
        if limit is None or inf not in limit:
            return allocation
        return QuotaAllocation(
            inf if limit.cpus == inf else allocation.cpus,
            inf if limit.accelerators == inf else allocation.accelerators,
        )

    def _allocation(self, shard: int, team: str) -> QuotaAllocation:
        """Return a shard's allocation, without the part that is being transferred to another shard."""
        allocation = self._quota_store.allocations(team).of_shard(shard)
        remaining = self._transferring.get((shard, team))
        return allocation if remaining is None else allocation.minimum(remaining)

    def _unallocated(self, team: str) -> Resources:
        """Return the part of a team's limit that no shard holds."""
        return Resources(*self._limits[team].reduced_by(self._quota_store.allocations(team).total()))

    def _limited_only(self, team: str, shortfall: Resources) -> Resources:
        """Return the shortfall with zero for each resource that the team has no limit for."""
        limit = self._limits[team]
        return Resources(
            0.0 if limit.cpus == inf else shortfall.cpus, 0.0 if limit.accelerators == inf else shortfall.accelerators
        )

    # -- changes

    async def allocate(self, shard: int, team: str, shortfall: Resources) -> bool:
        """Increase a shard's allocation by its shortfall, or by the unallocated quota if that is less.

        Returns whether there was enough unallocated quota for all of the shortfall.
        """
        if not self._may_write(team):
            return False
        shortfall = self._limited_only(team, shortfall)
        increase = available_part(shortfall, self._unallocated(team))
        if not increase.is_negligible():
            await self._write(team, shard, {shard: self._allocation(shard, team).increased_by(increase)})
        return increase.covers(shortfall)

    def try_begin_request(self, shard: int, team: str) -> bool:
        """Return whether a shard may ask its peers for a team's quota now, and if so start the REQUEST_INTERVAL."""
        now = self._loop.now()
        if now - self._requested_at.get((shard, team), -REQUEST_INTERVAL) < REQUEST_INTERVAL:
            return False
        self._requested_at[shard, team] = now
        return True

    async def transfer(self, giver: int, taker: int, team: str, shortfall: Resources, surplus: Resources) -> None:
        """Move quota from a shard of this controller to another shard: the lower of the shortfall and the surplus."""
        if not self._may_write(team) or giver == taker:
            return
        amount = available_part(self._limited_only(team, shortfall), surplus)
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
        """Write some shards' allocations as the leader of the shard `writer`. Return whether they were written."""
        if writer not in self._leadership_state.leaderships:
            return False
        leadership = self._leadership_state.leadership_condition(writer)
        allocations = self._quota_store.allocations(team).replaced(changed)
        if allocations.total().exceeds(self._limits[team]):
            return False
        return await self._quota_store.write(team, allocations, leadership)
