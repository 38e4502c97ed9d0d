"""Spreading a team's waiting work over the shards: who lacks how much of it, and whom to ask.

Asked for as an ordinary steal request, so the leader of the work decides and writes, whatever its version.
"""

from dataclasses import dataclass

from badgerroute.protocol.mesh import FreeCapacity, ShardLoad, ShardSummary
from badgerroute.scheduling.shard import Shard

LACKING = 0.5  # a shard with less of its portion asks for the rest; both then have enough, so nobody asks back
LEAST_TASKS = 2  # what is not worth a write


@dataclass(frozen=True, slots=True)
class WorkRequest:
    """Waiting tasks of a team that one shard should get from another."""

    team: str
    victim: int
    tasks: int
    cpus_per_task: float


def _waiting(summary: ShardSummary, team: str) -> int:
    if not isinstance(summary.load, ShardLoad):
        return 0
    return sum(waits.waiting for waits in summary.load.waits if waits.team == team)


def work_lacking(own: ShardSummary, others: list[ShardSummary], teams: list[str]) -> list[WorkRequest]:
    """What a shard lacks of teams' waiting work for its portion of the machines, and of whom to ask it."""
    found: list[WorkRequest] = []
    shards = [own, *others]
    machines = sum(shard.machines for shard in shards)
    if not machines:
        return found
    for team in teams:
        total = sum(_waiting(shard, team) for shard in shards)
        portion = total * own.machines / machines
        here = _waiting(own, team)
        tasks = int(portion - here)
        if here >= LACKING * portion or tasks < LEAST_TASKS:
            continue
        victim = max(others, key=lambda shard: _waiting(shard, team) / max(1, shard.machines))
        surplus = _waiting(victim, team) - total * victim.machines / machines
        tasks = min(tasks, int(surplus))
        if tasks >= LEAST_TASKS:
            found.append(WorkRequest(team, victim.shard, tasks, _cpus_per_task(victim, team)))
    return found


def _cpus_per_task(summary: ShardSummary, team: str) -> float:
    """Of the team's tasks that wait in a shard, on average."""
    demands = [demand for demand in summary.demands if demand.team == team]
    tasks = sum(demand.count for demand in demands)
    if not tasks:
        return 1.0
    return max(0.01, sum(demand.cpus * demand.count for demand in demands) / tasks)


def offered_capacity(shard: Shard, request: WorkRequest) -> list[FreeCapacity]:
    """Machines of a shard for so many tasks, as if they were free: some of their capacity soon will be."""
    cpus_left = request.tasks * request.cpus_per_task
    offered: list[FreeCapacity] = []
    for machine in shard.machines.values():
        if cpus_left <= 0:
            break
        if not machine.usable or machine.reserved_for is not None:
            continue
        kind = machine.kind
        cpus = min(kind.cpus, max(request.cpus_per_task, cpus_left))
        cpus_left -= cpus
        offered.append(FreeCapacity(kind.name, machine.zone, machine.spot, cpus, kind.accelerators, kind.memory_gb, 1))
    return offered
