"""Which members' heartbeats are overdue, and whether so many are that the fault may lie on this controller's side."""

from datetime import timedelta

from badgerroute.scheduling.model import Machine
from badgerroute.scheduling.shard_state import ShardView

MIN_EXPECTED_MACHINES = 3  # fewer say more of themselves than of us
HEARTBEAT_INTERVAL_FACTOR = 1.5  # times the interval between two heartbeats, which varies by a quarter
HEARTBEAT_TRANSIT_TIME = timedelta(seconds=1)  # for the way of a heartbeat
FAILOVER_TIME = timedelta(seconds=5)  # in which a worker gives its former leader up: 4 s without an answer, 1 s of rest


def is_overdue(
    machine: Machine, shard: ShardView, heartbeat_interval: timedelta, resumed_at: timedelta, now: timedelta
) -> bool:
    """Whether a heartbeat of a member should have come here by now; one that came through a peer does not count.

    `resumed_at`: the end of this process's last pause, before which nothing could be received.
    """
    if machine.last_heartbeat is None:
        last_heartbeat_due_from = max(machine.joined, shard.led_since) + FAILOVER_TIME
    else:
        last_heartbeat_due_from = machine.last_heartbeat
    return (
        now - max(last_heartbeat_due_from, resumed_at)
        > heartbeat_interval * HEARTBEAT_INTERVAL_FACTOR + HEARTBEAT_TRANSIT_TIME
    )


def count_overdue(shard: ShardView, heartbeat_interval: timedelta, resumed_at: timedelta, now: timedelta) -> int:
    """How many machines' heartbeats are overdue, if half of all or more are, else 0; lost machines don't count."""
    # A machine that was fenced by a direct command has not reported yet, and is not lost for that: if it did not count,
    # a cut right after a failover would go unnoticed (docs/incidents.md).
    expected = [machine for machine in shard.machines.values() if machine.alive or machine.lost_at is None]
    overdue = sum(is_overdue(machine, shard, heartbeat_interval, resumed_at, now) for machine in expected)
    return overdue if len(expected) >= MIN_EXPECTED_MACHINES and 2 * overdue >= len(expected) else 0
