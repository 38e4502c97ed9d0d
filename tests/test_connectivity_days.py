"""Half-open cuts in virtual time: several controllers lose links, and every run ends with one final answer."""

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
FLAPS = [(1, 1), (3, 2), (7, 1), (7, 2)]  # seconds, seed; tools/connectivity_measurement.py plays more
LEASE_S = 11  # of the stand-in workers
Fault = Callable[[Day], None]


def cluster(seed: int, operator: OperatorSettings = RELAYING, **changes: object) -> Day:
    day = Day(seed, machines=12, capacity=2, operator=operator, **changes)  # type: ignore[arg-type]
    workload(day)
    return day


def play(day: Day, fault: Fault) -> CutCounts:
    """Play a fault beside a workload, then check everything from outside."""
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
    return [one for one in HOSTS if one != host]


# -- Flapping


def flapping_workers(seconds: float, mode: str) -> Fault:
    return lambda day: flap(day, from_workers(day, [pick(day)], mode), seconds, max(4, int(20 / seconds)))


def flapping_store(seconds: float, mode: str) -> Fault:
    return lambda day: flap(day, from_store(day, [pick(day)], mode), seconds, max(4, int(20 / seconds)))


@pytest.mark.parametrize(("seconds", "seed"), FLAPS)
@pytest.mark.parametrize("mode", ["reset", "hold", "one_way"])
def test_flapping_worker_links_move_no_shard_about(seconds: float, mode: str, seed: int) -> None:
    counts = play(cluster(seed), flapping_workers(seconds, mode))
    assert counts.hand_overs <= 2, "in all, not for each cut"
    assert counts.killed_by_lease == []
    assert counts.shard_seconds_without_leader <= 2


@pytest.mark.parametrize(("seconds", "seed"), FLAPS)
@pytest.mark.parametrize("mode", ["refuse", "reset", "hold"])
def test_flapping_links_to_the_state_service(seconds: float, mode: str, seed: int) -> None:
    counts = play(cluster(seed), flapping_store(seconds, mode))
    assert counts.hand_overs <= 2
    assert counts.killed_by_lease == []
    assert 20 * counts.users_503 <= counts.users_asked, "a sibling answers in its place"


def test_damping_delays_the_return_of_a_shard_more_from_cut_to_cut() -> None:
    """Without relays each cut passes the shard away; it comes back later each time, and without a cut soon again."""
    day = cluster(3, OperatorSettings())
    day.run(5)
    host = HOSTS[0]
    cut, heal = from_workers(day, [host], "reset")
    away = []
    for _ in range(4):
        cut()
        assert day.run_until(lambda: not day.controllers[host][0].leadership_state.leaderships, 30)
        heal()
        began = day.loop.now()
        assert day.run_until(lambda: bool(day.controllers[host][0].leadership_state.leaderships), 120)
        away.append((day.loop.now() - began) / SECOND)
    assert away[0] < 16 and away[-1] > 1.2 * away[0] and away[-1] < 90, away
    assert day.finish(300) == [] and day.rules.broken == []


# -- A cut that heals exactly as a peer takes over


def heals_at_election(seconds: float, mode: str) -> Fault:
    def fault(day: Day) -> None:
        hold(day, from_store(day, [pick(day)], mode), seconds)
        day.run(12)

    return fault


def heals_when(reached: Callable[[Day, str, int], bool], mode: str) -> Fault:
    """The link heals in the very step in which a peer has come so far with the shard."""

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


def heirs(day: Day, host: str, shard: int) -> Iterator[Controller]:
    return (
        one for name, (one, _) in day.controllers.items() if name != host and shard in one.leadership_state.leaderships
    )


def led(day: Day, host: str, shard: int) -> bool:
    return any(True for _ in heirs(day, host, shard))


def ready(day: Day, host: str, shard: int) -> bool:
    return any(shard in one.leaders and one.leaders[shard].ready for one in heirs(day, host, shard))


def reconciled(day: Day, host: str, shard: int) -> bool:
    return any(shard in one.leaders and one.leaders[shard].shard.reconciled for one in heirs(day, host, shard))


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
    """One lacks the key-value store, the others their workers: between them they reach everything."""

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
    # Where connections hang, a worker gives two nodes up, 5 s each, before it comes to the one that it reaches: for
    # some that is longer than their lease of 11 s. Of those that are answered once, none loses a task.
    assert [at for at in counts.killed_by_lease if mode == "reset" or at > LEASE_S + 2] == []
    assert counts.relayed > 100
    assert counts.users_503 <= 2


def test_without_relays_the_opposite_cuts_kill_tasks() -> None:
    """So that the test above shows something."""
    day = cluster(1, OperatorSettings())
    watch = CutWatch(day)
    opposite(40, "hold")(day)
    assert len(watch.end().killed_by_lease) > 10


def one_after_the_other(day: Day) -> None:
    """Each controller in turn loses its workers, the next before the one before is whole again."""
    links = [from_workers(day, [host], "reset") for host in HOSTS]
    for turn in range(6):
        links[turn % 3][0]()
        day.run(6)
        links[(turn - 1) % 3][1]()
        day.run(4)
    for link in links:
        link[1]()


def all_unheard(day: Day) -> None:
    hold(day, from_workers(day, HOSTS, "hold"), 9)


def all_unheard_for_long(day: Day) -> None:
    hold(day, from_workers(day, HOSTS, "reset"), 25)


def zone_cut_off(day: Day) -> None:
    """A zone with a controller: it keeps its own workers, and loses everything else."""
    host = pick(day)
    inside = [host, *(name for name, worker in day.site.workers.items() if worker.zone == "a")]
    outside = [one for one in (*HOSTS, *day.site.workers, "cloud", f"state-{host}") if one not in inside]
    hold(day, between(day, inside, outside, "hold"), 30)


def isolated(day: Day) -> None:
    host = pick(day)
    everything = [*others(host), *day.site.workers, f"state-{host}", "cloud"]
    hold(day, between(day, [host], everything, "hold"), 30)


def relay_ends_in_mid_answer(day: Day) -> None:
    """Whoever relays is killed again and again, the answers of the leader on their way through it."""
    host = pick(day)
    cut, heal = from_workers(day, [host], "hold")
    cut()
    day.run(8)
    for relay in others(host):
        day.restart(relay, SECOND / 2)
        day.run(7)
    heal()


def paused_leader(day: Day) -> None:
    """The leader is paused while its heartbeats are relayed, and wakes when its shard is somebody else's."""
    host = pick(day)
    cut, heal = from_workers(day, [host], "hold")
    cut()
    day.run(8)
    day.loop.pause_host(host, 14)
    day.run(18)
    heal()


def paused_relay(day: Day) -> None:
    host = pick(day)
    cut, heal = from_workers(day, [host], "reset")
    cut()
    day.run(8)
    for relay in others(host):
        day.loop.pause_host(relay, 3)
        day.run(5)
    heal()


def late_hand_over(day: Day) -> None:
    """Transactions get no answer and are carried out late, while shards are handed over."""
    day.store.late_write_probability = 0.5
    hold(day, from_workers(day, [pick(day)], "reset"), 20)
    day.store.late_write_probability = 0.0


def lost_hand_over(day: Day) -> None:
    """The answer to a leadership transfer is lost."""
    cut, heal = from_workers(day, [pick(day)], "reset")
    cut()
    for _ in range(6):
        day.store.answers_to_drop = 1
        day.run(3)
    day.store.answers_to_drop = 0
    heal()


def receiver_ends(day: Day) -> None:
    """Whoever was handed the shard ends in mid-leadership transfer."""
    host = pick(day)
    cut, heal = from_workers(day, [host], "reset")
    cut()

    def handed() -> str | None:
        value = day.store.items[f"b/parts/{HOSTS.index(host)}"][0]
        return value["owner"] if value.get("handed") else None

    day.run_until(lambda: handed() is not None, 30)
    receiver = handed()
    if receiver is not None and receiver != host:
        day.restart(receiver, 4 * SECOND)
    day.run(12)
    heal()


def teams_at_their_limits(day: Day) -> None:
    for number in range(4):
        day.submit(job(f"run-l{number}", heads=30, trek_s=9.0, crew=("blue", "red")[number % 2]))
    opposite(25, "hold")(day)


def cancellations(day: Day) -> None:
    """Jobs are called off at whole controllers while another lacks its workers, and at that one too."""
    host = pick(day)
    cut, heal = from_workers(day, [host], "hold")
    cut()
    day.run(7)
    for number in range(3):
        assert day.cancel(f"run-a{number}", host=HOSTS[number]) == "withdrawn"
    day.run(10)
    heal()


def cancellations_in_an_outage(day: Day) -> None:
    """Nobody reaches the key-value store for longer than `cancel_s`, right after cancellations were confirmed."""
    for number in range(3):
        assert day.cancel(f"run-a{number}") == "withdrawn"
    hold(day, from_store(day, HOSTS, "refuse"), 42)


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
    """An older peer neither relays nor takes what is relayed: the shard goes where its workers report."""
    day = cluster(seed, production_hosts=older)

    def fault(day: Day) -> None:
        hold(day, from_workers(day, HOSTS[:1], "reset"), 25)
        day.run(8)
        hold(day, from_store(day, HOSTS[1:2], "refuse"), 12)

    play(day, fault)


# -- Relaying long enough: the shard is handed to a peer that its workers reach


def test_a_cut_that_lasts_transfers_the_shard_once() -> None:
    operator = OperatorSettings(connectivity=Connectivity(relay=True, relay_s=15))
    day = cluster(5, operator)
    counts = play(day, lambda day: hold(day, from_workers(day, HOSTS[:1], "hold"), 60))
    assert counts.hand_overs == 1 and counts.relayed > 30 and counts.killed_by_lease == []
    assert day.run_until(lambda: day.controllers[HOSTS[0]][0].leadership_state.leaderships != {}, 60), (
        "and home again afterwards"
    )


def test_shards_of_a_controller_without_workers_go_to_different_peers() -> None:
    """By load: a controller with two shards does not give both to the same peer."""
    day = cluster(6, NO_RELAY_SERVES)
    day.restart(HOSTS[1], 30 * SECOND)
    assert day.run_until(
        lambda: sum(len(one.leadership_state.leaderships) for one, _ in day.controllers.values()) == 3, 20
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
    """They report to the former leader, or are relayed by it, for some seconds after a takeover."""
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
    assert [one for one in others(host) if "unheard" in counts.modes[one]] == []


# -- What docs/safety.md says of relays, sentence by sentence


def test_the_relay_hands_on_the_leaders_own_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    made: list[bytes] = []
    handed: list[bytes] = []
    answer, relay = HeartbeatHandler._answer, HeartbeatHandler._relay

    async def noting_answer(self: HeartbeatHandler, *arguments: object) -> Response:
        response = await answer(self, *arguments)  # type: ignore[arg-type]
        made.append(response.body)
        return response

    async def noting_relay(self: HeartbeatHandler, *arguments: object) -> Response | None:
        response = await relay(self, *arguments)  # type: ignore[arg-type]
        if response is not None:
            handed.append(response.body)
        return response

    monkeypatch.setattr(HeartbeatHandler, "_answer", noting_answer)
    monkeypatch.setattr(HeartbeatHandler, "_relay", noting_relay)
    play(cluster(1), lambda day: hold(day, from_workers(day, HOSTS[:1], "hold"), 20))
    assert len(handed) > 20 and set(handed) <= set(made)


def tampering(change: Callable[[Day, Controller, ForwardedRequest], None]) -> Callable[[Day], Callable]:
    """Do something more with each request that is passed on."""

    def install(day: Day) -> Callable:
        def on_start(controller: Controller) -> None:
            real = controller.membership.forwarder.on_request

            def on_request(message: ForwardedRequest, handle: Handler) -> None:
                real(message, handle)
                change(day, controller, message)

            controller.membership.forwarder.on_request = on_request  # type: ignore[method-assign]

        return on_start

    return install


def late_copies(day: Day, controller: Controller, message: ForwardedRequest) -> None:
    """Each comes again, at once and late, out of order, and at others who may have become leaders."""
    for delay in (0.0, day.random.uniform(0.1, 3), day.random.uniform(3, 30)):
        host = day.random.choice(HOSTS)

        def again(host: str = host) -> None:
            if host in day.controllers:
                receiver = day.controllers[host][0]
                forwarder, handle = receiver.membership.forwarder, receiver.requests.api.handle_forwarded
                forwarder._group.spawn(forwarder._answer(message, handle), "copy")

        day.loop.later(timedelta(seconds=delay), again)


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
    """Also if the leader changed meanwhile: then nobody answers, and the worker reports anew."""
    day = cluster(2)
    day.run(5)
    heartbeat = day.site.workers["host-000001"].heartbeat()
    body = str(heartbeat).replace("'", '"').replace("None", "null").replace("True", "true").replace("False", "false")
    desk_of = {host: one.requests.heartbeat_handler for host, (one, _) in day.controllers.items()}
    leader = next(host for host, desk in desk_of.items() if desk._shard_of("host-000001") in desk._leaders)
    sent: list[str] = []
    for one, _ in day.controllers.values():
        monkeypatch.setattr(one.membership.forwarder, "_send", lambda target, message: sent.append(target))
    for host in others(leader):
        routine = day.loop.spawn(desk_of[host].handle(Request("POST", "/checkin", "", body.encode()), leader), "r")
        assert day.loop.run(routine).status == 503
    assert sent == []


def test_a_start_lost_with_its_relay_counts_until_a_later_heartbeat(monkeypatch: pytest.MonkeyPatch) -> None:
    """The leader's answers vanish on their way through the relay for a while: no task runs twice, and all run."""
    day = cluster(3)
    lost = 0
    for one, _ in day.controllers.values():
        real = one.membership.forwarder.on_response

        def on_response(message: ForwardedResponse, real: Callable = real) -> None:
            nonlocal lost
            if day.random.random() < 0.4:
                lost += 1
            else:
                real(message)

        monkeypatch.setattr(one.membership.forwarder, "on_response", on_response)
    play(day, lambda day: hold(day, from_workers(day, HOSTS[:1], "hold"), 30))
    assert lost >= 5


def test_users_of_a_controller_without_the_store_are_answered_by_a_peer() -> None:
    day = cluster(4)
    day.store.refused_hosts.add(HOSTS[0])
    for step in range(8):
        day.run(1)
        described = job(f"run-u{step}", heads=2)
        day.site.jobs[described["ref"]] = described
        response = day.ask("POST", "/v1/jobs", described, HOSTS[0])
        assert response is not None and response.status == 201, (step, response)
        day.accepted.add(described["ref"])
        assert day.poll(described["ref"], HOSTS[0]) in ("queued", "running", "done")
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
    cut, heal = from_store(day, HOSTS, "hold")  # so that an attempt would last until its time limit
    cut()
    day.run(8)
    began = day.loop.now()
    response = day.ask(method, path, body, HOSTS[1])
    assert response is not None and response.status == 503 and response.headers.get("retry-after") == "1"
    assert day.loop.now() - began < SECOND / 10
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


# -- What a controller does not do in an impaired mode, seen from outside


def test_an_unrecorded_controller_starts_nothing_and_keeps_what_runs() -> None:
    """It lacks the key-value store and its peers, so that nobody tells it that its shard is taken."""
    day = cluster(7)
    host = HOSTS[0]
    shard = HOSTS.index(host)
    day.run(6)
    mine = {name for name in day.controllers[host][0].leaders[shard].shard.machines}
    cut, heal = between(day, [host], [*others(host), f"state-{host}"], "hold")
    cut()
    day.run(4)
    assert day.controllers[host][0].membership.monitor.mode.value == "unrecorded"
    controller = day.controllers[host][0]
    sent = [placement for one in controller.leaders[shard].shard.machines.values() for placement in one.placements]
    day.run(4)
    now = [placement for one in controller.leaders[shard].shard.machines.values() for placement in one.placements]
    assert set(now) <= set(sent), "nothing new is placed"
    assert day.site.killed_by_lease == [] and mine
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
    told = [line for line in lines if "mode_changed" in line and f"host={HOSTS[0]} " in line]
    assert [line.split()[2:5] for line in told][:3] == [
        ["from=serving", "to=unheard", "cause=workers_report_to_siblings"],
        ["from=unheard", "to=recovering", "cause=links_are_back"],
        ["from=recovering", "to=unrecorded", "cause=state_service_silent"],
    ]
    assert told[-1].split()[3:5] == ["to=serving", "cause=links_are_good"]
    assert any("process_paused" in line and f"host={HOSTS[2]} " in line for line in lines)


# -- The checker itself


@pytest.mark.parametrize(
    ("breach", "named"),
    [
        (lambda history: history.started("run-a0/0", "host-x", 99, timedelta(0)), "doubled"),
        (lambda history: history.runs.pop("run-a1/0"), "lost"),
        (lambda history: history.answers.pop("run-a2"), "answers"),
        (lambda history: history.answered("run-a3", "withdrawn", timedelta(0)), "answers"),
    ],
)
def test_the_history_checker_catches(breach: Callable, named: str) -> None:
    day = cluster(1)
    assert day.finish(200) == [] and day.history_problems() == []
    breach(day.rules.history)
    assert any(problem.startswith(named) for problem in day.history_problems())
