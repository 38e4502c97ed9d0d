"""Troubles of the later deployments: controllers that stand still, guests, users' mistakes, many askers."""

import itertools
import json
from collections.abc import Callable

import pytest

from badgerroute.coordination.jobs.progress_writer import Progress, ProgressWriter
from badgerroute.settings import Objective
from badgerroute.transport.http import Client, NoAnswerError
from tests.standins.day import HOSTS, SECOND, Day, job


@pytest.mark.parametrize("resets", [True, False])
def test_a_controller_that_was_paused_gets_its_shard_back(resets: bool) -> None:
    """Its peers gave up its connections meanwhile. Whether a write tells it so depends on the network between."""
    day = Day(seed=11)
    day.world.resets = resets
    day.run(5)
    day.loop.pause_host(HOSTS[0], 26)
    day.run(26)
    leaders = day.controllers[HOSTS[0]][0].leaders
    assert day.run_until(lambda: 0 not in leaders, 2), "it learns that its claim went"
    assert day.run_until(lambda: 0 in leaders, 15), "its shard comes home"
    day.submit(job("run-a", heads=12))
    assert day.finish() == []
    assert day.rules.broken == []


def test_a_team_without_a_limit_is_served() -> None:
    """A guest team has no guarantee, and its limit is given as 0: the platform's word for none."""
    day = Day(seed=12, machines=8)
    day.run(5)
    assert day.submit(job("run-guest", crew="guests", heads=60, rank="idle", trek_s=20.0)) == 201
    assert day.submit(job("run-gang", crew="guests", gait="group", heads=3, cpus=8.0, trek_s=20.0)) == 201
    assert day.submit(job("run-own", heads=8)) == 201
    guests = lambda: sum(name.startswith("run-g") for name in day.rules.worker_by_task)  # noqa: E731
    assert day.run_until(lambda: guests() >= 40, 40), "nothing holds them back"
    assert day.finish() == []
    assert day.rules.broken == []


def test_mistaken_jobs_cost_no_machines() -> None:
    """Jobs that fail on every machine until they are cancelled. The machines are not to blame, nor the other jobs."""
    day = Day(seed=13, machines=12, capacity=0)
    day.run(5)
    before = set(day.site.workers)
    day.site.failing |= {"run-bad", "run-bad-gang", "run-bad-one"}
    day.submit(job("run-bad", heads=80, brand="img-2"))
    day.submit(job("run-bad-gang", gait="group", heads=3, cpus=4.0, rank="urgent"))
    day.submit(job("run-bad-one", heads=1, rank="urgent"))
    day.run(10)
    tries = len(day.rules.events)
    for number in range(6):
        day.submit(job(f"run-{number}", heads=10))
        day.run(8)
    for ref in day.site.failing:
        assert day.cancel(ref) == "withdrawn"
    assert day.finish() == []
    assert before <= set(day.site.workers), "no machine was given up"
    failed = [name for name, at, what in day.rules.events if what == "start"]
    assert tries and len(failed) < 400
    assert day.rules.broken == []


def test_many_polls_are_one_question_to_the_state_service() -> None:
    day = Day(seed=14)
    day.run(5)
    day.submit(job("run-a", heads=40, trek_s=30.0))
    state = day.controllers[HOSTS[0]][0].storage.store
    before = state.requests
    polls = [day.loop.spawn(_poll(day, HOSTS[0], "run-a"), "poll") for _ in range(200)]
    day.run(1)
    assert {one.result for one in polls} <= {"queued", "running"}
    assert state.requests - before < 30


@pytest.mark.parametrize("cut", [False, True])
def test_a_poll_is_never_older_than_what_another_controller_told(cut: bool) -> None:
    """The peers' pushes may be lost, so a controller must ask how far the key-value store is."""
    day = Day(seed=15)
    day.run(5)
    if cut:
        for number, host in enumerate(HOSTS):
            for other in HOSTS[:number]:
                day.world.cut(host, other, "reset")
    refs = [f"run-{number}" for number in range(6)]
    for ref in refs:
        day.submit(job(ref, heads=20, trek_s=30.0))
    day.run(1)
    for ref in refs:  # in a row, so that the watch has just been answered and pauses
        assert day.cancel(ref) == "withdrawn"
        for host in HOSTS:
            assert day.poll(ref, host) == "withdrawn"
    assert day.rules.broken == []


async def _poll(day: Day, host: str, ref: str) -> str:
    client = Client(day.loop, day.user, f"{host}:8080")
    response = await client.request("GET", f"/v1/jobs/{ref}", b"", SECOND * 5, fresh=True)
    client.drop()
    return json.loads(response.body)["condition"]


def cut_from_workers(day: Day, host: str, mode: str) -> Callable[[], None]:
    names = list(day.site.workers)
    for name in names:
        day.world.cut(host, name, mode)

    def heal() -> None:
        for name in names:
            day.world.heal(host, name)

    return heal


@pytest.mark.parametrize("mode", ["reset", "hold"])
@pytest.mark.parametrize("seed", [16, 17, 18])
def test_a_controller_cut_from_its_workers_gives_its_shard_away(seed: int, mode: str) -> None:
    """Else it keeps its leadership, since the store answers it, and all its machines let go of their tasks."""
    day = Day(seed=seed, machines=24, capacity=0)
    day.run(5)
    day.submit(job("run-long", heads=30, trek_s=50.0))
    day.run(8)
    incarnations = {name: worker.incarnation for name, worker in day.site.workers.items()}
    host = HOSTS[seed % 3]
    heal = cut_from_workers(day, host, mode)
    day.run(20)
    assert day.controllers[host][0].leaders == {}, "nor is it given back before it reaches a worker"
    ended = [name for name, worker in day.site.workers.items() if worker.incarnation != incarnations.get(name)]
    assert len(ended) <= 1, "hardly a lease ran out"
    heal()
    leaders = day.controllers[host][0].leaders
    assert day.run_until(lambda: len(leaders) == 1, 20), "its shard comes home"
    assert day.finish() == []
    assert day.rules.broken == []


def test_silent_machines_alone_move_no_shard() -> None:
    """Half of a shard's machines lose the network: that is their trouble, not their leader's."""
    day = Day(seed=19, machines=24, capacity=0)
    day.run(5)
    shard = day.controllers[HOSTS[0]][0].leaders[0].shard
    terms = {shard.number: shard.term}
    names = list(shard.machines)[: len(shard.machines) * 2 // 3]
    for name in names:
        for host in HOSTS:
            day.world.cut(host, name, "hold")
    day.run(9)
    leaders = day.controllers[HOSTS[0]][0].leaders
    assert {number: leader.shard.term for number, leader in leaders.items()} == terms
    for name in names:
        for host in HOSTS:
            day.world.heal(host, name)
    day.submit(job("run-a", heads=30))
    assert day.finish() == []
    assert day.rules.broken == []


def test_machines_that_boot_slowly_are_waited_for() -> None:
    """All take seven times as long as the catalog says: given up by their age alone, none would ever come."""
    day = Day(seed=20, machines=0, capacity=4)
    day.site.boot_factor = 7.0
    day.run(4)
    day.submit(job("run-a", heads=8))
    assert day.run_until(lambda: len(day.site.workers) >= 4, 60)
    assert day.finish() == []
    assert day.rules.broken == []


def test_a_machine_that_never_boots_is_replaced() -> None:
    """One that others overtook is given up, so that it does not cost for ever."""
    day = Day(seed=21, machines=0, capacity=4)
    day.site.machines_that_never_boot = 2
    day.run(4)
    stuck = set(day.site.booting)
    day.submit(job("run-a", heads=30, trek_s=60.0))
    assert day.run_until(
        lambda: len(stuck & set(day.site.booting)) <= len(stuck) - 2 and len(day.site.workers) >= 4, 70
    )
    assert day.run_until(lambda: not {name for name in stuck if name in day.site.booting}, 70)
    assert day.finish() == []
    assert day.rules.broken == []


def test_what_a_dead_controller_can_not_use_serves_the_others() -> None:
    day = Day(seed=22)
    day.run(10)
    states = {host: controller.storage.store for host, (controller, _) in day.controllers.items()}
    full = states[HOSTS[0]].rates.change_limiter.rate
    day.crash(HOSTS[2])
    day.run(3)
    assert states[HOSTS[0]].rates.change_limiter.rate == full, "it may come back at once"
    assert day.run_until(lambda: states[HOSTS[0]].rates.change_limiter.rate == 1.5 * full, 15)
    day.start(HOSTS[2])
    assert day.run_until(lambda: states[HOSTS[0]].rates.change_limiter.rate == full, 3), "and shares again"
    for number, host in enumerate(HOSTS):  # only unheard: each holds its leadership
        for other in HOSTS[:number]:
            day.world.cut(host, other, "reset")
    day.run(20)
    assert states[HOSTS[0]].rates.change_limiter.rate == full


def test_a_machine_that_joined_somebody_else_is_not_deleted() -> None:
    """A controller that had given it up was paused meanwhile, and came back with a lease of its own."""
    day = Day(seed=23)
    day.run(5)
    mine, other = (day.controllers[host][0] for host in HOSTS[:2])
    theirs = next(iter(other.leaders[1].shard.machines))
    own = next(iter(mine.leaders[0].shard.machines))
    mine.autoscaling.deletion_queue.delete([theirs, own])
    day.run(3)
    assert theirs in day.site.workers and own not in day.site.workers


def test_what_is_late_first_is_written_first(monkeypatch: pytest.MonkeyPatch) -> None:
    """Of many jobs that end together."""
    day = Day(seed=24, machines=9, objectives=[Objective("finished", 0.9, "soon", within_s=60.0)])
    day.run(5)
    batches: list[list[str]] = []
    real = ProgressWriter.write_progress

    async def write(self: ProgressWriter, batch: list[Progress], election: object) -> None:
        complete = [one.ref for one in batch if one.done.bit_count() == 1]
        batches.append(complete)
        await real(self, batch, election)

    monkeypatch.setattr(ProgressWriter, "write_progress", write)
    for number in range(24):
        day.submit(job(f"run-{number}", heads=1, herd="soon" if number % 4 == 3 else "batch", trek_s=8.0))
    assert day.finish() == []
    mixed = 0
    for batch in batches:
        classes = [day.site.jobs[ref]["herd"] for ref in batch]
        assert classes == sorted(classes, reverse=True), "soon comes before batch"
        mixed += len(set(classes)) == 2
    assert mixed
    assert day.rules.broken == []


def late_writes(day: Day) -> None:
    day.store.late_write_probability = 0.3
    day.loop.later(25 * SECOND, lambda: setattr(day.store, "late_write_probability", 0.0))


def cut_from_state_and_siblings(day: Day) -> None:
    """It goes on with its workers and users for a while; jobs are cancelled through the others."""
    host = day.random.choice(HOSTS)
    others = [f"state-{host}", *(one for one in HOSTS if one != host)]
    for other in others:
        day.world.cut(host, other, "hold")
        day.loop.later(30 * SECOND, lambda other=other: day.world.heal(host, other))


def refused_alone_then_an_outage(day: Day) -> None:
    """Longer than a cancellation has, while users cancel and ask."""
    day.store.refused_hosts.add(f"{day.random.choice(HOSTS)}")
    day.loop.later(8 * SECOND, lambda: day.store.outage(True))
    day.loop.later(50 * SECOND, lambda: (day.store.outage(False), day.store.refused_hosts.clear()))


def hand_overs(day: Day) -> None:
    """Cut from its workers, its shards go; then it ends, and is back within a fraction of a second."""
    host = day.random.choice(HOSTS)
    heal = cut_from_workers(day, host, "hold")
    day.loop.later(9 * SECOND, lambda: day.restart(host, SECOND / 5))
    day.loop.later(16 * SECOND, heal)


def standstill(day: Day) -> None:
    day.loop.later(2 * SECOND, lambda: day.loop.pause_host(day.random.choice(HOSTS), 9))


def deaf_and_hung(day: Day) -> None:
    """Machines that don't hear, and machines that don't move, when their leader ends."""
    workers = day.random.sample(list(day.site.workers.values()), 3)
    workers[0].unreachable = workers[1].unresponsive = workers[2].unresponsive = True

    def heal() -> None:
        workers[0].unreachable = workers[1].unresponsive = workers[2].unresponsive = False

    day.loop.later(SECOND, lambda: day.restart(day.random.choice(HOSTS), 5 * SECOND))
    day.loop.later(8 * SECOND, heal)


def old_reports(day: Day) -> None:
    for after in range(2, 26, 3):
        day.loop.later(after * SECOND, lambda: day.group.spawn(_copies(day), "copies"))


async def _copies(day: Day) -> None:
    old = list(day.site.sent_heartbeats)
    for _, body in day.random.sample(old, min(15, len(old))):
        client = Client(day.loop, day.user, f"{day.random.choice(HOSTS)}:8080")
        try:
            await client.request("POST", "/checkin", body, SECOND * 2, fresh=True)
        except NoAnswerError:
            pass
        finally:
            client.drop()


TROUBLES = [
    late_writes,
    cut_from_state_and_siblings,
    refused_alone_then_an_outage,
    hand_overs,
    standstill,
    deaf_and_hung,
    old_reports,
]


@pytest.mark.parametrize(("one", "other"), list(itertools.combinations(TROUBLES, 2)), ids=lambda fault: fault.__name__)
def test_two_troubles_at_once(one: Callable[[Day], None], other: Callable[[Day], None]) -> None:
    """Most rules that were ever broken broke when two troubles met."""
    day = Day(seed=sum((one.__name__ + other.__name__).encode()), machines=8)
    day.run(5)
    for number in range(4):
        day.submit(job(f"run-a{number}", heads=12, trek_s=15.0, spread=number == 3))
        day.submit(job(f"run-g{number}", gait="group", heads=2 + number % 2, cpus=4.0, trek_s=20.0, rank="urgent"))
    day.run(4)
    one(day)
    day.run(3)
    other(day)
    day.submit(job("run-late", heads=6), tries=3)
    day.run(4)
    day.cancel("run-a1", tries=60)
    day.cancel("run-g2", tries=60)
    day.run(50)
    assert day.finish(400) == []
    assert day.rules.broken == []
