"""Teams' limits, divided among the shards as shares.

One key per team holds every shard's share, and their sum never exceeds the limit. A shard's leader starts tasks only
within its share, raises its own from what nobody holds, and lowers its own, or gives it to another shard, only by
what is unused.
"""

import logging
from collections.abc import Callable
from datetime import timedelta
from math import inf

from badgerroute.protocol.key_value import Compare
from badgerroute.protocol.mesh import QuotaRequest
from badgerroute.scheduling.resources import EPSILON, Resources
from badgerroute.settings import Settings, Team
from badgerroute.storage import records
from badgerroute.storage.budget import Urgency
from badgerroute.storage.key_value_client import (
    CompareFailedError,
    KeyValueClient,
    LeaseExpiredError,
    OutcomeUnknownError,
    StoreUnavailableError,
    compare,
    put,
)
from badgerroute.storage.records import QuotaRecord
from badgerroute.storage.replica import QUOTA_ALLOCATIONS, Replica
from badgerroute.transport.loop import Loop

log = logging.getLogger(__name__)
NONE = (0.0, 0.0)
ASK_AGAIN = timedelta(seconds=1)


class QuotaAllocator:
    """The shares that shards hold of teams' limits, as they are written down."""

    def __init__(
        self,
        settings: Settings,
        loop: Loop,
        store: KeyValueClient,
        replica: Replica,
        pushed: Callable[[str, bytes | None, int], None],
        condition: Callable[[int], Compare | None],
    ) -> None:
        self._loop, self._store, self._replica = loop, store, replica
        self._pushed, self._leadership_condition = pushed, condition
        self.teams: dict[str, Team] = {team.name: team for team in settings.params.teams}
        self._records: dict[str, QuotaRecord] = {}
        self._asked: dict[tuple[int, str], timedelta] = {}
        self._writing: set[str] = set()
        self._committed: dict[tuple[int, str], tuple[float, float]] = {}  # lower bound while a write is on its way
        replica.listen(QUOTA_ALLOCATIONS, self._changed)

    def _changed(self, key: str, value: bytes | None, revision: int) -> None:
        team = key.removeprefix(QUOTA_ALLOCATIONS)
        if value is None:
            self._records.pop(team, None)
        else:
            self._records[team] = records.read(value, QuotaRecord)

    def _record(self, team: str) -> QuotaRecord:
        return self._records.get(team) or QuotaRecord({})

    def of(self, shard: int, team: str) -> tuple[float, float]:
        """What a shard may use of a team's limit; what has none needs no shares."""
        allocation = self._allocation(shard, team)
        if team not in self.teams:
            return allocation
        cpus, gpus = self.teams[team].limits
        return inf if cpus == inf else allocation[0], inf if gpus == inf else allocation[1]

    def _allocation(self, shard: int, team: str) -> tuple[float, float]:
        """A shard's share as it is written down. While we give some away, it counts as given already."""
        allocation = self._record(team).allocations.get(str(shard), NONE)
        low = self._committed.get((shard, team))
        return allocation if low is None else (min(allocation[0], low[0]), min(allocation[1], low[1]))

    def unallocated(self, team: str) -> Resources:
        """What of a team's limit no shard holds."""
        cpus, gpus = self.teams[team].limits
        held = self._record(team).allocations.values()
        return Resources(
            cpus - sum(allocation[0] for allocation in held), gpus - sum(allocation[1] for allocation in held)
        )

    def _limited(self, team: str, lack: Resources) -> Resources:
        """What is lacking of that which has a limit."""
        cpus, gpus = self.teams[team].limits
        return Resources(0.0 if cpus == inf else lack.cpus, 0.0 if gpus == inf else lack.accelerators)

    async def allocate(self, shard: int, team: str, lack: Resources) -> bool:
        """Take what is lacking from what nobody holds; whether all of it was there."""
        if team not in self.teams or team in self._writing:
            return False
        free, lack = self.unallocated(team), self._limited(team, lack)
        cpus = max(0.0, min(lack.cpus, free.cpus))
        gpus = max(0.0, min(lack.accelerators, free.accelerators))
        if cpus > EPSILON or gpus > EPSILON:
            allocation = self._allocation(shard, team)
            await self._write(team, shard, {shard: (allocation[0] + cpus, allocation[1] + gpus)})
        return cpus >= lack.cpus - EPSILON and gpus >= lack.accelerators - EPSILON

    def ask(
        self,
        shard: int,
        team: str,
        lack: Resources,
        age: timedelta,
        rank: tuple[float, float, float] | None,
        used: float,
    ) -> QuotaRequest | None:
        """The question to the peers, not more than once in a while."""
        now = self._loop.now()
        if now - self._asked.get((shard, team), -ASK_AGAIN) < ASK_AGAIN:
            return None
        self._asked[shard, team] = now
        return QuotaRequest(shard, team, lack.cpus, lack.accelerators, age.total_seconds(), rank, used)

    async def transfer(self, giver: int, taker: int, team: str, lack: Resources, cancel_deletion: Resources) -> None:
        """Move some of a shard's unused quota to another shard."""
        if team not in self.teams or team in self._writing or giver == taker:
            return
        lack = self._limited(team, lack)
        cpus = max(0.0, min(lack.cpus, cancel_deletion.cpus))
        gpus = max(0.0, min(lack.accelerators, cancel_deletion.accelerators))
        if cpus <= EPSILON and gpus <= EPSILON:
            return
        mine = self._allocation(giver, team)
        other = self._record(team).allocations.get(str(taker), NONE)
        low = (mine[0] - cpus, mine[1] - gpus)
        self._committed[giver, team] = low  # from now on nothing starts in what is being given
        try:
            moved = await self._write(team, giver, {giver: low, taker: (other[0] + cpus, other[1] + gpus)})
            if moved:
                log.info("event=quota_moved team=%s from=%d to=%d cpus=%.1f", team, giver, taker, cpus)
        finally:
            self._committed.pop((giver, team), None)

    async def _write(self, team: str, writer: int, changed: dict[int, tuple[float, float]]) -> bool:
        condition = self._leadership_condition(writer)
        if condition is None:
            return False
        allocations = dict(self._record(team).allocations)
        for shard, allocation in changed.items():
            allocations[str(shard)] = (round(allocation[0], 6), round(allocation[1], 6))
        cpus, gpus = self.teams[team].limits
        if (
            sum(allocation[0] for allocation in allocations.values()) > cpus + EPSILON
            or sum(allocation[1] for allocation in allocations.values()) > gpus + EPSILON
        ):
            return False
        key = QUOTA_ALLOCATIONS + team
        value = records.write(QuotaRecord(allocations))
        revision = self._replica.revision_of(key)
        self._writing.add(team)
        try:
            at = await self._store.transact([condition, compare(key, revision)], [put(key, value)], Urgency.COMPLETE)
        except (CompareFailedError, OutcomeUnknownError) as error:
            log.debug("event=quota_reconciliation_failed team=%s error=%s", team, error)
            await self._reconcile(key, revision, unknown=isinstance(error, OutcomeUnknownError))
            return False
        except (StoreUnavailableError, LeaseExpiredError):
            return False
        finally:
            self._writing.discard(team)
        self._replica.learn(key, bytes(value), at)
        self._pushed(key, bytes(value), at)
        return True

    async def _reconcile(self, key: str, revision: int, unknown: bool) -> None:
        """Read the key back. While a lost transaction may still be applied, rewriting the key rules that out."""
        while True:
            try:
                item = await self._store.get(key, Urgency.COMPLETE)
                if item is not None:
                    self._replica.learn(key, bytes(item.value), item.revision)
                if not unknown or (item.revision if item else 0) != revision:
                    return
                value = item.value if item else records.write(QuotaRecord({}))
                at = await self._store.transact([compare(key, revision)], [put(key, value)], Urgency.COMPLETE)
                self._replica.learn(key, bytes(value), at)
                return
            except (CompareFailedError, OutcomeUnknownError, StoreUnavailableError):
                await self._loop.sleep(timedelta(milliseconds=300))
