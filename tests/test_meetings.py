"""Two troubles that meet. For every meeting that is known, a day that brings it about; docs/safety.md lists them."""

from collections.abc import Callable, Iterator
from datetime import timedelta

import pytest

from badgerroute.coordination.jobs.cancellation_broadcast import CancellationBroadcast
from badgerroute.protocol.mesh import CancellationNotice
from badgerroute.settings import Objective
from tests.standins.day import HOSTS, SECOND, Day, job
from tests.standins.workers import Worker

CANCEL = 36  # seconds that a cancellation has


def others(host: str) -> list[str]:
    return [one for one in HOSTS if one != host]


def leader_of(day: Day, shard: int) -> str:
    return next(host for host, (one, _) in day.controllers.items() if shard in one.leaders)


def workers_of(day: Day, host: str) -> list[Worker]:
    """The machines of the shards that a controller owns."""
    leaders = day.controllers[host][0].leaders.values()
    return [day.site.workers[name] for leader in leaders for name in leader.shard.machines if name in day.site.workers]


def on_machines(day: Day, ref: str) -> list[str]:
    return [name for name in day.rules.worker_by_task if name.rpartition("/")[0] == ref]


def cut(day: Day, host: str, peers: list[str], mode: str = "hold") -> Callable[[], None]:
    """Cut a host from others; what heals it."""
    for peer in peers:
        day.world.cut(host, peer, mode)
    return lambda: [day.world.heal(host, peer) for peer in peers]


# -- The gap: refused alone, cancelled elsewhere, then an outage for all that is longer than a cancellation has


def well(day: Day, worker: Worker) -> None:
    """A machine like any other."""


def hung(day: Day, worker: Worker) -> None:
    """It hangs before its leader is refused, and goes on just within its lease."""
    worker.unresponsive = True
    day.loop.later(10 * SECOND, lambda: setattr(worker, "unresponsive", False))


def unreachable(day: Day, worker: Worker) -> None:
    """Its heartbeats arrive; answers and commands don't."""
    worker.unreachable = True
    day.loop.later(70 * SECOND, lambda: setattr(worker, "unreachable", False))


GAPS = [
    # confirmed so long after the refusal, refused for, out for, the mesh, the machine under the job
    (0.0, 14, 58, "whole", well),
    (0.2, 14, 58, "whole", hung),
    (1.0, 14, 58, "whole", unreachable),
    (1.7, 90, 58, "whole", well),
    (0.0, 14, 58, "cut", well),
    (0.05, 14, 40, "cut", hung),
    (0.6, 14, 58, "cut", unreachable),
    (1.7, 90, 75, "cut", well),
    (1.9, 14, 58, "cut", hung),
    (1.0, 14, 58, "returns", well),
    (0.3, 14, 58, "returns", hung),
    (1.0, 14, 58, "crash", well),
]


def gap(confirmed: float, refused: float, out: float, mesh: str, state: Callable[[Day, Worker], None]) -> Day:
    day = Day(seed=int(100 * confirmed + refused + out) + len(mesh), machines=9, capacity=0)
    day.run(5)
    refs = ["run-a", "run-b"]
    for ref in refs:
        day.submit(job(ref, heads=18, trek_s=150.0))
    day.submit(job("run-kept", heads=6, trek_s=20.0))
    assert day.run_until(lambda: len(on_machines(day, "run-a")) + len(on_machines(day, "run-b")) >= 30, 20)
    leader = HOSTS[0]
    busy = next(one for one in workers_of(day, leader) if any(task.ref in refs for task in one.tasks.values()))
    state(day, busy)
    day.store.refused_hosts.add(leader)
    began = day.loop.now()
    heal = cut(day, leader, others(leader), "reset") if mesh in ("cut", "returns") else lambda: None
    day.run(confirmed)
    for ref in refs:
        assert day.cancel(ref, host=others(leader)[0]) == "withdrawn"
    if mesh == "crash":
        day.restart(others(leader)[0], 20 * SECOND)  # whoever told the user has told no peer that lasts
    day.run(max(0.0, 2 - (day.loop.now() - began) / SECOND))
    day.store.outage(True)
    day.loop.later(refused * SECOND, lambda: day.store.refused_hosts.discard(leader))
    day.loop.later(out * SECOND, lambda: day.store.outage(False))
    day.run(4)
    if mesh == "returns":
        heal()
    day.run(6)
    well_off = [one for one in workers_of(day, leader) if not one.unresponsive and not one.unreachable]
    left = [task for one in well_off for task in one.tasks.values() if task.ref in refs and task.state != "exited"]
    if mesh != "cut":
        assert not left, "the leader was told, and acts at once though it can't reach the state service"
    elif refused < 60:
        assert left, "nobody could tell the leader: the case shows what the bound is for"
    day.run(max(refused, out) + 5)
    heal()
    return day


@pytest.mark.parametrize(("confirmed", "refused", "out", "mesh", "state"), GAPS)
def test_the_gap(confirmed: float, refused: float, out: float, mesh: str, state: Callable) -> None:
    day = gap(confirmed, refused, out, mesh, state)
    assert day.finish(300) == []
    assert day.rules.broken == []


@pytest.mark.cheats
@pytest.mark.parametrize("guard", ["grace", "watch"])
def test_the_gap_needs_its_bound(guard: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Without G, or with G counted from a lease alone, the same days break the rule."""
    if guard == "grace":
        monkeypatch.setattr("badgerroute.settings.Settings.grace", property(lambda self: 60 * SECOND))
    else:
        monkeypatch.setattr(
            "badgerroute.coordination.leadership.leadership_state.LeadershipState.last_confirmed",
            property(lambda self: self._loop.now()),
        )
    day = gap(0.0, 14, 58, "cut", well)
    assert any("ran_cancelled" in text for text in day.rules.broken)


def test_a_lease_renewal_proves_nothing_about_cancellations() -> None:
    """A leader whose lease is renewed all the time, while its watch waits: it hears of no cancellation."""
    day = Day(seed=21, machines=9, capacity=0)
    day.run(5)
    day.submit(job("run-a", heads=20, trek_s=150.0))
    assert day.run_until(lambda: len(on_machines(day, "run-a")) == 20, 20)
    leader = HOSTS[0]
    controller = day.controllers[leader][0]
    day.store.hosts_without_watches.add(leader)
    heal = cut(day, leader, others(leader), "reset")
    asked = controller.storage.replica.last_confirmed
    day.run(0.3)
    assert day.cancel("run-a", host=others(leader)[0]) == "withdrawn"
    day.run(12)
    state = controller.leadership_state
    assert state.lease is not None and day.loop.now() - state.lease_confirmed_at < 2 * SECOND
    assert state.last_confirmed <= asked + SECOND, "the proof is as old as the last answered watch"
    day.run(CANCEL)
    assert not on_machines(day, "run-a")
    day.store.hosts_without_watches.clear()
    heal()
    assert day.finish() == []
    assert day.rules.broken == []


def test_a_watch_counts_from_when_it_was_asked() -> None:
    day = Day(seed=22)
    day.run(12)
    replica = day.controllers[HOSTS[0]][0].storage.replica
    ages = []  # of the proof, at the moment at which the watch that gives it is answered
    for _ in range(300):
        known = replica.last_confirmed
        day.run(0.01)
        if replica.last_confirmed != known:
            ages.append((day.loop.now() - replica.last_confirmed) / SECOND)
    assert len(ages) >= 2
    assert min(ages) >= 0.98, "it blocked for a second, since nothing changed: what it proves is as old as that"


def test_a_long_outage_takes_no_node_from_the_load_balancer() -> None:
    """None could serve users better, and being taken out would last longer than the outage."""
    day = Day(seed=24)
    day.run(5)
    day.store.outage(True)
    day.run(45)
    assert {day.ask("GET", "/up", host=host).status for host in HOSTS} == {200}
    day.store.outage(False)
    day.run(1)
    assert day.submit(job("run-a"), tries=2) == 201
    assert day.finish() == []
    assert day.rules.broken == []


def test_cancellations_are_told_until_they_are_acknowledged() -> None:
    day = Day(seed=23)
    sent: list[tuple[str, list]] = []

    class Messenger:
        @staticmethod
        def send(host: str, message: CancellationNotice) -> None:
            sent.append((host, message.jobs))

    broadcast = CancellationBroadcast(day.loop, "me", ["one", "two"], Messenger(), CANCEL * SECOND)
    broadcast.job_cancelled("run-1", 7, awaited_by_user=True)
    broadcast.job_cancelled("run-2", 9, awaited_by_user=False)
    assert sent == [("one", [("run-1", 7)]), ("two", [("run-1", 7)])]
    broadcast.acknowledged("one", ["run-1"])
    sent.clear()
    broadcast.resend()
    assert sent == [("one", [("run-2", 9)]), ("two", [("run-2", 9)])]
    sent.clear()
    day.run(1)
    broadcast.acknowledged("one", ["run-2"])
    broadcast.resend()
    assert sent == [("two", [("run-1", 7), ("run-2", 9)])]
    sent.clear()
    day.run(40)
    broadcast.resend()
    assert sent == [], "of no use any more"


# -- The other meetings


def held_report(day: Day) -> Iterator[float]:
    """A report is held back until a new leader has acted, and then arrives there."""
    dead = HOSTS[1]
    held = [cut(day, worker.name, [host for host in HOSTS if host != dead]) for worker in workers_of(day, dead)[:2]]
    yield 1
    day.restart(dead, 40 * SECOND)
    yield 9
    for heal in held:
        heal()
    day.replay_heartbeats(30)
    yield 10


def mute_machines(day: Day) -> Iterator[float]:
    """Workers can't open connections to any controller, while direct commands still reach them."""
    workers = day.random.sample(list(day.site.workers.values()), 4)
    for worker in workers:
        worker.heartbeats_blocked = True
    yield 4
    day.restart(HOSTS[day.random.randrange(3)], 2 * SECOND)
    yield 20
    for worker in workers:
        worker.heartbeats_blocked = False
    yield 5


def boots_at_once(day: Day) -> Iterator[float]:
    """New machines are up at once and get work while writes lag, and the leader ends."""
    day.site.boot_factor = 0.1
    day.site.capacity += 3
    day.store.late_write_probability, day.store.delay_factor = 0.3, 15.0
    for name in list(day.site.workers)[:4]:
        day.site.remove_worker(name)
    for number in range(3):
        day.group.spawn(day.polling_users.submit(job(f"run-n{number}", heads=12, trek_s=10.0)), "user")
    yield 6
    for turn in range(3):
        day.restart(HOSTS[turn], SECOND / 3)
        yield 3
    day.store.late_write_probability, day.store.delay_factor = 0.0, 1.0
    yield 5


def limits_full(day: Day) -> Iterator[float]:
    """Every team is at its limit while jobs are cancelled whose machines are cut off or hang; the leader changes."""
    for number in range(4):
        day.submit(job(f"run-l{number}", heads=40, crew=("blue", "red")[number % 2], trek_s=40.0))
    yield 6
    cut_off = day.random.sample(list(day.site.workers.values()), 4)
    heals = [cut(day, worker.name, HOSTS) for worker in cut_off[:2]]
    cut_off[2].unresponsive = cut_off[3].unresponsive = True
    yield 0.5
    for number in range(2):
        day.group.spawn(day.polling_users.cancel(f"run-l{number}"), "user")
    yield 0.5
    day.restart(HOSTS[2], 6 * SECOND)
    yield 9
    cut_off[2].unresponsive = cut_off[3].unresponsive = False
    yield 8
    for heal in heals:
        heal()
    yield 5


def far_ends(day: Day) -> Iterator[float]:
    """Jobs of two or three tasks end far apart across a change of leader."""
    times = {f"run-f{number}": number for number in range(6)}
    real = day.site.run_time
    day.site.run_time = lambda ref: real(ref) if ref not in times else day.random.choice((1.0, 14.0, 30.0))
    for ref, number in times.items():
        day.submit(job(ref, heads=2 + number % 2, trek_s=14.0))
        day.group.spawn(day.polling_users.poll_at_completion(ref, cancelled=number == 5), "user")
    yield 8
    for host in HOSTS:
        day.restart(host, 2 * SECOND)
        yield 7


def one_task_jobs(day: Day) -> Iterator[float]:
    """They come four a second, a quarter of them cancelled."""
    for number in range(120):
        one = job(f"run-o{number}", heads=1, trek_s=3.0, brand=f"img-{number % 3}")
        day.group.spawn(day.polling_users.submit(one, cancelled=number % 4 == 0), "user")
        if number == 60:
            day.restart(HOSTS[0], 2 * SECOND)
        yield 0.25


def unheard_leader(day: Day) -> Iterator[float]:
    """A leader ends while machines with long tasks can't be reached, or don't hear the new leader's answer."""
    yield 24  # until there is room for what is lost
    day.submit(job("run-long", crew="guests", heads=45, trek_s=60.0))
    yield 8
    dead = HOSTS[0]
    workers = workers_of(day, dead)
    heal = cut(day, workers[0].name, HOSTS)
    day.site.cloud_down = True  # else they are deleted, and the lease need not be waited for
    for worker in workers[1:3]:
        worker.unreachable = True
    yield 0.3
    day.restart(dead, 25 * SECOND)
    yield 14
    heal()
    day.site.cloud_down = False
    for worker in workers[1:3]:
        worker.unreachable = False
    yield 10


def reports_at_takeover(day: Day) -> Iterator[float]:
    """Old heartbeats reach every controller just as a new leader begins."""
    day.restart(HOSTS[1], 30 * SECOND)
    for _ in range(14):
        yield 0.45
        day.replay_heartbeats(6)
    yield 5


def returns_at_once(day: Day) -> Iterator[float]:
    """Controllers hand over and back, all end, and one returns, also within a second."""
    day.restart(HOSTS[0], 5 * SECOND)
    yield 8.5
    for host in HOSTS:
        day.restart(host, (SECOND / 2) if host == HOSTS[0] else 6 * SECOND)
    yield 1.2
    day.restart(HOSTS[0], SECOND / 4)
    yield 6
    day.restart(HOSTS[0], SECOND / 4)
    yield 8


def all_away(day: Day) -> Iterator[float]:
    """All controllers are away for longer than a machine's lease."""
    for host in HOSTS:
        day.restart(host, timedelta(seconds=day.random.uniform(15, 19)))
    yield 24


def close_looks(day: Day) -> Iterator[float]:
    """Users ask at all nodes within milliseconds after a job was accepted, ended or cancelled; some cancel at once."""
    for number in range(12):
        one = job(f"run-c{number}", heads=1 + number % 3, trek_s=2.0)
        day.group.spawn(day.polling_users.submit(one, cancelled=number % 3 == 0), "user")
        if number % 3:
            day.group.spawn(day.polling_users.poll_at_completion(one["ref"], cancelled=number % 3 == 1), "user")
        yield 1
    yield 6


def more_than_room(day: Day) -> Iterator[float]:
    """There is more work than room, urgent and not, over slow links."""
    day.world.delay_factor = 60.0
    for number in range(6):
        day.submit(job(f"run-u{number}", heads=10, trek_s=8.0, rank="urgent"))
        day.submit(job(f"run-i{number}", heads=20, trek_s=8.0, rank="idle", crew="red"))
        day.submit(job(f"run-h{number}", gait="group", heads=2, cpus=5.0, rank="urgent", waypoint_s=2.0, pen_s=1.0))
        yield 2
    day.group.spawn(day.polling_users.cancel("run-u1"), "user")
    day.restart(HOSTS[2], 3 * SECOND)
    yield 20
    day.world.delay_factor = 1.0
    yield 3


def slow_then_refused(day: Day) -> Iterator[float]:
    """The key-value store is slow, refuses one alone, then everybody for longer than a cancellation has."""
    day.store.delay_factor = 40.0
    yield 3
    day.store.refused_hosts.add(HOSTS[1])
    for ref in ("run-a0", "run-g0"):
        day.group.spawn(day.polling_users.cancel(ref), "user")
    day.group.spawn(day.polling_users.submit(job("run-new", heads=3)), "user")
    yield 6
    day.store.outage(True)
    yield CANCEL + 9
    day.store.outage(False)
    day.store.delay_factor = 1.0
    day.store.refused_hosts.clear()
    yield 6


def answers_lost(day: Day) -> Iterator[float]:
    """Transactions are carried out and only their answers are lost, while other nodes read what they wrote."""
    for number in range(8):
        day.store.answers_to_drop = 3
        one = job(f"run-d{number}", heads=2, trek_s=1.0)
        day.group.spawn(day.polling_users.submit(one, cancelled=number % 2 == 0), "user")
        day.group.spawn(day.polling_users.poll_at_completion(one["ref"], cancelled=number % 4 == 1), "user")
        yield 2
    day.store.answers_to_drop = 0
    yield 10


def held_commands(day: Day) -> Iterator[float]:
    """A command or its answer is held up for seconds, and the machine then goes on."""
    for turn in range(3):
        worker = day.random.choice(list(day.site.workers.values()))
        worker.unresponsive = True
        heal = cut(day, day.random.choice(list(day.site.workers)), HOSTS)
        if turn == 1:
            day.restart(HOSTS[turn], SECOND)
        day.group.spawn(day.polling_users.cancel(f"run-a{turn}"), "user")
        yield 6
        worker.unresponsive = False
        heal()
        yield 3


def earlier_sessions(day: Day) -> Iterator[float]:
    """Old heartbeats arrive after newer ones, also from an earlier incarnation or attempt."""
    lost = day.random.sample(list(day.site.workers.values()), 2)
    heals = [cut(day, worker.name, HOSTS, "reset") for worker in lost]
    yield 13
    for heal in heals:
        heal()
    for _ in range(4):
        yield 3
        day.replay_heartbeats(20)
        day.replay_heartbeats(10, {worker.name for worker in lost})


def alone_with_workers(day: Day) -> Iterator[float]:
    """A leader is cut from key-value store and peers, not from workers and users; jobs go through the new one."""
    host = HOSTS[1]
    heal = cut(day, host, [f"state-{host}", *others(host)])
    yield 1
    for ref, node in (("run-a1", HOSTS[0]), ("run-b1", HOSTS[2]), ("run-g1", host)):
        day.group.spawn(day.polling_users.cancel(ref, host=node), "user")
    yield CANCEL
    heal()
    yield 6


def cancelled_in_hand_over(day: Day) -> Iterator[float]:
    """Jobs are cancelled in the seconds in which one controller's work changes hands."""
    day.submit(job("run-x0", heads=8, trek_s=60.0))
    day.submit(job("run-x1", heads=8, trek_s=60.0, crew="red"))
    yield 3
    day.restart(HOSTS[0], 5 * SECOND)
    for turn, ref in enumerate(("run-a0", "run-x0", "run-b0", "run-x1", "run-g0")):
        yield (3.2, 0.7, 0.5, 1.6, 2.2)[turn]
        day.group.spawn(day.polling_users.cancel(ref), "user")
    yield 8


def zone_loses_machines(day: Day) -> Iterator[float]:
    """Jobs bound to one zone, arrays too, lose machines."""
    for number in range(3):
        day.submit(job(f"run-y{number}", heads=8, pasture="b", strays=False, trek_s=8.0, together=number == 1))
    day.submit(job("run-yg", gait="group", heads=2, cpus=5.0, pasture="b", trek_s=8.0))
    yield 4
    inside = [one.name for one in day.site.workers.values() if one.zone == "b"]
    for name in inside[:-1]:
        day.site.remove_worker(name)
    yield 3
    day.restart(HOSTS[2], SECOND)
    yield 5


def ten_leaders(day: Day) -> Iterator[float]:
    """Leaders change ten times in two minutes, also inside an outage."""
    for turn in range(10):
        if turn in (3, 7):
            day.store.outage(True)
        day.restart(HOSTS[turn % 3], timedelta(seconds=day.random.choice((0.2, 1.0, 5.0))))
        yield 6
        if turn in (3, 7):
            day.group.spawn(day.polling_users.cancel(f"run-a{turn % 2}"), "user")
            yield 4
            day.store.outage(False)
        yield 5


def zone_alone(day: Day) -> Iterator[float]:
    """A zone with workers and a controller is cut off for longer than a machine's lease."""
    inside = [HOSTS[0], *(name for name, worker in day.site.workers.items() if worker.zone == "a")]
    outside = [one for one in (*HOSTS, *day.site.workers, "cloud") if one not in inside]
    heals = [cut(day, one, outside) for one in inside] + [cut(day, HOSTS[0], [f"state-{HOSTS[0]}"])]
    yield 1
    for ref in ("run-a0", "run-b2"):
        day.group.spawn(day.polling_users.cancel(ref, host=HOSTS[1]), "user")
    yield CANCEL + 4
    for heal in heals:
        heal()
    yield 5


def writes_late(day: Day) -> Iterator[float]:
    """Transactions without an answer are carried out late, after newer ones of the same controller."""
    day.store.late_write_probability = 0.3
    for number in range(8):
        one = job(f"run-w{number}", heads=3, trek_s=3.0)
        day.group.spawn(day.polling_users.submit(one, cancelled=number % 3 == 0), "user")
        if number == 4:
            day.restart(HOSTS[1], SECOND / 2)
        yield 3
    day.store.late_write_probability = 0.0
    yield 14


MEETINGS = [
    held_report,
    mute_machines,
    boots_at_once,
    limits_full,
    far_ends,
    one_task_jobs,
    unheard_leader,
    reports_at_takeover,
    returns_at_once,
    all_away,
    close_looks,
    more_than_room,
    slow_then_refused,
    answers_lost,
    held_commands,
    earlier_sessions,
    alone_with_workers,
    cancelled_in_hand_over,
    zone_loses_machines,
    ten_leaders,
    zone_alone,
    writes_late,
]


def start(seed: int, capacity: int = 3) -> Day:
    day = Day(seed=seed, machines=9, capacity=capacity, objectives=[Objective("wait", 0.9, "batch", within_s=20.0)])
    day.run(5)
    for number in range(3):
        day.submit(job(f"run-a{number}", heads=12, trek_s=20.0))
        day.submit(job(f"run-b{number}", heads=6, trek_s=15.0, crew="red", rank="idle", brand=f"img-{number}"))
        day.submit(job(f"run-g{number}", gait="group", heads=2, cpus=4.0, rank="urgent", trek_s=15.0))
    day.run(4)
    return day


def play(day: Day, meeting: Callable[[Day], Iterator[float]]) -> None:
    for pause in meeting(day):
        day.run(pause)


@pytest.mark.parametrize("meeting", MEETINGS, ids=lambda meeting: meeting.__name__)
def test_meeting(meeting: Callable[[Day], Iterator[float]]) -> None:
    day = start(sum(meeting.__name__.encode()))
    play(day, meeting)
    assert day.finish(300) == []
    assert day.rules.broken == []
