"""Spreads a team's waiting tasks over the shards: computes how many a shard should request, and from which shard.

A request is an ordinary work-stealing request: the leader of the shard that owns the tasks decides which tasks to hand
over and records their transfer. Leaders that run older versions can respond to it as well.
"""

from dataclasses import dataclass

from badgerroute.protocol.mesh import FreeCapacity, ShardLoad, ShardSummary
from badgerroute.scheduling.shard import Shard

# A shard with less than this fraction of its fair share of a team's waiting tasks requests the rest of that share.
# Neither shard is below this fraction after the transfer, so the other shard does not request the tasks back.
REQUEST_THRESHOLD = 0.5
MIN_TASKS = 2  # requesting fewer tasks is not worth the write to the key-value store


@dataclass(frozen=True, slots=True)
class WorkRequest:
    """The number of a team's waiting tasks that a shard requests from another shard, the victim."""

    team: str
    victim: int
    tasks: int
    cpus_per_task: float


def _waiting_tasks(summary: ShardSummary, team: str) -> int:
    if not isinstance(summary.load, ShardLoad):
        return 0
    return sum(waits.waiting for waits in summary.load.waits if waits.team == team)


def missing_work(own: ShardSummary, others: list[ShardSummary], teams: list[str]) -> list[WorkRequest]:
    """Return the requests that a shard must send to get its fair share of the given teams' waiting tasks.

    A shard's fair share of a team's waiting tasks is proportional to its number of machines. The victim is the shard
    with the most waiting tasks of the team per machine.
    """
    requests: list[WorkRequest] = []
    shards = [own, *others]
    machines = sum(shard.machines for shard in shards)
    if not machines:
        return requests
    for team in teams:
        total = sum(_waiting_tasks(shard, team) for shard in shards)
        fair_share = total * own.machines / machines
        own_waiting = _waiting_tasks(own, team)
        tasks = int(fair_share - own_waiting)
        if own_waiting >= REQUEST_THRESHOLD * fair_share or tasks < MIN_TASKS:
            continue
        victim = max(others, key=lambda shard: _waiting_tasks(shard, team) / max(1, shard.machines))
        surplus = _waiting_tasks(victim, team) - total * victim.machines / machines
        tasks = min(tasks, int(surplus))
        if tasks >= MIN_TASKS:
            requests.append(WorkRequest(team, victim.shard, tasks, _cpus_per_task(victim, team)))
    return requests


def _cpus_per_task(summary: ShardSummary, team: str) -> float:
    """Return the mean CPUs per waiting task of a team in a shard, or 1 if no waiting task is reported."""
    demands = [demand for demand in summary.demands if demand.team == team]
    tasks = sum(demand.count for demand in demands)
    if not tasks:
        return 1.0
    return max(0.01, sum(demand.cpus * demand.count for demand in demands) / tasks)


def offered_capacity(shard: Shard, request: WorkRequest) -> list[FreeCapacity]:
    """Return the capacity that the shard offers for the requested tasks: the `capacities` of its steal request.

    Only usable machines are offered. Their CPUs in use count as free, since some of them will be free soon.
    """
    cpus_left = request.tasks * request.cpus_per_task
    offered: list[FreeCapacity] = []
    for machine in shard.machines.values():
        if cpus_left <= 0:
            break
        if not machine.usable or machine.reserved_for is not None:
            continue
        machine_type = machine.machine_type
        cpus = min(machine_type.cpus, max(request.cpus_per_task, cpus_left))
        cpus_left -= cpus
        offered.append(
            FreeCapacity(
                machine_type.name,
                machine.zone,
                machine.spot,
                cpus,
                machine_type.accelerators,
                machine_type.memory_gb,
                1,
            )
        )
    return offered
