"""Decides which machines to rent for waiting tasks that fit neither on the present nor on the expected machines.

Expected machines were requested but have not arrived yet. Does no I/O: the shards' summaries, the expected machines
and the pools from which machines may be requested are arguments.
"""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple

from msgspec import UNSET

from badgerroute.protocol.cloud import MachineType
from badgerroute.protocol.mesh import PendingDemand, ShardSummary
from badgerroute.protocol.message_sizes import max_task_status_bytes
from badgerroute.scheduling.capacities import free_resources_of, need_of_demand
from badgerroute.scheduling.objectives import Objectives
from badgerroute.scheduling.resources import Resources, capacity_of
from badgerroute.settings import Settings, Team

UNLIMITED_LIST_BYTES = 1 << 40


class MachinePool(NamedTuple):
    """What one rental request can ask for: machines of one type, in one zone, all spot or all on demand."""

    type: str
    zone: str
    spot: bool


@dataclass(frozen=True, slots=True)
class ExpectedMachines:
    """Machines that were requested from a pool and have not arrived yet."""

    pool: MachinePool
    count: int


def machine_pools(catalog: dict[str, MachineType]) -> list[MachinePool]:
    """All pools from which machines can be requested."""
    return [
        MachinePool(machine_type.name, zone, spot)
        for machine_type in catalog.values()
        for zone in machine_type.zones
        for spot in ((True, False) if machine_type.spot_price else (False,))
    ]


def price_per_cpu(pool: MachinePool, catalog: dict[str, MachineType]) -> float:
    """The list price per processor and hour of a pool's machines."""
    machine_type = catalog[pool.type]
    return (machine_type.spot_price if pool.spot else machine_type.price) / max(machine_type.cpus, 1e-9)


def _soon_free_list_bytes(summary: ShardSummary) -> int:
    """The room in task lists that tasks will leave soon. Older versions don't tell it: then only processors count."""
    return UNLIMITED_LIST_BYTES if summary.task_lists is UNSET else summary.task_lists.soon_free_bytes


def _pool_allowed(demand: PendingDemand, pool: MachinePool) -> bool:
    return (
        (demand.types is None or pool.type in demand.types)
        and (demand.zone is None or demand.zone == pool.zone)
        and (demand.spot or not pool.spot)
    )


@dataclass(slots=True)
class _CapacityGroup:
    """Machines of one pool with equal free capacity. Thousands of machines form only a few such groups."""

    pool: MachinePool
    free: Resources  # of each machine
    count: int

    def fill(self, need: Resources, tasks: int) -> tuple[int, list["_CapacityGroup"]]:
        """Assign up to `tasks` tasks to these machines. Return how many fit, and the groups that replace this one.

        The groups are: the machines that were filled, the last machine if it got fewer tasks, and the machines that
        got none.
        """
        tasks_per_machine = self.free.count_fitting(need)
        full_machines = min(self.count, tasks // tasks_per_machine)
        fitting = full_machines * tasks_per_machine
        tasks_on_last = min(tasks - fitting, tasks_per_machine) if full_machines < self.count else 0
        remaining = [
            self._after(need, tasks_per_machine, full_machines),
            self._after(need, tasks_on_last, 1 if tasks_on_last else 0),
        ]
        remaining.append(_CapacityGroup(self.pool, self.free, self.count - full_machines - bool(tasks_on_last)))
        return fitting + tasks_on_last, [group for group in remaining if group.count]

    def _after(self, need: Resources, tasks: int, machines: int) -> "_CapacityGroup":
        free = self.free.copy()
        free.subtract(need.times(tasks))
        return _CapacityGroup(self.pool, free, machines)


class ScaleOutPlan:
    """Computes which machines to request in one scale-out round.

    `may_request` returns whether machines may be requested from a pool: not if the pool refused a request recently.
    `max_per_pool` is the largest number of machines to request from one pool.
    """

    def __init__(
        self,
        catalog: dict[str, MachineType],
        teams: list[Team],
        may_request: Callable[[MachinePool], bool],
        max_per_pool: int,
    ) -> None:
        self._catalog, self._may_request, self._max_per_pool = catalog, may_request, max_per_pool
        self._teams = {team.name: team for team in teams}
        self._groups: list[_CapacityGroup] = []
        self._least_need = Resources()  # machines with less free capacity have room for no waiting task
        self._used: dict[str, Resources] = {}
        self._wanted: dict[MachinePool, int] = {}

    def machines_wanted(
        self, summaries: list[ShardSummary], expected: list[ExpectedMachines]
    ) -> dict[MachinePool, int]:
        """The number of machines to request from each pool, in addition to the present and the expected machines."""
        self._count_capacity(summaries, expected)
        freeing = Resources(
            cpus=sum(shard.soon_free_cpus for shard in summaries), list_bytes=sum(map(_soon_free_list_bytes, summaries))
        )
        demands = [demand for shard in summaries for demand in shard.demands]
        needs = [need_of_demand(demand) for demand in demands]
        self._least_need = Resources(
            min((need.cpus for need in needs), default=0.0),
            min((need.accelerators for need in needs), default=0.0),
            min((need.memory_gb for need in needs), default=0.0),
            min((need.list_bytes for need in needs), default=0),
        )
        demands.sort(key=lambda demand: (not demand.guaranteed, -demand.level, -demand.waited_s))
        for demand in demands:
            count = self._within_limit(demand)
            if not demand.gang and demand.cpus > 0:
                # Some running tasks will end before a new machine could start tasks, and leave their images cached.
                need = Resources(cpus=demand.cpus, list_bytes=max_task_status_bytes(demand.ref))
                served = min(count, freeing.count_fitting(need))
                freeing.subtract(need.times(served))
                count -= served
            if count > 0:
                self._assign(demand, count)
        return self._wanted

    def _count_capacity(self, summaries: list[ShardSummary], expected: list[ExpectedMachines]) -> None:
        for shard in summaries:
            for capacity in shard.all_capacities:
                pool = MachinePool(capacity.type, capacity.zone, capacity.spot)
                self._groups.append(_CapacityGroup(pool, free_resources_of(capacity), capacity.count))
            for team, (cpus, accelerators) in shard.used.items():
                self._used.setdefault(team, Resources()).add(Resources(cpus, accelerators))
        for machines in expected:
            machine_type = self._catalog.get(machines.pool.type)
            if machine_type is not None:
                self._groups.append(_CapacityGroup(machines.pool, capacity_of(machine_type), machines.count))

    def _within_limit(self, demand: PendingDemand) -> int:
        """How many tasks of a demand fit in its team's quota limit, all or none for a gang. Counts them as used."""
        team = self._teams.get(demand.team)
        if team is None:
            return 0
        used = self._used.setdefault(demand.team, Resources())
        cpus, accelerators = team.limits
        available = Resources(cpus - used.cpus, accelerators - used.accelerators)
        count = min(demand.count, available.count_fitting(Resources(demand.cpus, demand.accelerators)))
        if demand.gang and count < demand.count:
            return 0
        used.add(Resources(count * demand.cpus, count * demand.accelerators))
        return count

    def _assign(self, demand: PendingDemand, count: int) -> None:
        need = need_of_demand(demand)
        groups: list[_CapacityGroup] = []
        for group in self._groups:
            if count > 0 and group.free.holds(need) and _pool_allowed(demand, group.pool):
                fitting, remaining = group.fill(need, count)
                groups += [left for left in remaining if left.free.holds(self._least_need)]
                count -= fitting
            else:
                groups.append(group)
        self._groups = groups
        if count > 0:
            pool = self._cheapest_pool(demand, need)
            if pool is not None:
                self._add_machines(pool, need, count)

    def _cheapest_pool(self, demand: PendingDemand, need: Resources) -> MachinePool | None:
        options = [
            pool
            for pool in machine_pools(self._catalog)
            if _pool_allowed(demand, pool)
            and self._may_request(pool)
            and capacity_of(self._catalog[pool.type]).holds(need)
        ]
        return min(
            options, key=lambda pool: (price_per_cpu(pool, self._catalog), self._wanted.get(pool, 0)), default=None
        )

    def _add_machines(self, pool: MachinePool, need: Resources, tasks: int) -> None:
        capacity = capacity_of(self._catalog[pool.type])
        machines = min(-(-tasks // capacity.count_fitting(need)), self._max_per_pool - self._wanted.get(pool, 0))
        if machines <= 0:
            return
        self._wanted[pool] = self._wanted.get(pool, 0) + machines
        _, remaining = _CapacityGroup(pool, capacity, machines).fill(need, tasks)
        self._groups += remaining


def scales_out_ahead(settings: Settings, catalog: dict[str, MachineType]) -> bool:
    """Whether to keep idle machines running for jobs that have not been submitted yet.

    If jobs are expected to start sooner than a machine can boot, renting one after the submission is too late.
    Otherwise, idle machines only cost money. The operator's setting `return_idle` overrides this.
    """
    if settings.operator.fleet.return_idle is not None:
        return not settings.operator.fleet.return_idle
    if not catalog:
        return False
    boot = min(timedelta(seconds=machine_type.boot_s) for machine_type in catalog.values())
    return Objectives(settings.params.objectives).shortest_start_within < boot
