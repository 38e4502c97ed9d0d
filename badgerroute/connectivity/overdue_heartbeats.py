"""Detects overdue heartbeats, and whether so many are overdue that this controller's own link may be at fault."""

from datetime import timedelta

from badgerroute.scheduling.model import Machine
from badgerroute.scheduling.shard_state import ShardView

MIN_EXPECTED_MACHINES = 3  # if fewer should send heartbeats, overdue ones prove little about the link
# Intervals between heartbeats vary by up to a quarter, so the longest is 1.25 times the nominal one. The rest is slack.
HEARTBEAT_INTERVAL_FACTOR = 1.5
HEARTBEAT_TRANSIT_TIME = timedelta(seconds=1)  # allowance for the network
FAILOVER_TIME = timedelta(seconds=5)  # a worker tries another controller after a timeout of 4 s and a pause of 1 s


def is_overdue(
    machine: Machine, shard: ShardView, heartbeat_interval: timedelta, resumed_at: timedelta, now: timedelta
) -> bool:
    """Whether a heartbeat of a member machine is overdue. Heartbeats relayed by a peer don't count.

    `resumed_at` is when this process resumed after its last pause, during which it could receive no heartbeat.
    """
    if machine.last_heartbeat_at is None:
        last_heartbeat_due_from = max(machine.joined_at, shard.led_since) + FAILOVER_TIME
    else:
        last_heartbeat_due_from = machine.last_heartbeat_at
    return (
        now - max(last_heartbeat_due_from, resumed_at)
        > heartbeat_interval * HEARTBEAT_INTERVAL_FACTOR + HEARTBEAT_TRANSIT_TIME
    )


def count_overdue(shard: ShardView, heartbeat_interval: timedelta, resumed_at: timedelta, now: timedelta) -> int:
    """Return how many machines have overdue heartbeats, or 0 if less than half have. Lost machines are ignored."""
    # A machine that was fenced by a direct command is not alive before its first heartbeat, but not lost either. If it
    # did not count, a network partition right after a failover would go unnoticed (docs/incidents.md).
    expected = [machine for machine in shard.machines.values() if machine.alive or machine.lost_at is None]
    overdue = sum(is_overdue(machine, shard, heartbeat_interval, resumed_at, now) for machine in expected)
    return overdue if len(expected) >= MIN_EXPECTED_MACHINES and 2 * overdue >= len(expected) else 0
