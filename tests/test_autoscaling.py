"""Provisioning timeouts of pending machines, and the backoff of pools without capacity."""

from datetime import timedelta

from badgerroute.coordination.autoscaling.pending_machines import PendingMachines, PendingRental
from badgerroute.coordination.autoscaling.rental_backoff import RentalBackoff
from badgerroute.protocol.cloud import MachineType
from badgerroute.scheduling.scale_out_planning import MachinePool
from badgerroute.transport.clock import VirtualClock
from badgerroute.transport.loop import Loop, VirtualPoller

SECOND = timedelta(seconds=1)
POOL = MachinePool("g8", "north", False)
TYPE = MachineType("g8", 8.0, 0.0, 32.0, 100.0, 1.0, 1.0, 0.0, 10.0, ["north"])


def new_loop() -> Loop:
    clock = VirtualClock()
    return Loop(clock, VirtualPoller(clock))


def pending_machines(loop: Loop, **rented_at_by_name: timedelta) -> PendingMachines:
    """Return pending machines of one type, which boots in 10 s, with the given rental times."""
    pending = PendingMachines(loop, {"g8": TYPE}, max_list_age=5 * SECOND)
    for name, rented_at in rented_at_by_name.items():
        pending.add(name, PendingRental(POOL, 1, rented_at))
    return pending


def test_a_machine_times_out_sooner_if_a_later_one_is_up() -> None:
    loop = new_loop()
    now = loop.now()
    # 6 s between the rentals exceed the maximum age of the cloud's list of machines, 5 s.
    pending = pending_machines(loop, first=now, second=now + 6 * SECOND)
    late = now + 46 * SECOND
    assert pending.remove_timed_out(set(), late) == []
    pending.remove_started(["second"])
    assert pending.remove_timed_out(set(), late) == ["first"]
    assert "first" not in pending and pending.machine_count() == 0


def test_a_machine_that_none_has_overtaken_times_out_after_fifteen_boot_times() -> None:
    loop = new_loop()
    now = loop.now()
    pending = pending_machines(loop, first=now)
    assert pending.remove_timed_out(set(), now + 155 * SECOND) == []
    assert pending.remove_timed_out(set(), now + 156 * SECOND) == ["first"]


def test_a_machine_is_counted_on_for_three_boot_times() -> None:
    loop = new_loop()
    now = loop.now()
    pending = pending_machines(loop, late=now - 31 * SECOND, soon=now - 30 * SECOND)
    assert not pending.expects("late") and pending.expects("soon")
    assert [machines.count for machines in pending.expected()] == [1]


def test_members_are_no_longer_pending() -> None:
    loop = new_loop()
    pending = pending_machines(loop, first=loop.now())
    assert pending.remove_timed_out({"first"}, loop.now() + timedelta(hours=1)) == []
    assert "first" not in pending


def test_the_pause_of_a_pool_doubles_up_to_a_minute_and_ends_with_a_full_answer() -> None:
    loop = new_loop()
    backoff = RentalBackoff(loop)

    def pause() -> timedelta:
        return backoff._backoffs[POOL].pause

    pauses = []
    for _ in range(4):
        backoff.record(POOL, requested=5, rented=0)
        pauses.append(pause())
    assert pauses == [10 * SECOND, 20 * SECOND, 40 * SECOND, 60 * SECOND]
    assert not backoff.allows(POOL)
    backoff.record(POOL, requested=5, rented=2)
    assert pause() == 10 * SECOND
    backoff.record(POOL, requested=5, rented=5)
    assert backoff.allows(POOL)
