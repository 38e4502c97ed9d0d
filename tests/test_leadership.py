"""Leadership of shards: terms that can't be raised, the condition of a leader's writes, notifications of changes."""

import pytest

from badgerroute.coordination.controller import Controller
from badgerroute.coordination.leadership.leader_election import ClaimFailure, LeadershipNotGainedError
from badgerroute.coordination.leadership.leadership_state import Leadership, NotLeaderError
from badgerroute.storage.operations import compare
from tests.standins.day import HOSTS, Day


def elected_controller() -> tuple[Day, Controller]:
    """Return a simulated run and a controller in it that leads its home shard, 0."""
    day = Day(seed=3)
    day.run(5)
    controller = day.controllers[HOSTS[0]][0]
    assert 0 in controller.leadership_state.leaderships and 1 not in controller.leadership_state.leaderships
    return day, controller


def raise_term(day: Day, controller: Controller, shard: int) -> int:
    return day.loop.run(day.loop.spawn(controller.leadership.election.raise_term(shard), "raise"))


def test_a_raised_term_is_higher_and_is_what_writes_are_conditional_on() -> None:
    day, controller = elected_controller()
    before = controller.leadership_state.leaderships[0].term
    term = raise_term(day, controller, 0)
    assert term > before and controller.leadership_state.leaderships[0].term == term
    assert controller.leadership_state.leadership_condition(0) == compare("b/parts/0", term)


@pytest.mark.parametrize(
    ("shard", "pending", "lease", "reason"),
    [
        (1, False, True, ClaimFailure.NOT_LEADER),
        (0, True, True, ClaimFailure.WRITE_PENDING),
        (0, False, False, ClaimFailure.NO_LEASE),
    ],
)
def test_a_term_is_not_raised_without_the_right_to_write(
    shard: int, pending: bool, lease: bool, reason: ClaimFailure
) -> None:
    day, controller = elected_controller()
    before = dict(controller.leadership_state.leaderships)
    if pending:
        controller.leadership.records.pending_writes.add(shard)
    if not lease:
        controller.leadership_state.lease = None
    with pytest.raises(LeadershipNotGainedError) as caught:
        raise_term(day, controller, shard)
    assert (caught.value.shard, caught.value.reason) == (shard, reason)
    assert controller.leadership_state.leaderships == before


def test_a_term_is_not_raised_if_another_wrote_before() -> None:
    day, controller = elected_controller()
    day.store.revision += 1
    record, _, lease = day.store.items["b/parts/0"]
    # Changes the value without an entry in the store's log, so the controller's watch does not deliver the change.
    day.store.items["b/parts/0"] = (record, day.store.revision, lease)
    with pytest.raises(LeadershipNotGainedError) as caught:
        raise_term(day, controller, 0)
    assert caught.value.reason is ClaimFailure.COMPARE_FAILED
    assert not controller.leadership.records.pending_writes


def test_a_shard_that_is_not_led_has_no_condition() -> None:
    _, controller = elected_controller()
    with pytest.raises(NotLeaderError) as caught:
        controller.leadership_state.leadership_condition(1)
    assert caught.value.shard == 1


def test_a_listener_is_notified_of_each_change_once() -> None:
    day, controller = elected_controller()
    events: list[tuple[str, int]] = []

    class Listener:
        def elected(self, shard: int, leadership: Leadership) -> None:
            events.append(("elected", shard))

        def deposed(self, shard: int) -> None:
            events.append(("deposed", shard))

    state = controller.leadership_state
    state.register(Listener())
    state.step_down(0)
    state.step_down(0)
    state.leaderships[0] = Leadership(99, controller.settings.grace)
    state.notify_elected(0)
    state.clear_lease()
    assert events == [("deposed", 0), ("elected", 0), ("deposed", 0)]
    assert state.lease is None and not state.leaderships and not state.within_grace()
    day.run(0.1)  # time for the background tasks of the shard, which was led only briefly, to end
