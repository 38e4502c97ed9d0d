"""The scale-out loop: the autoscaler leader rents machines for waiting tasks or, if so set, ahead of demand."""

import logging
from datetime import timedelta
from typing import Protocol

from badgerroute.coordination.autoscaling.autoscaler_authority import AutoscalerAuthority
from badgerroute.coordination.autoscaling.machine_inventory import MachineInventory
from badgerroute.coordination.autoscaling.machine_ownership import MachineOwnership
from badgerroute.coordination.autoscaling.pending_machines import PendingMachines, PendingRental
from badgerroute.coordination.autoscaling.rental_backoff import RentalBackoff
from badgerroute.coordination.leadership.leadership_state import LeadershipState
from badgerroute.protocol.cloud import MachineType
from badgerroute.protocol.mesh import ShardSummary
from badgerroute.scheduling.scale_out_planning import (
    MachinePool,
    ScaleOutPlan,
    machine_pools,
    price_per_cpu,
    scales_out_ahead,
)
from badgerroute.settings import Settings
from badgerroute.storage.cloud_client import MAX_MACHINES_PER_RENTAL, CloudClient
from badgerroute.storage.errors import CloudUnavailableError, NoCapacityError
from badgerroute.transport.loop import Loop

log = logging.getLogger(__name__)
INTERVAL = timedelta(seconds=1)
MAX_RENTAL_TRIES = 3


class SummarySource(Protocol):
    """Provides the latest summary that each shard's leader has sent."""

    def summaries(self) -> list[ShardSummary]:
        """Return the latest summary of each shard whose leader has sent one."""


class ScaleOut:
    """Rents machines until the fleet has `most_machines` (a setting) or nothing more is needed.

    The name of each rental request contains the autoscaler leader's term and `_request_count`, so it is unique.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        loop: Loop,
        cloud: CloudClient,
        leadership_state: LeadershipState,
        authority: AutoscalerAuthority,
        ownership: MachineOwnership,
        catalog: dict[str, MachineType],
        summary_source: SummarySource,
        pending: PendingMachines,
        inventory: MachineInventory,
    ) -> None:
        self._settings, self._loop, self._cloud = settings, loop, cloud
        self._leadership_state, self._authority, self._ownership = leadership_state, authority, ownership
        self._catalog, self._summary_source = catalog, summary_source
        self._pending, self._inventory = pending, inventory
        self._backoff = RentalBackoff(loop)
        self._request_count = 0

    async def run(self) -> None:
        """Rent machines while this controller is the autoscaler leader and may rent; runs until cancelled."""
        while True:
            await self._loop.sleep(INTERVAL)
            if not self._authority.may_rent() or not self._catalog:
                self._inventory.reset()
                continue
            try:
                await self._inventory.refresh()
                await self._scale_out()
            except CloudUnavailableError as error:
                log.info("event=cloud_request_failed error=%s", error)

    async def _scale_out(self) -> None:
        """Rent the machines that are needed now, first from the pools with the lowest price per CPU."""
        members = self._ownership.members()
        self._pending.remove_started(members)
        remaining = self._settings.operator.fleet.most_machines - len(members) - self._pending.machine_count()
        if remaining <= 0:
            return
        for pool, count in sorted(
            self._machines_to_request().items(), key=lambda item: price_per_cpu(item[0], self._catalog)
        ):
            count = min(count, remaining)
            if count > 0:
                remaining -= await self._rent(pool, count)

    def _machines_to_request(self) -> dict[MachinePool, int]:
        """Return how many machines to request from each pool.

        If machines are rented ahead of demand, that is MAX_MACHINES_PER_RENTAL for each pool. Otherwise it is what the
        waiting tasks need.
        """
        if scales_out_ahead(self._settings, self._catalog):
            pools = machine_pools(self._catalog)
            return {pool: MAX_MACHINES_PER_RENTAL for pool in pools if self._backoff.allows(pool)}
        teams = self._settings.params.teams
        plan = ScaleOutPlan(self._catalog, teams, self._backoff.allows, MAX_MACHINES_PER_RENTAL)
        return plan.machines_wanted(self._summary_source.summaries(), self._pending.expected())

    async def _rent(self, pool: MachinePool, count: int) -> int:
        """Rent up to `count` machines. Return how many were rented or, if this is unknown, the most that may have been.

        If a response is lost, the request is sent again under the same name, so that it is executed only once.
        """
        self._request_count += 1
        request_name = f"r-{self._leadership_state.autoscaler_term}-{self._request_count}"
        count = min(count, MAX_MACHINES_PER_RENTAL)
        for _ in range(MAX_RENTAL_TRIES):
            if self._leadership_state.autoscaler_term is None:
                return count
            try:
                names = await self._cloud.rent(request_name, *pool, count)
            except NoCapacityError:
                names = []
            except CloudUnavailableError as error:
                log.info("event=scale_out_failed request=%s error=%s", request_name, error)
                await self._loop.sleep(INTERVAL)
                continue
            self._record_rental(request_name, pool, count, names)
            return len(names)
        self._pending.add(request_name, PendingRental(pool, count, self._loop.now()))
        return count

    def _record_rental(self, request_name: str, pool: MachinePool, requested: int, names: list[str]) -> None:
        now = self._loop.now()
        for name in names:
            self._pending.add(name, PendingRental(pool, 1, now))
        if names:
            log.info(
                "event=machines_rented request=%s type=%s zone=%s spot=%s asked=%d got=%d",
                request_name,
                *pool,
                requested,
                len(names),
            )
        self._backoff.record(pool, requested, len(names))
