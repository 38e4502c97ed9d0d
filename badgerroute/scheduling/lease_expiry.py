"""Decides when the lease of an unresponsive machine has certainly expired, so that its tasks may start elsewhere."""

from datetime import timedelta

from badgerroute.scheduling.model import ZERO, Machine
from badgerroute.scheduling.shard_state import ShardState


def expire_leases(
    shard: ShardState, now: timedelta, last_confirmed: timedelta, lease: timedelta, grace: timedelta
) -> list[Machine]:
    """Release the tasks of machines whose lease has certainly expired, and return these machines.

    `last_confirmed` is when this controller's leadership was last confirmed. Leases are compared with this time, not
    with `now`, because another leader may have been elected since then and may renew them. So a leader that is cut off,
    but still within its grace period, does not declare its successor's machines dead. `lease` is the duration of the
    workers' leases including clock drift. `grace` is how long a former leader may have continued to respond to
    heartbeats after this controller became the leader.
    """
    lost_machines = []
    for machine in shard.machines.values():
        lease_end = _latest_lease_end(shard, machine, lease, grace)
        if last_confirmed > lease_end and (machine.placements or not machine.fenced or machine.alive):
            _mark_lost(shard, machine, now)
            lost_machines.append(machine)
    return lost_machines


def _latest_lease_end(shard: ShardState, machine: Machine, lease: timedelta, grace: timedelta) -> timedelta:
    """The time by which a machine's lease has ended and its worker has killed its tasks.

    A newer leader may have renewed the lease since; `expire_leases` takes this into account.
    """
    if machine.fenced and machine.last_response_at is not None:
        return machine.last_response_at + lease
    # A former leader may have renewed the lease until its own grace period ended.
    return max(shard.led_since + grace, machine.last_response_at or ZERO, machine.joined_at) + lease


def _mark_lost(shard: ShardState, machine: Machine, now: timedelta) -> None:
    """Release a machine's tasks, and ignore all further messages of its current incarnation."""
    shard.lose_tasks(machine, now)
    machine.orphans.clear()
    machine.undecided.clear()
    machine.count_unplaced()
    machine.alive = False
    machine.expired_incarnation = machine.incarnation
    machine.fenced = True
    machine.idle_since = None
