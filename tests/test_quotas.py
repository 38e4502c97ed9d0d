"""Arithmetic on quotas, and how allocations of quota to shards are stored."""

from badgerroute.coordination.quotas.quota_allocation import QuotaAllocation, TeamAllocations, available_part
from badgerroute.scheduling.resources import Resources
from badgerroute.storage import records
from badgerroute.storage.records import QuotaRecord

STORED = b'{"shares":{"0":[12.0,0.5],"1":[4.0,0.0]}}'


def test_stored_form_is_two_numbers_per_shard() -> None:
    allocations = TeamAllocations(records.read(STORED, QuotaRecord))
    assert allocations.of_shard(0) == QuotaAllocation(12.0, 0.5)
    assert allocations.of_shard(7) == QuotaAllocation(0.0, 0.0)
    assert bytes(records.write(allocations.record())) == STORED


def test_replaced_allocations_are_rounded_and_leave_the_others_and_the_original() -> None:
    before = TeamAllocations(records.read(STORED, QuotaRecord))
    after = before.replaced({0: QuotaAllocation(1.00000049, 0.0), 2: QuotaAllocation(2.0, 3.0)})
    assert bytes(records.write(after.record())) == b'{"shares":{"0":[1.0,0.0],"1":[4.0,0.0],"2":[2.0,3.0]}}'
    assert bytes(records.write(before.record())) == STORED
    assert after.total() == QuotaAllocation(7.0, 3.0)


def test_limits_hold_for_both_kinds_with_rounding_errors_aside() -> None:
    limit = QuotaAllocation(10.0, 2.0)
    assert not QuotaAllocation(10.0 + 1e-7, 2.0).exceeds(limit)
    assert QuotaAllocation(10.1, 0.0).exceeds(limit)
    assert QuotaAllocation(0.0, 2.1).exceeds(limit)
    assert QuotaAllocation(1.0, 1.0).covers(Resources(1.0, 1.0))
    assert not QuotaAllocation(1.0, 0.0).covers(Resources(1.0, 1.0))


def test_available_part_is_never_negative() -> None:
    assert available_part(Resources(4.0, 2.0), Resources(3.0, -1.0)) == QuotaAllocation(3.0, 0.0)
    assert available_part(Resources(4.0, -2.0), Resources(9.0, 1.0)) == QuotaAllocation(4.0, 0.0)
