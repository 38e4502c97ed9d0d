"""Unit tests of failure detection, connectivity modes, flap damping, relay routes, transfer targets and forwarding.

Other tests check that the code of the controllers does not bypass `ActionPolicy`, which decides on each action.
"""

import ast
import itertools
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path
from types import SimpleNamespace

import pytest

import badgerroute
from badgerroute.connectivity.damping import FlapDamping
from badgerroute.connectivity.failure_detector import PEER_TIMEOUT, STORE_TIMEOUT, FailureDetector
from badgerroute.connectivity.mode_machine import ModeMachine
from badgerroute.connectivity.modes import PERMISSIONS, Action, Mode, Permission, Reachability, mode_of
from badgerroute.connectivity.process_pause import PauseDetector
from badgerroute.connectivity.relay_routes import REDIRECT_FAILURE_WINDOW, ROUTE_TTL, RelayRoutes, Route
from badgerroute.connectivity.transfer_target import TransferCandidate, choose_transfer_target
from badgerroute.connectivity.worker_link import PROBATION, WorkerLink
from badgerroute.coordination.leadership.action_policy import ActionPolicy
from badgerroute.coordination.membership.forwarding import RequestForwarder
from badgerroute.protocol.mesh import ForwardedRequest, ForwardedResponse
from badgerroute.settings import load_operator
from badgerroute.transport.clock import VirtualClock
from badgerroute.transport.http import Request, Response
from badgerroute.transport.loop import Loop, TaskGroup, VirtualPoller

SECOND = timedelta(seconds=1)
PACKAGE = Path(badgerroute.__file__).parent


# -- failure detector and process pauses


@pytest.mark.parametrize(
    ("interval", "jitter", "timeout"),
    [
        # All values are in seconds. None: the timeout must exceed the minimum of 3 s, but not the maximum.
        (0.5, 0.0, 3.0),  # regular heartbeats: the timeout is the minimum
        (0.5, 0.3, 3.0),
        (2.0, 0.0, 3.0),
        (2.0, 1.0, None),  # for irregular heartbeats, the timeout exceeds the minimum
        (2.9, 0.1, None),
    ],
)
def test_patience_follows_the_delays_that_were_seen(interval: float, jitter: float, timeout: float | None) -> None:
    link, now = FailureDetector(PEER_TIMEOUT, 0 * SECOND), 0 * SECOND
    for step in range(60):
        now += (interval + (jitter if step % 2 else -jitter)) * SECOND
        link.record_heartbeat(now)
    if timeout is None:
        assert PEER_TIMEOUT.minimum < link.timeout <= PEER_TIMEOUT.maximum
    else:
        assert link.timeout == timeout * SECOND
    assert not link.suspected(now + link.timeout - SECOND / 100)
    assert link.suspected(now + link.timeout)
    dead_at = now + PEER_TIMEOUT.maximum
    assert not link.presumed_dead(dead_at - SECOND / 100) and link.presumed_dead(dead_at)


def test_a_cut_does_not_make_the_next_go_unnoticed() -> None:
    link = FailureDetector(STORE_TIMEOUT, 0 * SECOND)
    for now in (1, 2, 3, 40, 41, 42, 80, 81, 82, 83, 84):
        link.record_heartbeat(now * SECOND)
    assert link.timeout <= STORE_TIMEOUT.maximum and link.suspected(90 * SECOND)


def test_signs_of_life_that_come_late_change_nothing() -> None:
    link = FailureDetector(PEER_TIMEOUT, 0 * SECOND)
    link.record_heartbeat(5 * SECOND)
    link.record_heartbeat(4 * SECOND)
    assert link.heartbeat_age(6 * SECOND) == SECOND


def test_a_pause_of_our_own_is_nobody_elses_silence() -> None:
    detector, link = PauseDetector(SECOND / 4, 0 * SECOND), FailureDetector(PEER_TIMEOUT, 0 * SECOND)
    link.record_heartbeat(10 * SECOND)
    assert detector.tick(SECOND / 4) == 0 * SECOND
    for step in range(2, 41):
        assert detector.tick(step * SECOND / 4) == 0 * SECOND
    pause = detector.tick(18 * SECOND)
    assert pause == 7.75 * SECOND and detector.resumed_at == 18 * SECOND
    assert link.suspected(18 * SECOND)
    link.discount_pause(pause, 18 * SECOND)
    assert not link.suspected(18 * SECOND)


# -- damping


def test_damping_grows_is_bounded_and_decays() -> None:
    damping = FlapDamping(4 * SECOND, 60 * SECOND, 30 * SECOND)
    assert damping.delay(0 * SECOND) == 4 * SECOND
    damping.record_loss(SECOND)
    assert damping.delay(SECOND) == 4 * SECOND, "after one loss, the delay is still the base delay"
    delays = []
    for step in range(12):
        damping.record_loss((2 + step) * SECOND)
        delays.append(damping.delay((2 + step) * SECOND))
    assert delays == sorted(delays) and delays[-1] == 60 * SECOND
    decayed_delays = [damping.delay((13 + 30 * step) * SECOND) for step in range(8)]
    assert decayed_delays == sorted(decayed_delays, reverse=True) and decayed_delays[-1] == 4 * SECOND
    assert damping.delay(10_000_000 * SECOND) == 4 * SECOND


# -- modes

GOOD = Reachability(store=True, workers=True, peers=True, peer_with_store=True)


@pytest.mark.parametrize(
    ("store", "workers", "peers", "peer_with_store", "mode"),
    [
        (True, True, True, True, Mode.SERVING),
        (True, True, False, False, Mode.SERVING),
        (True, False, True, True, Mode.WORKERS_UNREACHABLE),
        (True, False, False, False, Mode.WORKERS_UNREACHABLE),
        (False, True, True, True, Mode.STORE_UNREACHABLE),
        (False, True, False, False, Mode.STORE_UNREACHABLE),
        (False, True, True, False, Mode.OUTAGE),
        (False, False, True, False, Mode.OUTAGE),
        (False, False, True, True, Mode.ISOLATED),
        (False, False, False, False, Mode.ISOLATED),
    ],
)
def test_mode_follows_what_is_reached(
    store: bool, workers: bool, peers: bool, peer_with_store: bool, mode: Mode
) -> None:
    reachable = Reachability(store, workers, peers, peer_with_store)
    assert mode_of(reachable, stable=True) is mode
    unstable = mode_of(reachable, stable=False)
    assert unstable is (Mode.RECOVERING if mode is Mode.SERVING else mode)


WORKERS_UNREACHABLE = Reachability(True, False, True, True)
STORE_UNREACHABLE = Reachability(False, True, True, True)
OUTAGE = Reachability(False, True, True, False)
NO_WORKERS, NO_STORE = Mode.WORKERS_UNREACHABLE, Mode.STORE_UNREACHABLE
SERVING, RECOVERING = Mode.SERVING, Mode.RECOVERING


@pytest.mark.parametrize(
    ("steps", "modes"),
    [
        ([(0, GOOD), (9, GOOD)], [SERVING, SERVING]),
        ([(0, WORKERS_UNREACHABLE), (5, GOOD), (8, GOOD), (9, GOOD)], [NO_WORKERS, *[RECOVERING] * 2, SERVING]),
        ([(0, STORE_UNREACHABLE), (1, GOOD), (5, GOOD)], [NO_STORE, RECOVERING, SERVING]),
        # RECOVERING delays the return of shards that peers took over while a link was lost. In an outage, no peer
        # reaches the store, so no peer takes over a shard. SERVING therefore follows without RECOVERING.
        ([(0, OUTAGE), (5, GOOD)], [Mode.OUTAGE, SERVING]),
        ([(0, STORE_UNREACHABLE), (1, WORKERS_UNREACHABLE), (2, GOOD), (6, GOOD)],
         [NO_STORE, NO_WORKERS, RECOVERING, SERVING]),
        # The second loss within a few seconds doubles the time in RECOVERING.
        ([(0, WORKERS_UNREACHABLE), (1, GOOD), (2, WORKERS_UNREACHABLE), (3, GOOD), (8, GOOD), (12, GOOD)],
         [NO_WORKERS, RECOVERING, NO_WORKERS, RECOVERING, RECOVERING, SERVING]),
    ],
)  # fmt: skip
def test_modes_over_time(steps: list[tuple[float, Reachability]], modes: list[Mode]) -> None:
    machine = ModeMachine(FlapDamping(4 * SECOND, 60 * SECOND, 30 * SECOND))
    seen = []
    for second, reachable in steps:
        before = machine.mode
        change = machine.update(reachable, second * SECOND)
        assert (change is None) == (machine.mode is before)
        assert change is None or (change.before, change.after, bool(change.cause.value)) == (before, machine.mode, True)
        seen.append(machine.mode)
    assert seen == modes


def test_the_table_says_something_of_every_action_in_every_mode() -> None:
    assert set(PERMISSIONS) == set(Mode)
    assert all(set(row) == set(Action) for row in PERMISSIONS.values())


WRITES = {
    *(Action.ACCEPT, Action.CANCEL, Action.STEAL, Action.GIVE_WORK, Action.MOVE_QUOTA, Action.TRANSFER_MACHINES),
    *(Action.ADD_MEMBER, Action.CLEAN_UP, Action.TRANSFER_SHARD, Action.RECEIVE_SHARD),
}


@pytest.mark.parametrize("mode", [Mode.STORE_UNREACHABLE, Mode.ISOLATED, Mode.OUTAGE])
def test_what_needs_a_write_is_not_begun_without_the_state_service(mode: Mode) -> None:
    assert {action for action in WRITES if PERMISSIONS[mode][action] is not Permission.REFUSED} == set()


@pytest.mark.parametrize("mode", Mode)
def test_nothing_that_safety_bounds_is_unbounded(mode: Mode) -> None:
    """In every mode, the safety rules limit actions for a shard and deletions of machines.

    Each of the actions for a shard is refused, or is allowed only during the grace period after leadership was last
    confirmed. Deleting a machine is allowed only while the lease can't have expired since that confirmation.
    """
    bounded = {
        Action.ANSWER_HEARTBEAT: {Permission.WITHIN_GRACE},
        Action.START: {Permission.WITHIN_GRACE, Permission.REFUSED},
        Action.STOP: {Permission.WITHIN_GRACE},
        Action.GIVE_WORK: {Permission.WITHIN_GRACE, Permission.REFUSED},
        Action.MOVE_QUOTA: {Permission.WITHIN_GRACE, Permission.REFUSED},
        Action.TRANSFER_MACHINES: {Permission.WITHIN_GRACE, Permission.REFUSED},
        Action.DELETE: {Permission.WHILE_CERTAIN},
    }
    for action, permissions in bounded.items():
        assert PERMISSIONS[mode][action] in permissions, action


class _LeadershipState:
    def __init__(self, within_grace: bool, lease_surely_valid: bool) -> None:
        self.leaderships = {1: None}
        self._within_grace, self._lease_surely_valid = within_grace, lease_surely_valid

    def within_grace(self) -> bool:
        return self._within_grace

    def lease_surely_valid(self) -> bool:
        return self._lease_surely_valid


@pytest.mark.parametrize(("within_grace", "lease_surely_valid"), [(True, True), (True, False), (False, False)])
def test_the_policy_reads_the_table(within_grace: bool, lease_surely_valid: bool) -> None:
    for mode, action in itertools.product(Mode, Action):
        state, mode_machine = _LeadershipState(within_grace, lease_surely_valid), SimpleNamespace(mode=mode)
        policy = ActionPolicy(state, mode_machine)  # type: ignore[arg-type]
        expected = {
            Permission.ALLOWED: True,
            Permission.RELUCTANT: True,
            Permission.WITHIN_GRACE: within_grace,
            Permission.WHILE_CERTAIN: lease_surely_valid,
            Permission.FROM_MEMORY: False,
            Permission.REFUSED: False,
        }[PERMISSIONS[mode][action]]
        assert policy.allows(action) == policy.allows_for(1, action) == expected
        assert not policy.allows_for(0, action), "this controller does not lead shard 0"


def attribute_uses(names: set[str]) -> dict[str, set[str]]:
    """Return the modules of coordination/ and rebalancing/ that use each of these attribute names."""
    uses: dict[str, set[str]] = {}
    for path in [*(PACKAGE / "coordination").rglob("*.py"), *(PACKAGE / "rebalancing").glob("*.py")]:
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Attribute) and node.attr in names:
                uses.setdefault(node.attr, set()).add(path.relative_to(PACKAGE).as_posix())
    return uses


def test_no_action_goes_round_the_policy() -> None:
    """Only the action policy checks the grace period and the lease. The controllers use every member of `Action`."""
    policy, state = "coordination/leadership/action_policy.py", "coordination/leadership/leadership_state.py"
    checks = attribute_uses({"within_grace", "lease_surely_valid", "may_lead"})
    assert set().union(*checks.values()) <= {policy, state}
    assert set(attribute_uses({action.name for action in Action})) == {action.name for action in Action}


# -- link to the workers


def test_workers_are_lost_only_if_peers_hear_them() -> None:
    link = WorkerLink()
    link.update({0: 8}, 0 * SECOND)
    assert not link.lost, "overdue heartbeats alone do not show a lost link: the machines might have failed"
    link.record_peer_heartbeat(0, "host-1", "b", SECOND, relayed=True)
    link.update({0: 8}, SECOND)
    assert not link.lost, "one machine that reports to a peer does not show a lost link"
    link.record_peer_heartbeat(0, "host-2", "c", SECOND, relayed=False)
    link.update({0: 8}, SECOND)
    assert link.lost and link.lost_for(3 * SECOND) == 2 * SECOND
    assert link.machines_by_peer(0, 2 * SECOND) == {"b": 1, "c": 1}
    assert not link.shard_suspected(0, 8, SECOND, unrelayed_only=True) and link.shard_suspected(0, 8, SECOND)
    assert link.machines_by_peer(0, 9 * SECOND) == {}, "records of the heartbeats that peers received expire"
    link.update({0: 0}, 9 * SECOND)
    assert not link.lost


def test_an_answer_gives_workers_time_to_come_back() -> None:
    link = WorkerLink()

    def report_to_peer(now: timedelta) -> None:
        for machine in ("host-1", "host-2"):
            link.record_peer_heartbeat(0, machine, "b", now, relayed=True)
        link.update({0: 2}, now)

    report_to_peer(SECOND)
    assert link.lost
    link.record_machine_reached(2 * SECOND)
    assert not link.lost
    report_to_peer(3 * SECOND)
    assert not link.lost, "after a response, the link counts as up until its probation ends"
    report_to_peer(2 * SECOND + PROBATION)
    assert link.lost, "the link is lost again: after its probation, the machines still report to a peer"
    link.update({}, 20 * SECOND)
    assert link.lost, "a controller without shards gets no heartbeats that could show that the link works again"


# -- routes

RELAY, REDIRECT = Route.RELAY, Route.REDIRECT


@pytest.mark.parametrize(
    "steps",
    [
        # Each step: time in seconds, whether the workers are known not to reach the leader, whether the heartbeat lists
        # tasks, and the expected route (None: either route is right).
        [(0, False, False, REDIRECT)],
        [(0, False, True, RELAY), (1, False, True, REDIRECT)],  # with tasks, the first heartbeat is relayed
        [(0, True, True, RELAY), (1, True, True, RELAY), (500, True, True, RELAY)],
        # The machine sends a heartbeat here again 6 s after each redirect, so it can't have reached its leader. It is
        # redirected again after a delay, which doubles each time.
        [(0, False, False, REDIRECT), (6, False, True, RELAY), (15, False, True, RELAY), (16, False, True, REDIRECT),
         (22, False, True, RELAY), (41, False, True, RELAY), (42, False, True, REDIRECT)],
        # A machine that comes back only after REDIRECT_FAILURE_WINDOW might have reached its leader in the meantime, so
        # it is redirected immediately.
        [(0, False, False, REDIRECT), (REDIRECT_FAILURE_WINDOW / SECOND, False, False, REDIRECT)],
        # Once workers can reach the leader again, redirects are spread over 4 s. In the middle of this period, either
        # route is right. The machine comes back 5 s after its redirect, so it can't reach the leader yet.
        [(0, True, True, RELAY), (5, False, True, None), (9, False, True, REDIRECT), (14, False, True, RELAY),
         (15, False, True, RELAY)],
    ],
)  # fmt: skip
def test_routes(steps: list[tuple[float, bool, bool, Route | None]]) -> None:
    routes = RelayRoutes()
    for second, workers_unreachable, busy, expected in steps:
        route = routes.decide("host-000001", "a", workers_unreachable, busy, (100 + second) * SECOND)
        assert expected in (None, route), second


def test_machines_go_back_a_few_at_a_time() -> None:
    routes = RelayRoutes()
    machines = [f"host-{number:06d}" for number in range(200)]
    for machine in machines:
        assert routes.decide(machine, "a", True, True, 10 * SECOND) is RELAY
    redirects_per_second = []
    for step in range(8):
        now = (11 + step) * SECOND
        relayed = [machine for machine in machines if routes.decide(machine, "a", False, True, now) is RELAY]
        redirects_per_second.append(len(machines) - len(relayed))
        machines = relayed
    assert sum(redirects_per_second) == 200 and max(redirects_per_second) <= 110


def test_routes_of_machines_that_went_away_are_forgotten() -> None:
    routes = RelayRoutes()
    for number in range(4000):
        routes.decide(f"host-{number:06d}", "a", False, True, number * SECOND / 100)
    assert len(routes) == 4000
    routes.decide("host-x", "a", False, True, 3 * ROUTE_TTL)
    assert len(routes) == 1


# -- leadership transfer


@pytest.mark.parametrize(
    ("candidates", "chosen"),
    [
        ([], None),
        ([TransferCandidate("b", 0, 5)], None),
        ([TransferCandidate("b", 4, 50), TransferCandidate("c", 3, 10)], "c"),  # c leads fewer machines than b
        # c leads fewer machines, but fewer than half as many machines report to it as to b.
        ([TransferCandidate("b", 9, 50), TransferCandidate("c", 3, 10)], "b"),
        ([TransferCandidate("b", 4, 10), TransferCandidate("c", 5, 10)], "c"),  # equal load; more report to c
        ([TransferCandidate("c", 4, 10), TransferCandidate("b", 4, 10)], "b"),  # both equal, so the first by name
    ],
)
def test_receiver_of_a_shard(candidates: list[TransferCandidate], chosen: str | None) -> None:
    receiver = choose_transfer_target(candidates, 20)
    assert (receiver.host if receiver else None) == chosen


# -- settings


def test_the_deploy_files_are_good() -> None:
    native = load_operator(str(PACKAGE.parent / "deploy" / "connectivity.hcl"))
    assert native.connectivity.relay
    assert load_operator(str(PACKAGE.parent / "deploy" / "connectivity.hcl.json")) == native


# -- forwarding


class _ForwarderPair:
    """Two forwarders, `near` on host b and `far` on host a. The test itself delivers the messages between them."""

    def __init__(self, max_concurrent: int = 8) -> None:
        clock = VirtualClock()
        self.loop = Loop(clock, VirtualPoller(clock))
        self.group = TaskGroup(self.loop, "ends")
        self.sent: list[tuple[str, object]] = []
        self.handled: list[bytes] = []
        self.near = RequestForwarder(self.loop, self.group, "b", max_concurrent, 7, self._record_sent)
        self.far = RequestForwarder(self.loop, self.group, "a", max_concurrent, 7, self._record_sent)

    def _record_sent(self, target: str, message: object) -> None:
        self.sent.append((target, message))

    async def _handle(self, request: Request, relay: str) -> Response:
        self.handled.append(request.body)
        return Response(200, relay.encode() + b":" + request.body)

    def forward(self, deliver: Callable[[ForwardedRequest], None], timeout_s: float = 1.0) -> Response | None:
        routine = self.loop.spawn(
            self.near.forward("a", Request("POST", "/checkin", "", b"x"), timeout_s * SECOND), "f"
        )
        self.loop.run(self.loop.spawn(self.loop.sleep(SECOND / 10), "wait"))
        _, request = self.sent.pop()
        assert isinstance(request, ForwardedRequest)
        deliver(request)
        return self.loop.run(routine)

    def answers(self) -> list[ForwardedResponse]:
        self.loop.run(self.loop.spawn(self.loop.sleep(SECOND / 10), "wait"))
        return [message for _, message in self.sent if isinstance(message, ForwardedResponse)]


def test_an_answer_counts_once_in_time_and_from_whom_was_asked() -> None:
    pair = _ForwarderPair()

    def deliver(request: ForwardedRequest) -> None:
        pair.far.on_request(request, pair._handle)
        (answer,) = pair.answers()
        pair.near.on_response(ForwardedResponse("c", answer.number, 200, b"from another"))
        pair.near.on_response(ForwardedResponse("a", answer.number + 1, 200, b"to another"))
        pair.near.on_response(answer)
        pair.near.on_response(ForwardedResponse("a", answer.number, 200, b"again"))

    response = pair.forward(deliver)
    assert response is not None and (response.status, response.body) == (200, b"b:x")


def test_an_answer_that_comes_late_is_nobodys() -> None:
    pair, requests = _ForwarderPair(), []
    assert pair.forward(requests.append, timeout_s=0.5) is None
    pair.far.on_request(requests[0], pair._handle)
    (answer,) = pair.answers()
    pair.near.on_response(answer)  # a response that arrives after its request timed out is ignored
    second_response = pair.forward(lambda request: None, timeout_s=0.2)
    assert second_response is None, "the late response is not taken for the response to a new request"


def test_requests_on_their_way_are_bounded() -> None:
    pair = _ForwarderPair(max_concurrent=2)
    requests = [pair.near.forward("a", Request("GET", "/v1/jobs/run-1", "", b""), SECOND) for _ in range(3)]
    routines = [pair.loop.spawn(request, "forward") for request in requests]
    assert [pair.loop.run(routine) for routine in routines] == [None, None, None]
    assert len(pair.sent) == 2 and pair.near.dropped_requests == 1
    for number in range(5):
        pair.far.on_request(ForwardedRequest("b", number, "GET", "/up", b""), pair._handle)
    pair.answers()
    assert len(pair.handled) == 2 and pair.far.dropped_requests == 3
