"""Half-open network cuts in simulated runs of a whole cluster: some links fail, or only one direction of a link.

Every accepted job must end with exactly one final answer to its user, whichever links fail.
"""

import logging
from collections.abc import Callable, Iterator
from datetime import timedelta

import pytest

from badgerroute.coordination.controller import Controller
from badgerroute.coordination.membership import connectivity_monitor
from badgerroute.coordination.membership.forwarding import Handler
from badgerroute.coordination.requests.heartbeat_handler import HeartbeatHandler
from badgerroute.protocol.mesh import ForwardedRequest, ForwardedResponse
from badgerroute.settings import Connectivity, OperatorSettings
from badgerroute.transport.http import Request, Response
from tests.standins.cuts import CutCounts, CutWatch, between, flap, from_store, from_workers, hold, workload
from tests.standins.day import HOSTS, SECOND, Day, job

RELAYING = OperatorSettings(connectivity=Connectivity(relay=True))
SEEDS = [1, 2]
FLAPS = [
    (1, 1),
    (3, 2),
    (7, 1),
    (7, 2),
]  # (seconds of each cut and each pause, seed); tools/connectivity_measurement.py runs more
LEASE_S = 11  # a simulated worker kills its tasks if no heartbeat was answered for this long
Fault = Callable[[Day], None]


def cluster(seed: int, operator: OperatorSettings = RELAYING, **changes: object) -> Day:
    day = Day(seed, machines=12, capacity=2, operator=operator, **changes)  # type: ignore[arg-type]
    workload(day)
    return day


def play(day: Day, fault: Fault) -> CutCounts:
    """Inject a fault while a workload runs, let all jobs end, and check that no rule was broken; return the counts."""
    watch = CutWatch(day)
    fault(day)
    counts = watch.end()
    assert day.finish(300) == []
    assert day.rules.broken == []
    assert day.history_problems() == []
    return counts


def pick(day: Day) -> str:
    return day.random.choice(HOSTS)


def others(host: str) -> list[str]:
    return [other for other in HOSTS if other != host]


# -- Flapping


def flapping_workers(seconds: float, mode: str) -> Fault:
    return lambda day: flap(day, from_workers(day, [pick(day)], mode), seconds, max(4, int(20 / seconds)))


def flapping_store(seconds: float, mode: str) -> Fault:
    return lambda day: flap(day, from_store(day, [pick(day)], mode), seconds, max(4, int(20 / seconds)))


@pytest.mark.parametrize(("seconds", "seed"), FLAPS)
@pytest.mark.parametrize("mode", ["reset", "hold", "one_way"])
def test_flapping_worker_links_move_no_shard_about(seconds: float, mode: str, seed: int) -> None:
    counts = play(cluster(seed), flapping_workers(seconds, mode))
    assert counts.hand_overs <= 2, "at most two leadership transfers in total, however many cuts there are"
    assert counts.killed_by_lease == []
    assert counts.shard_seconds_without_leader <= 2


@pytest.mark.parametrize(("seconds", "seed"), FLAPS)
@pytest.mark.parametrize("mode", ["refuse", "reset", "hold"])
def test_flapping_links_to_the_state_service(seconds: float, mode: str, seed: int) -> None:
    counts = play(cluster(seed), flapping_store(seconds, mode))
    assert counts.hand_overs <= 2
    assert counts.killed_by_lease == []
    assert 20 * counts.users_503 <= counts.users_asked, "a peer answers instead of the controller that is cut off"


def test_damping_delays_the_return_of_a_shard_more_from_cut_to_cut() -> None:
    """Without relays, each cut moves the shard to a peer. The shard returns later after each cut, but within 90 s."""
    day = cluster(3, OperatorSettings())
    day.run(5)
    host = HOSTS[0]
    cut, heal = from_workers(day, [host], "reset")
    return_delays = []
    for _ in range(4):
        cut()
        assert day.run_until(lambda: not day.controllers[host][0].leadership_state.leaderships, 30)
        heal()
        healed_at = day.loop.now()
        assert day.run_until(lambda: bool(day.controllers[host][0].leadership_state.leaderships), 120)
        return_delays.append((day.loop.now() - healed_at) / SECOND)
    assert return_delays[0] < 16 and return_delays[-1] > 1.2 * return_delays[0] and return_delays[-1] < 90, (
        return_delays
    )
    assert day.finish(300) == [] and day.rules.broken == []


# -- A cut that heals at the moment when a peer takes over the shard


def heals_at_election(seconds: float, mode: str) -> Fault:
    def fault(day: Day) -> None:
        hold(day, from_store(day, [pick(day)], mode), seconds)
        day.run(12)

    return fault


def heals_when(reached: Callable[[Day, str, int], bool], mode: str) -> Fault:
    """Cut a controller off from the key-value store, and heal the link as soon as `reached` is true.

    `reached(day, host, shard)` returns whether a peer's takeover of the controller's shard has reached a certain step.
    """

    def fault(day: Day) -> None:
        host = pick(day)
        shard = HOSTS.index(host)
        cut, heal = from_store(day, [host], mode)
        cut()
        end = day.loop.now() + 30 * SECOND
        while not reached(day, host, shard) and day.loop.now() < end:
            day.run(0.02)
        assert reached(day, host, shard)
        heal()
        day.run(12)

    return fault


def new_leaders(day: Day, host: str, shard: int) -> Iterator[Controller]:
    return (
        controller
        for name, (controller, _) in day.controllers.items()
        if name != host and shard in controller.leadership_state.leaderships
    )


def led(day: Day, host: str, shard: int) -> bool:
    return any(True for _ in new_leaders(day, host, shard))


def ready(day: Day, host: str, shard: int) -> bool:
    return any(
        shard in controller.leaders and controller.leaders[shard].ready for controller in new_leaders(day, host, shard)
    )


def reconciled(day: Day, host: str, shard: int) -> bool:
    return any(
        shard in controller.leaders and controller.leaders[shard].shard.reconciled
        for controller in new_leaders(day, host, shard)
    )


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    "fault",
    [
        *(pytest.param(heals_at_election(at, "hold"), id=f"after-{at}") for at in (3.6, 3.9, 4.1, 4.4, 5.0)),
        *(
            pytest.param(heals_when(reached, mode), id=f"{reached.__name__}-{mode}")
            for reached in (led, ready, reconciled)
            for mode in ("hold", "refuse")
        ),
    ],
)
def test_a_cut_that_heals_as_a_peer_takes_over(fault: Fault, seed: int) -> None:
    counts = play(cluster(seed), fault)
    assert counts.killed_by_lease == []


# -- Several controllers at once


def opposite(seconds: float, mode: str) -> Fault:
    """Cut one controller off from the key-value store, and the other two from the workers."""

    def fault(day: Day) -> None:
        host = pick(day)
        cut, heal = from_workers(day, others(host), mode)
        cut()
        hold(day, from_store(day, [host], mode), seconds)
        heal()

    return fault


@pytest.mark.parametrize("seed", [*SEEDS, 3])
@pytest.mark.parametrize("mode", ["hold", "reset"])
def test_two_controllers_half_open_in_opposite_ways(mode: str, seed: int) -> None:
    day = cluster(seed)
    counts = play(day, opposite(40, mode))
    # If connections hang, a worker's requests to two controllers time out, after 5 s each, before it tries the one that
    # it can reach. For some workers this takes longer than their lease of 11 s, so tasks may be killed in the first
    # 13 s. Once a worker has received a response, its tasks must not be killed.
    assert [time for time in counts.killed_by_lease if mode == "reset" or time > LEASE_S + 2] == []
    assert counts.relayed > 100
    assert counts.users_503 <= 2


def test_without_relays_the_opposite_cuts_kill_tasks() -> None:
    """Without relays the workers' leases expire, which shows that the previous test depends on the relays."""
    day = cluster(1, OperatorSettings())
    watch = CutWatch(day)
    opposite(40, "hold")(day)
    assert len(watch.end().killed_by_lease) > 10


def one_after_the_other(day: Day) -> None:
    """Cut the controllers off from the workers in turn. Each cut heals only after the next one has begun."""
    links = [from_workers(day, [host], "reset") for host in HOSTS]
    for turn in range(6):
        links[turn % 3][0]()
        day.run(6)
        links[(turn - 1) % 3][1]()
        day.run(4)
    for link in links:
        link[1]()


def all_unheard(day: Day) -> None:
    """Cut all controllers off from the workers for 9 s, less than a lease; connections hang."""
    hold(day, from_workers(day, HOSTS, "hold"), 9)


def all_unheard_for_long(day: Day) -> None:
    """Cut all controllers off from the workers for 25 s, longer than a lease; connections are reset."""
    hold(day, from_workers(day, HOSTS, "reset"), 25)


def zone_cut_off(day: Day) -> None:
    """Cut a zone off from everything outside. The controller in the zone reaches only the workers of the zone."""
    host = pick(day)
    inside = [host, *(name for name, worker in day.site.workers.items() if worker.zone == "a")]
    outside = [name for name in (*HOSTS, *day.site.workers, "cloud", f"state-{host}") if name not in inside]
    hold(day, between(day, inside, outside, "hold"), 30)


def isolated(day: Day) -> None:
    """Cut one controller off from everything: its peers, the workers, the key-value store and the cloud."""
    host = pick(day)
    everything = [*others(host), *day.site.workers, f"state-{host}", "cloud"]
    hold(day, between(day, [host], everything, "hold"), 30)


def relay_ends_in_mid_answer(day: Day) -> None:
    """Restart each controller that relays heartbeats, while responses of the leader pass through it."""
    host = pick(day)
    cut, heal = from_workers(day, [host], "hold")
    cut()
    day.run(8)
    for relay in others(host):
        day.restart(relay, SECOND / 2)
        day.run(7)
    heal()


def paused_leader(day: Day) -> None:
    """Pause a leader that receives relayed heartbeats. When it resumes, another controller leads its shard."""
    host = pick(day)
    cut, heal = from_workers(day, [host], "hold")
    cut()
    day.run(8)
    day.loop.pause_host(host, 14)
    day.run(18)
    heal()


def paused_relay(day: Day) -> None:
    """Pause, one after the other, the controllers that relay heartbeats to a leader."""
    host = pick(day)
    cut, heal = from_workers(day, [host], "reset")
    cut()
    day.run(8)
    for relay in others(host):
        day.loop.pause_host(relay, 3)
        day.run(5)
    heal()


def late_hand_over(day: Day) -> None:
    """Transfer shards while half of the transactions to the key-value store are applied late and get no response."""
    day.store.late_write_probability = 0.5
    hold(day, from_workers(day, [pick(day)], "reset"), 20)
    day.store.late_write_probability = 0.0


def lost_hand_over(day: Day) -> None:
    """Lose the response to one store transaction every 3 s, so that a leadership transfer's response gets lost."""
    cut, heal = from_workers(day, [pick(day)], "reset")
    cut()
    for _ in range(6):
        day.store.answers_to_drop = 1
        day.run(3)
    day.store.answers_to_drop = 0
    heal()


def receiver_ends(day: Day) -> None:
    """Restart the controller that a shard is transferred to, before the transfer is complete."""
    host = pick(day)
    cut, heal = from_workers(day, [host], "reset")
    cut()

    def transferred_to() -> str | None:
        value = day.store.items[f"b/parts/{HOSTS.index(host)}"][0]
        return value["owner"] if value.get("handed") else None

    day.run_until(lambda: transferred_to() is not None, 30)
    receiver = transferred_to()
    if receiver is not None and receiver != host:
        day.restart(receiver, 4 * SECOND)
    day.run(12)
    heal()


def teams_at_their_limits(day: Day) -> None:
    """Submit more jobs of two teams than their CPU limits allow to run at once, then inject the fault `opposite`."""
    for number in range(4):
        day.submit(job(f"run-l{number}", heads=30, trek_s=9.0, crew=("blue", "red")[number % 2]))
    opposite(25, "hold")(day)


def cancellations(day: Day) -> None:
    """Cancel jobs at every controller while one of them is cut off from the workers."""
    host = pick(day)
    cut, heal = from_workers(day, [host], "hold")
    cut()
    day.run(7)
    for number in range(3):
        assert day.cancel(f"run-a{number}", host=HOSTS[number]) == "withdrawn"
    day.run(10)
    heal()


def cancellations_in_an_outage(day: Day) -> None:
    """Confirm cancellations, then cut all controllers off from the store for longer than `cancel_s`, the limit."""
    for number in range(3):
        assert day.cancel(f"run-a{number}") == "withdrawn"
    hold(day, from_store(day, HOSTS, "refuse"), 42)


# With `relay_s` of 0, a leader that its workers can't reach transfers its shard without being served by relays first.
NO_RELAY_SERVES = OperatorSettings(connectivity=Connectivity(relay=True, relay_s=0))
MEETINGS: list[tuple[Fault, OperatorSettings]] = [
    (one_after_the_other, RELAYING),
    (all_unheard, RELAYING),
    (all_unheard_for_long, RELAYING),
    (zone_cut_off, RELAYING),
    (isolated, RELAYING),
    (relay_ends_in_mid_answer, RELAYING),
    (paused_leader, RELAYING),
    (paused_relay, RELAYING),
    (late_hand_over, NO_RELAY_SERVES),
    (lost_hand_over, NO_RELAY_SERVES),
    (receiver_ends, NO_RELAY_SERVES),
    (teams_at_their_limits, RELAYING),
    (cancellations, RELAYING),
    (cancellations_in_an_outage, RELAYING),
]


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(("fault", "operator"), [pytest.param(*row, id=row[0].__name__) for row in MEETINGS])
def test_meeting(fault: Fault, operator: OperatorSettings, seed: int) -> None:
    play(cluster(seed, operator), fault)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("older", [HOSTS[:1], HOSTS[1:], HOSTS[2:]], ids=["owner", "relays", "one_relay"])
def test_beside_the_version_in_production(older: list[str], seed: int) -> None:
    """A peer that runs the version in production neither relays heartbeats nor accepts relayed ones.

    A leader that lost the link to its workers must then transfer its shard to a peer that the workers report to.
    """
    day = cluster(seed, production_hosts=older)

    def fault(day: Day) -> None:
        hold(day, from_workers(day, HOSTS[:1], "reset"), 25)
        day.run(8)
        hold(day, from_store(day, HOSTS[1:2], "refuse"), 12)

    play(day, fault)


# -- After the maximum time of relaying, a shard is transferred to a peer that its workers can reach


def test_a_cut_that_lasts_transfers_the_shard_once() -> None:
    operator = OperatorSettings(connectivity=Connectivity(relay=True, relay_s=15))
    day = cluster(5, operator)
    counts = play(day, lambda day: hold(day, from_workers(day, HOSTS[:1], "hold"), 60))
    assert counts.hand_overs == 1 and counts.relayed > 30 and counts.killed_by_lease == []
    assert day.run_until(lambda: day.controllers[HOSTS[0]][0].leadership_state.leaderships != {}, 60), (
        "after the cut, the shard's home controller leads it again"
    )


def test_shards_of_a_controller_without_workers_go_to_different_peers() -> None:
    """A controller that leads two shards but can't reach workers does not transfer both to the same peer.

    Peers that lead fewer machines are preferred, so a peer that leads no shard must get one.
    """
    day = cluster(6, NO_RELAY_SERVES)
    day.restart(HOSTS[1], 30 * SECOND)
    assert day.run_until(
        lambda: sum(len(controller.leadership_state.leaderships) for controller, _ in day.controllers.values()) == 3, 20
    )
    busy = max(day.controllers, key=lambda host: len(day.controllers[host][0].leadership_state.leaderships))
    idle = next(host for host in day.controllers if host != busy)
    day.run(12)
    hold(day, from_workers(day, [busy], "reset"), 14)
    assert day.controllers[idle][0].leadership_state.leaderships, idle
    day.run(30)
    assert day.finish(300) == [] and day.rules.broken == []


@pytest.mark.parametrize("seed", [*SEEDS, 3])
@pytest.mark.parametrize("fault", ["refused", "crashed", "frozen"])
def test_a_new_leader_whose_machines_have_yet_to_come_reaches_its_workers(fault: str, seed: int) -> None:
    """For some seconds after a takeover, workers still send heartbeats to the former leader, which may relay them.

    The new leader must not conclude that its link to the workers is lost.
    """
    day = cluster(seed)
    host = pick(day)

    def lose(day: Day) -> None:
        if fault == "refused":
            hold(day, from_store(day, [host], "refuse"), 14)
        elif fault == "crashed":
            day.restart(host, 14 * SECOND)
        else:
            day.loop.pause_host(host, 14)
        day.run(22)

    counts = play(day, lose)
    assert [peer for peer in others(host) if "unheard" in counts.modes[peer]] == []


# -- The rules for relayed heartbeats in docs/safety.md, one by one


def test_the_relay_hands_on_the_leaders_own_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    leader_responses: list[bytes] = []
    relayed_responses: list[bytes] = []
    real_answer, real_relay = HeartbeatHandler._answer, HeartbeatHandler._relay

    async def recording_answer(self: HeartbeatHandler, *arguments: object) -> Response:
        response = await real_answer(self, *arguments)  # type: ignore[arg-type]
        leader_responses.append(response.body)
        return response

    async def recording_relay(self: HeartbeatHandler, *arguments: object) -> Response | None:
        response = await real_relay(self, *arguments)  # type: ignore[arg-type]
        if response is not None:
            relayed_responses.append(response.body)
        return response

    monkeypatch.setattr(HeartbeatHandler, "_answer", recording_answer)
    monkeypatch.setattr(HeartbeatHandler, "_relay", recording_relay)
    play(cluster(1), lambda day: hold(day, from_workers(day, HOSTS[:1], "hold"), 20))
    assert len(relayed_responses) > 20 and set(relayed_responses) <= set(leader_responses)


def tampering(change: Callable[[Day, Controller, ForwardedRequest], None]) -> Callable[[Day], Callable]:
    """Return a function that takes a `Day` and returns a hook, which the day calls for each new controller.

    With the hook, `change` is called for each forwarded request that a controller receives.
    """

    def install(day: Day) -> Callable:
        def on_start(controller: Controller) -> None:
            real_on_request = controller.membership.forwarder.on_request

            def on_request(message: ForwardedRequest, handle: Handler) -> None:
                real_on_request(message, handle)
                change(day, controller, message)

            controller.membership.forwarder.on_request = on_request  # type: ignore[method-assign]

        return on_start

    return install


def late_copies(day: Day, controller: Controller, message: ForwardedRequest) -> None:
    """Deliver a forwarded request three more times, each to a random controller: at once, within 3 s and within 30 s.

    The copies arrive out of order. A receiver might have become the leader of the shard after the request was sent.
    """
    for delay in (0.0, day.random.uniform(0.1, 3), day.random.uniform(3, 30)):
        host = day.random.choice(HOSTS)

        def deliver_copy(host: str = host) -> None:
            if host in day.controllers:
                receiver = day.controllers[host][0]
                forwarder, handle = receiver.membership.forwarder, receiver.requests.api.handle_forwarded
                forwarder._group.spawn(forwarder._answer(message, handle), "copy")

        day.loop.later(timedelta(seconds=delay), deliver_copy)


@pytest.mark.parametrize("seed", SEEDS)
def test_late_copies_of_relayed_heartbeats_change_nothing(seed: int) -> None:
    day = Day(seed, machines=12, capacity=2, operator=RELAYING)
    day.on_controller_created = tampering(late_copies)(day)
    for host in HOSTS:
        day.on_controller_created(day.controllers[host][0])
    workload(day)

    def fault(day: Day) -> None:
        opposite(20, "hold")(day)
        day.restart(pick(day), SECOND)
        hold(day, from_workers(day, [pick(day)], "reset"), 15)

    play(day, fault)


def test_what_was_passed_on_once_is_not_passed_on_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """A controller that receives a forwarded heartbeat for a shard that it does not lead answers 503.

    This happens if the leader changed after the heartbeat was forwarded. After the 503, the worker sends another one.
    """
    day = cluster(2)
    day.run(5)
    heartbeat = day.site.workers["host-000001"].heartbeat()
    body = str(heartbeat).replace("'", '"').replace("None", "null").replace("True", "true").replace("False", "false")
    handlers = {host: controller.requests.heartbeat_handler for host, (controller, _) in day.controllers.items()}
    leader = next(host for host, handler in handlers.items() if handler._shard_of("host-000001") in handler._leaders)
    sent: list[str] = []
    for controller, _ in day.controllers.values():
        monkeypatch.setattr(controller.membership.forwarder, "_send", lambda target, message: sent.append(target))
    for host in others(leader):
        routine = day.loop.spawn(handlers[host].handle(Request("POST", "/checkin", "", body.encode()), leader), "r")
        assert day.loop.run(routine).status == 503
    assert sent == []


def test_a_start_lost_with_its_relay_counts_until_a_later_heartbeat(monkeypatch: pytest.MonkeyPatch) -> None:
    """Forwarded responses are lost with a probability of 0.4, some of them with start commands.

    The leader treats a task whose start command was lost as started until a later heartbeat of the worker does not list
    the task. Every task must run, and none must run twice.
    """
    day = cluster(3)
    lost_responses = 0
    for controller, _ in day.controllers.values():
        real_on_response = controller.membership.forwarder.on_response

        def on_response(message: ForwardedResponse, real_on_response: Callable = real_on_response) -> None:
            nonlocal lost_responses
            if day.random.random() < 0.4:
                lost_responses += 1
            else:
                real_on_response(message)

        monkeypatch.setattr(controller.membership.forwarder, "on_response", on_response)
    play(day, lambda day: hold(day, from_workers(day, HOSTS[:1], "hold"), 30))
    assert lost_responses >= 5


def test_users_of_a_controller_without_the_store_are_answered_by_a_peer() -> None:
    day = cluster(4)
    day.store.refused_hosts.add(HOSTS[0])
    for step in range(8):
        day.run(1)
        description = job(f"run-u{step}", heads=2)
        day.site.jobs[description["ref"]] = description
        response = day.ask("POST", "/v1/jobs", description, HOSTS[0])
        assert response is not None and response.status == 201, (step, response)
        day.accepted.add(description["ref"])
        assert day.poll(description["ref"], HOSTS[0]) in ("queued", "running", "done")
    day.run(3)
    assert day.cancel("run-a0", tries=1, host=HOSTS[0]) == "withdrawn"
    day.store.refused_hosts.clear()
    assert day.finish(300) == [] and day.rules.broken == [] and day.history_problems() == []


@pytest.mark.parametrize(
    ("method", "path", "body"),
    [
        ("POST", "/v1/jobs", job("run-new")),
        ("POST", "/v1/jobs/run-a0/cancel", None),
        ("GET", "/v1/jobs/run-a0", None),
    ],
)
def test_in_an_outage_users_are_told_at_once_when_to_come_back(method: str, path: str, body: dict | None) -> None:
    day = cluster(5)
    cut, heal = from_store(day, HOSTS, "hold")  # a request to the store would hang until it times out
    cut()
    day.run(8)
    asked_at = day.loop.now()
    response = day.ask(method, path, body, HOSTS[1])
    assert response is not None and response.status == 503 and response.headers.get("retry-after") == "1"
    assert day.loop.now() - asked_at < SECOND / 10
    heal()
    assert day.finish(300) == [] and day.rules.broken == []


def test_final_states_are_told_from_memory() -> None:
    day = cluster(6)
    assert day.cancel("run-b0", host=HOSTS[1]) == "withdrawn"
    day.run(2)
    cut, heal = from_store(day, HOSTS, "hold")
    cut()
    day.run(8)
    assert day.poll("run-b0", HOSTS[1]) == "withdrawn"
    heal()
    assert day.finish(300) == [] and day.rules.broken == []


# -- What a controller must not do in an impaired mode


def test_an_unrecorded_controller_starts_nothing_and_keeps_what_runs() -> None:
    """A controller that reaches neither the key-value store nor its peers can't learn that it lost its shard.

    In this mode (`unrecorded`), the controller must not start tasks, and must not stop running ones.
    """
    day = cluster(7)
    host = HOSTS[0]
    shard = HOSTS.index(host)
    day.run(6)
    own_machines = {name for name in day.controllers[host][0].leaders[shard].shard.machines}
    cut, heal = between(day, [host], [*others(host), f"state-{host}"], "hold")
    cut()
    day.run(4)
    assert day.controllers[host][0].membership.monitor.mode.value == "unrecorded"
    controller = day.controllers[host][0]
    placements_before = [
        placement for machine in controller.leaders[shard].shard.machines.values() for placement in machine.placements
    ]
    day.run(4)
    placements_after = [
        placement for machine in controller.leaders[shard].shard.machines.values() for placement in machine.placements
    ]
    assert set(placements_after) <= set(placements_before), "no task is placed while the controller is cut off"
    assert day.site.killed_by_lease == [] and own_machines
    heal()
    assert day.finish(300) == [] and day.rules.broken == []


def test_a_controller_without_workers_deletes_no_machine_for_its_silence() -> None:
    day = cluster(8)
    before = set(day.site.workers)
    hold(day, from_workers(day, HOSTS[:1], "hold"), 40)
    assert before <= set(day.site.workers)
    assert day.finish(300) == [] and day.rules.broken == []


def test_each_change_of_mode_has_a_line_with_its_cause(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO, logger=connectivity_monitor.__name__)
    day = cluster(9)
    hold(day, from_workers(day, HOSTS[:1], "reset"), 8)
    hold(day, from_store(day, HOSTS[:1], "refuse"), 8)
    day.loop.pause_host(HOSTS[2], 3)
    day.run(30)
    lines = [record.getMessage() for record in caplog.records if record.name == connectivity_monitor.__name__]
    mode_changes = [line for line in lines if "mode_changed" in line and f"host={HOSTS[0]} " in line]
    assert [line.split()[2:5] for line in mode_changes][:3] == [
        ["from=serving", "to=unheard", "cause=workers_report_to_siblings"],
        ["from=unheard", "to=recovering", "cause=links_are_back"],
        ["from=recovering", "to=unrecorded", "cause=state_service_silent"],
    ]
    assert mode_changes[-1].split()[3:5] == ["to=serving", "cause=links_are_good"]
    assert any("process_paused" in line and f"host={HOSTS[2]} " in line for line in lines)


# -- The history checker


@pytest.mark.parametrize(
    ("breach", "violation"),
    [
        (lambda history: history.started("run-a0/0", "host-x", 99, timedelta(0)), "doubled"),
        (lambda history: history.runs.pop("run-a1/0"), "lost"),
        (lambda history: history.answers.pop("run-a2"), "answers"),
        (lambda history: history.answered("run-a3", "withdrawn", timedelta(0)), "answers"),
    ],
)
def test_the_history_checker_catches(breach: Callable, violation: str) -> None:
    day = cluster(1)
    assert day.finish(200) == [] and day.history_problems() == []
    breach(day.rules.history)
    assert any(problem.startswith(violation) for problem in day.history_problems())
