"""Days in which two faults coincide, here called meetings.

A day is a simulated run of a whole cluster in virtual time. docs/safety.md lists the known meetings; for each,
this module has a day that injects its faults.
"""

from collections.abc import Callable, Iterator
from datetime import timedelta

import pytest

from badgerroute.coordination.jobs.cancellation_broadcast import CancellationBroadcast
from badgerroute.protocol.mesh import CancellationNotice
from badgerroute.settings import Objective
from tests.standins.day import HOSTS, SECOND, Day, job
from tests.standins.workers import Worker

CANCEL_S = 36  # within this time after its cancellation, no task of a job may run any more (`cancel_s` in the settings)


def peers_of(host: str) -> list[str]:
    """Return the hosts of the other controllers."""
    return [peer for peer in HOSTS if peer != host]


def leader_of(day: Day, shard: int) -> str:
    """Return the host of the controller that leads a shard."""
    return next(host for host, (controller, _) in day.controllers.items() if shard in controller.leaders)


def workers_of(day: Day, host: str) -> list[Worker]:
    """Return the machines of the shards that a host's controller leads."""
    leaders = day.controllers[host][0].leaders.values()
    return [day.site.workers[name] for leader in leaders for name in leader.shard.machines if name in day.site.workers]


def on_machines(day: Day, ref: str) -> list[str]:
    """Return the names of a job's tasks that are on any machine now."""
    return [name for name in day.rules.worker_by_task if name.rpartition("/")[0] == ref]


def cut(day: Day, host: str, peers: list[str], mode: str = "hold") -> Callable[[], None]:
    """Cut the connections between a host and its `peers`; return a function that restores these connections.

    `mode`: "reset" closes connections and refuses new ones; "hold" delivers nothing until the cut is healed.
    """
    for peer in peers:
        day.world.cut(host, peer, mode)
    return lambda: [day.world.heal(host, peer) for peer in peers]


# -- The gap
#
# First, the key-value store refuses the requests of one leader. Then a user asks one of its peers to cancel jobs whose
# tasks run on the leader's machines. Finally, the store is down for all controllers for longer than CANCEL_S. The
# leader can't learn of the cancellations from the store. If no peer can notify it either, the tasks must stop because
# the leader's grace period ends (G in docs/safety.md: how long a leader may act without confirmation of its leadership
# by the store).


def well(day: Day, worker: Worker) -> None:
    """Inject no fault into the machine."""


def hung(day: Day, worker: Worker) -> None:
    """Make the machine unresponsive from before the store refuses its leader until just before its lease expires."""
    worker.unresponsive = True
    day.loop.later(10 * SECOND, lambda: setattr(worker, "unresponsive", False))


def unreachable(day: Day, worker: Worker) -> None:
    """Let the machine's heartbeats arrive, but lose all responses and commands to it."""
    worker.unreachable = True
    day.loop.later(70 * SECOND, lambda: setattr(worker, "unreachable", False))


GAPS = [
    # Each row has the parameters of `play_gap`:
    # - seconds from the first refusal to the cancellations
    # - seconds from the start of the outage until the store no longer refuses the leader
    # - duration of the outage in seconds
    # - the leader's connections to its peers: "whole", "cut", cut and healed during the outage ("returns"), or whole
    #   while the controller that accepted the cancellations crashes ("crash")
    # - the fault of a machine that runs tasks of the jobs
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


def play_gap(
    cancelled_after_s: float, refused_s: float, outage_s: float, mesh: str, machine_fault: Callable[[Day, Worker], None]
) -> Day:
    """Run a day with one row of GAPS until all faults are healed; return the day."""
    day = Day(seed=int(100 * cancelled_after_s + refused_s + outage_s) + len(mesh), machines=9, capacity=0)
    day.run(5)
    refs = ["run-a", "run-b"]
    for ref in refs:
        day.submit(job(ref, heads=18, trek_s=150.0))
    day.submit(job("run-kept", heads=6, trek_s=20.0))
    assert day.run_until(lambda: len(on_machines(day, "run-a")) + len(on_machines(day, "run-b")) >= 30, 20)
    leader = HOSTS[0]
    busy_worker = next(
        worker for worker in workers_of(day, leader) if any(task.ref in refs for task in worker.tasks.values())
    )
    machine_fault(day, busy_worker)
    day.store.refused_hosts.add(leader)
    refused_at = day.loop.now()
    heal = cut(day, leader, peers_of(leader), "reset") if mesh in ("cut", "returns") else lambda: None
    day.run(cancelled_after_s)
    for ref in refs:
        assert day.cancel(ref, host=peers_of(leader)[0]) == "withdrawn"
    if mesh == "crash":
        # The controller that answered the user loses the notices that it would have to resend.
        day.restart(peers_of(leader)[0], 20 * SECOND)
    day.run(max(0.0, 2 - (day.loop.now() - refused_at) / SECOND))
    day.store.outage(True)
    day.loop.later(refused_s * SECOND, lambda: day.store.refused_hosts.discard(leader))
    day.loop.later(outage_s * SECOND, lambda: day.store.outage(False))
    day.run(4)
    if mesh == "returns":
        heal()
    day.run(6)
    reachable_workers = [
        worker for worker in workers_of(day, leader) if not worker.unresponsive and not worker.unreachable
    ]
    tasks = [
        task
        for worker in reachable_workers
        for task in worker.tasks.values()
        if task.ref in refs and task.state != "exited"
    ]
    if mesh != "cut":
        assert not tasks, (
            "a peer notified the leader, which must stop the tasks at once although it can't reach the store"
        )
    elif refused_s < 60:
        assert tasks, "no peer could notify the leader, so the tasks must run until its grace period ends"
    day.run(max(refused_s, outage_s) + 5)
    heal()
    return day


@pytest.mark.parametrize(("cancelled_after_s", "refused_s", "outage_s", "mesh", "machine_fault"), GAPS)
def test_the_gap(
    cancelled_after_s: float, refused_s: float, outage_s: float, mesh: str, machine_fault: Callable
) -> None:
    day = play_gap(cancelled_after_s, refused_s, outage_s, mesh, machine_fault)
    assert day.finish(300) == []
    assert day.rules.broken == []


@pytest.mark.cheats
@pytest.mark.parametrize("guard", ["grace", "watch"])
def test_the_gap_needs_its_bound(guard: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """The rules of the simulated day report a cancelled job that keeps running because the grace period is too long.

    If `guard` is "grace", the grace period is 60 s. If it is "watch", the grace period never ends, since leadership
    always counts as confirmed just now.
    """
    if guard == "grace":
        monkeypatch.setattr("badgerroute.settings.Settings.grace", property(lambda self: 60 * SECOND))
    else:
        monkeypatch.setattr(
            "badgerroute.coordination.leadership.leadership_state.LeadershipState.last_confirmed",
            property(lambda self: self._loop.now()),
        )
    day = play_gap(0.0, 14, 58, "cut", well)
    assert any("ran_cancelled" in text for text in day.rules.broken)


def test_a_lease_renewal_proves_nothing_about_cancellations() -> None:
    """A leader whose watch gets no response counts as unconfirmed, even if its lease is renewed all the time.

    Such a leader can't learn of cancellations, so its tasks must stop when the grace period ends.
    """
    day = Day(seed=21, machines=9, capacity=0)
    day.run(5)
    day.submit(job("run-a", heads=20, trek_s=150.0))
    assert day.run_until(lambda: len(on_machines(day, "run-a")) == 20, 20)
    leader = HOSTS[0]
    controller = day.controllers[leader][0]
    day.store.hosts_without_watches.add(leader)
    heal = cut(day, leader, peers_of(leader), "reset")
    confirmed_before = controller.storage.replica.last_confirmed
    day.run(0.3)
    assert day.cancel("run-a", host=peers_of(leader)[0]) == "withdrawn"
    day.run(12)
    state = controller.leadership_state
    assert state.lease is not None and day.loop.now() - state.lease_confirmed_at < 2 * SECOND
    assert state.last_confirmed <= confirmed_before + SECOND, (
        "the last confirmation must not be later than the last answered watch request"
    )
    day.run(CANCEL_S)
    assert not on_machines(day, "run-a")
    day.store.hosts_without_watches.clear()
    heal()
    assert day.finish() == []
    assert day.rules.broken == []


def test_a_watch_counts_from_when_it_was_asked() -> None:
    """A response to a watch confirms leadership only as of the time at which the watch request was sent."""
    day = Day(seed=22)
    day.run(12)
    replica = day.controllers[HOSTS[0]][0].storage.replica
    ages_s = []  # ages of the confirmations at the arrival of the responses that contain them
    for _ in range(300):
        previous = replica.last_confirmed
        day.run(0.01)
        if replica.last_confirmed != previous:
            ages_s.append((day.loop.now() - replica.last_confirmed) / SECOND)
    assert len(ages_s) >= 2
    assert min(ages_s) >= 0.98, (
        "the store answers a watch after one second without changes; this confirms only the time of the request"
    )


def test_a_long_outage_takes_no_node_from_the_load_balancer() -> None:
    """All controllers stay available to users during an outage of the key-value store.

    Excluding a controller would be of no use: no other controller could serve users better during the outage, and the
    load balancer would exclude the controller for longer than the outage lasts.
    """
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
    """Notices of cancellations are sent to each peer repeatedly until it acknowledges them or they are too old.

    They are too old once more than CANCEL_S has passed since the cancellation.
    """
    day = Day(seed=23)
    sent: list[tuple[str, list]] = []

    class Messenger:
        @staticmethod
        def send(host: str, message: CancellationNotice) -> None:
            sent.append((host, message.jobs))

    broadcast = CancellationBroadcast(day.loop, "me", ["one", "two"], Messenger(), CANCEL_S * SECOND)
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
    assert sent == [], "notices older than CANCEL_S must not be sent"


# -- The other meetings. Each is a generator that injects faults and yields for how many seconds the day runs next.


def held_report(day: Day) -> Iterator[float]:
    """Heartbeats are held up in the network until their shard has a new leader, which receives them late."""
    crashed = HOSTS[1]
    heals = [
        cut(day, worker.name, [host for host in HOSTS if host != crashed]) for worker in workers_of(day, crashed)[:2]
    ]
    yield 1
    day.restart(crashed, 40 * SECOND)
    yield 9
    for heal in heals:
        heal()
    day.replay_heartbeats(30)
    yield 10


def mute_machines(day: Day) -> Iterator[float]:
    """Four workers can't send heartbeats but still receive commands. A controller restarts meanwhile."""
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
    """New machines boot quickly and get tasks while writes are applied late, and each controller restarts."""
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
    """Teams are at their limits, jobs are cancelled on cut-off and unresponsive machines, and a leader crashes."""
    for number in range(4):
        day.submit(job(f"run-l{number}", heads=40, crew=("blue", "red")[number % 2], trek_s=40.0))
    yield 6
    faulty_workers = day.random.sample(list(day.site.workers.values()), 4)
    heals = [cut(day, worker.name, HOSTS) for worker in faulty_workers[:2]]
    faulty_workers[2].unresponsive = faulty_workers[3].unresponsive = True
    yield 0.5
    for number in range(2):
        day.group.spawn(day.polling_users.cancel(f"run-l{number}"), "user")
    yield 0.5
    day.restart(HOSTS[2], 6 * SECOND)
    yield 9
    faulty_workers[2].unresponsive = faulty_workers[3].unresponsive = False
    yield 8
    for heal in heals:
        heal()
    yield 5


def far_ends(day: Day) -> Iterator[float]:
    """Small jobs run while every leader restarts. Two tasks of the same job can have end times up to 29 s apart."""
    number_of_job = {f"run-f{number}": number for number in range(6)}
    original_run_time = day.site.run_time
    day.site.run_time = lambda ref: (
        original_run_time(ref) if ref not in number_of_job else day.random.choice((1.0, 14.0, 30.0))
    )
    for ref, number in number_of_job.items():
        day.submit(job(ref, heads=2 + number % 2, trek_s=14.0))
        day.group.spawn(day.polling_users.poll_at_completion(ref, cancelled=number == 5), "user")
    yield 8
    for host in HOSTS:
        day.restart(host, 2 * SECOND)
        yield 7


def one_task_jobs(day: Day) -> Iterator[float]:
    """Every second, users submit four jobs with one task each and cancel one of the four. A controller restarts."""
    for number in range(120):
        description = job(f"run-o{number}", heads=1, trek_s=3.0, brand=f"img-{number % 3}")
        day.group.spawn(day.polling_users.submit(description, cancelled=number % 4 == 0), "user")
        if number == 60:
            day.restart(HOSTS[0], 2 * SECOND)
        yield 0.25


def unheard_leader(day: Day) -> Iterator[float]:
    """A leader crashes while one machine with long tasks is cut off and two others receive no responses or commands."""
    yield 24  # until other machines have room for the tasks that the faulty machines will lose
    day.submit(job("run-long", crew="guests", heads=45, trek_s=60.0))
    yield 8
    crashed = HOSTS[0]
    workers = workers_of(day, crashed)
    heal = cut(day, workers[0].name, HOSTS)
    # Otherwise, the leader would delete the machines instead of waiting until their leases expire.
    day.site.cloud_down = True
    for worker in workers[1:3]:
        worker.unreachable = True
    yield 0.3
    day.restart(crashed, 25 * SECOND)
    yield 14
    heal()
    day.site.cloud_down = False
    for worker in workers[1:3]:
        worker.unreachable = False
    yield 10


def reports_at_takeover(day: Day) -> Iterator[float]:
    """Copies of old heartbeats reach random controllers while a new leader takes over a shard."""
    day.restart(HOSTS[1], 30 * SECOND)
    for _ in range(14):
        yield 0.45
        day.replay_heartbeats(6)
    yield 5


def returns_at_once(day: Day) -> Iterator[float]:
    """A peer takes over a shard and hands it back; then all controllers crash, and one returns within half a second."""
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
    """All controllers are down for 15 to 19 s, which is longer than a machine's lease of 11 s."""
    for host in HOSTS:
        day.restart(host, timedelta(seconds=day.random.uniform(15, 19)))
    yield 24


def close_looks(day: Day) -> Iterator[float]:
    """Users poll all controllers within milliseconds after a job was accepted, completed or cancelled.

    They cancel some jobs right after these were accepted, and others right after these were completed.
    """
    for number in range(12):
        description = job(f"run-c{number}", heads=1 + number % 3, trek_s=2.0)
        day.group.spawn(day.polling_users.submit(description, cancelled=number % 3 == 0), "user")
        if number % 3:
            day.group.spawn(day.polling_users.poll_at_completion(description["ref"], cancelled=number % 3 == 1), "user")
        yield 1
    yield 6


def more_than_room(day: Day) -> Iterator[float]:
    """Jobs of several priorities need more processors than the machines have, while the network is slow.

    A controller restarts meanwhile.
    """
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
    """The key-value store is slow, then refuses one controller, and then is down for all for longer than CANCEL_S."""
    day.store.delay_factor = 40.0
    yield 3
    day.store.refused_hosts.add(HOSTS[1])
    for ref in ("run-a0", "run-g0"):
        day.group.spawn(day.polling_users.cancel(ref), "user")
    day.group.spawn(day.polling_users.submit(job("run-new", heads=3)), "user")
    yield 6
    day.store.outage(True)
    yield CANCEL_S + 9
    day.store.outage(False)
    day.store.delay_factor = 1.0
    day.store.refused_hosts.clear()
    yield 6


def answers_lost(day: Day) -> Iterator[float]:
    """The store applies transactions, but its responses are lost. Other controllers read what was written."""
    for number in range(8):
        day.store.answers_to_drop = 3
        description = job(f"run-d{number}", heads=2, trek_s=1.0)
        day.group.spawn(day.polling_users.submit(description, cancelled=number % 2 == 0), "user")
        day.group.spawn(day.polling_users.poll_at_completion(description["ref"], cancelled=number % 4 == 1), "user")
        yield 2
    day.store.answers_to_drop = 0
    yield 10


def held_commands(day: Day) -> Iterator[float]:
    """For 6 s, one machine is unresponsive and another is cut off, which delays their commands and responses."""
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
    """Old heartbeats arrive again after newer ones.

    Some are from earlier incarnations of machines and list earlier attempts of tasks.
    """
    cut_off = day.random.sample(list(day.site.workers.values()), 2)
    heals = [cut(day, worker.name, HOSTS, "reset") for worker in cut_off]
    yield 13
    for heal in heals:
        heal()
    for _ in range(4):
        yield 3
        day.replay_heartbeats(20)
        day.replay_heartbeats(10, {worker.name for worker in cut_off})


def alone_with_workers(day: Day) -> Iterator[float]:
    """A leader is cut off from the key-value store and its peers, but not from its workers and users.

    Users cancel jobs at this leader and at its peers.
    """
    host = HOSTS[1]
    heal = cut(day, host, [f"state-{host}", *peers_of(host)])
    yield 1
    for ref, contacted_host in (("run-a1", HOSTS[0]), ("run-b1", HOSTS[2]), ("run-g1", host)):
        day.group.spawn(day.polling_users.cancel(ref, host=contacted_host), "user")
    yield CANCEL_S
    heal()
    yield 6


def cancelled_in_hand_over(day: Day) -> Iterator[float]:
    """Users cancel jobs during the seconds in which a controller's shard moves to a peer and back."""
    day.submit(job("run-x0", heads=8, trek_s=60.0))
    day.submit(job("run-x1", heads=8, trek_s=60.0, crew="red"))
    yield 3
    day.restart(HOSTS[0], 5 * SECOND)
    for turn, ref in enumerate(("run-a0", "run-x0", "run-b0", "run-x1", "run-g0")):
        yield (3.2, 0.7, 0.5, 1.6, 2.2)[turn]
        day.group.spawn(day.polling_users.cancel(ref), "user")
    yield 8


def zone_loses_machines(day: Day) -> Iterator[float]:
    """A zone loses all but one of its machines, while arrays and a gang run that may run in this zone only."""
    for number in range(3):
        day.submit(job(f"run-y{number}", heads=8, pasture="b", strays=False, trek_s=8.0, together=number == 1))
    day.submit(job("run-yg", gait="group", heads=2, cpus=5.0, pasture="b", trek_s=8.0))
    yield 4
    inside = [worker.name for worker in day.site.workers.values() if worker.zone == "b"]
    for name in inside[:-1]:
        day.site.remove_worker(name)
    yield 3
    day.restart(HOSTS[2], SECOND)
    yield 5


def ten_leaders(day: Day) -> Iterator[float]:
    """Controllers restart ten times within two minutes, twice during an outage of the key-value store."""
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
    """A zone with its workers and one controller is cut off for 41 s, longer than a machine's lease."""
    inside = [HOSTS[0], *(name for name, worker in day.site.workers.items() if worker.zone == "a")]
    outside = [name for name in (*HOSTS, *day.site.workers, "cloud") if name not in inside]
    heals = [cut(day, name, outside) for name in inside] + [cut(day, HOSTS[0], [f"state-{HOSTS[0]}"])]
    yield 1
    for ref in ("run-a0", "run-b2"):
        day.group.spawn(day.polling_users.cancel(ref, host=HOSTS[1]), "user")
    yield CANCEL_S + 4
    for heal in heals:
        heal()
    yield 5


def writes_late(day: Day) -> Iterator[float]:
    """Some transactions time out, but the store still applies them later, after newer ones of the same controller."""
    day.store.late_write_probability = 0.3
    for number in range(8):
        description = job(f"run-w{number}", heads=3, trek_s=3.0)
        day.group.spawn(day.polling_users.submit(description, cancelled=number % 3 == 0), "user")
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
    """Return a day on which arrays of normal and low priority and urgent gangs run."""
    day = Day(seed=seed, machines=9, capacity=capacity, objectives=[Objective("wait", 0.9, "batch", within_s=20.0)])
    day.run(5)
    for number in range(3):
        day.submit(job(f"run-a{number}", heads=12, trek_s=20.0))
        day.submit(job(f"run-b{number}", heads=6, trek_s=15.0, crew="red", rank="idle", brand=f"img-{number}"))
        day.submit(job(f"run-g{number}", gait="group", heads=2, cpus=4.0, rank="urgent", trek_s=15.0))
    day.run(4)
    return day


def play(day: Day, meeting: Callable[[Day], Iterator[float]]) -> None:
    """Run a meeting to its end: run the day for each number of seconds that the meeting yields."""
    for pause in meeting(day):
        day.run(pause)


@pytest.mark.parametrize("meeting", MEETINGS, ids=lambda meeting: meeting.__name__)
def test_meeting(meeting: Callable[[Day], Iterator[float]]) -> None:
    day = start(sum(meeting.__name__.encode()))
    play(day, meeting)
    assert day.finish(300) == []
    assert day.rules.broken == []
