"""When a silent machine's lease is certainly over, so that its tasks may start elsewhere."""

from datetime import timedelta

from badgerroute.scheduling.model import ZERO, Machine
from badgerroute.scheduling.shard_state import ShardState


def expire_leases(
    shard: ShardState, now: timedelta, last_confirmed: timedelta, lease: timedelta, grace: timedelta
) -> list[Machine]:
    """Book the tasks of machines whose lease is certainly over as lost; these machines.

    `last_confirmed` is when the leadership was last known to be ours, not the time now. Our own silence towards a
    machine ends its lease only as long as nobody else may answer it, and from `last_confirmed` on a new leader may: a
    leader that is cut off, though within its grace, must not take a successor's machines for dead. `lease` is the
    workers' lease with the drift of clocks, `grace` how long a former leader may have gone on answering.
    """
    lost_machines = []
    for machine in shard.machines.values():
        lease_end = _latest_lease_end(shard, machine, lease, grace)
        if last_confirmed > lease_end and (machine.placements or not machine.fenced or machine.alive):
            _mark_lost(shard, machine, now)
            lost_machines.append(machine)
    return lost_machines


def _latest_lease_end(shard: ShardState, machine: Machine, lease: timedelta, grace: timedelta) -> timedelta:
    """The time after which the worker has killed its tasks, unless a newer leader answered it."""
    if machine.fenced and machine.answered is not None:
        return machine.answered + lease
    # A former leader may have answered it until its own grace ran out.
    return max(shard.led_since + grace, machine.answered or ZERO, machine.joined) + lease


def _mark_lost(shard: ShardState, machine: Machine, now: timedelta) -> None:
    shard.lose_tasks(machine, now)
    machine.orphans.clear()
    machine.undecided.clear()
    machine.alive = False
    machine.expired_incarnation = machine.incarnation
    machine.fenced = True
    machine.idle_since = None
