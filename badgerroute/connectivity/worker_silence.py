"""Which members' heartbeats are overdue, and whether so many are that the fault may lie on our side."""

from datetime import timedelta

from badgerroute.scheduling.model import Machine
from badgerroute.scheduling.shard_state import ShardView

MIN_MACHINES = 3  # fewer silent machines say more of themselves than of us
HEARTBEAT_SLACK = 1.5  # times the interval between two heartbeats, which varies by a quarter
HEARTBEAT_DELAY = timedelta(seconds=1)  # for the way of a heartbeat
LEAVING = timedelta(seconds=5)  # in which a worker gives its former leader up: 4 s without an answer, and 1 s of rest


def overdue(machine: Machine, shard: ShardView, heartbeat: timedelta, resumed_at: timedelta, now: timedelta) -> bool:
    """Whether a heartbeat of a member should have come here by now; one that came through a peer does not count.

    `resumed_at`: the end of our own last pause, before which nothing could be heard.
    """
    if machine.last_heartbeat is None:
        last = max(machine.joined, shard.led_since) + LEAVING
    else:
        last = machine.last_heartbeat
    return now - max(last, resumed_at) > heartbeat * HEARTBEAT_SLACK + HEARTBEAT_DELAY


def silent(shard: ShardView, heartbeat: timedelta, resumed_at: timedelta, now: timedelta) -> int:
    """How many machines' heartbeats are overdue, if half of all or more are; those known to be lost don't count."""
    # One that was fenced by a direct command has not reported yet, and is not lost for that: a cut that began right
    # after a takeover once went unnoticed, and a lease later all tasks of the shard were gone (docs/incidents.md).
    expected = [machine for machine in shard.machines.values() if machine.alive or machine.lost_at is None]
    late = sum(overdue(machine, shard, heartbeat, resumed_at, now) for machine in expected)
    return late if len(expected) >= MIN_MACHINES and 2 * late >= len(expected) else 0
