"""Simulated runs of a whole cluster with faults and loads that occurred in operation.

Among them are paused controllers, a team without a limit, jobs that fail on every machine, and many simultaneous polls.
"""

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
    """A controller that is paused for 26 s loses its shard and must get it back after the pause.

    Its peers have closed their connections to it by the end of the pause. If `resets` is true, data that it sends on
    such a connection causes a reset. Otherwise the data is lost without an error, and the controller must
    detect by itself that the connection is dead.
    """
    day = Day(seed=11)
    day.world.resets = resets
    day.run(5)
    day.loop.pause_host(HOSTS[0], 26)
    day.run(26)
    leaders = day.controllers[HOSTS[0]][0].leaders
    assert day.run_until(lambda: 0 not in leaders, 2), "the controller must learn that it lost its leadership"
    assert day.run_until(lambda: 0 in leaders, 15), "the shard must return to its home controller"
    day.submit(job("run-a", heads=12))
    assert day.finish() == []
    assert day.rules.broken == []


def test_a_team_without_a_limit_is_served() -> None:
    """A team without a guarantee has the limit 0 in the settings, which means that it has no limit.

    The team's jobs must be accepted and started. If 0 were read as a limit of 0 CPUs, all of them would be refused.
    """
    day = Day(seed=12, machines=8)
    day.run(5)
    assert day.submit(job("run-guest", crew="guests", heads=60, rank="idle", trek_s=20.0)) == 201
    assert day.submit(job("run-gang", crew="guests", gait="group", heads=3, cpus=8.0, trek_s=20.0)) == 201
    assert day.submit(job("run-own", heads=8)) == 201
    running_guest_tasks = lambda: sum(name.startswith("run-g") for name in day.rules.worker_by_task)  # noqa: E731
    assert day.run_until(lambda: running_guest_tasks() >= 40, 40), "the team's tasks must not be held back by a limit"
    assert day.finish() == []
    assert day.rules.broken == []


def test_mistaken_jobs_cost_no_machines() -> None:
    """Jobs that fail on every machine until they are cancelled must not cause the deletion of machines.

    The machines are healthy, so other jobs must complete on them. Failing jobs must be retried so rarely that
    there are fewer than 400 starts of tasks in all.
    """
    day = Day(seed=13, machines=12, capacity=0)
    day.run(5)
    initial_machines = set(day.site.workers)
    day.site.failing |= {"run-bad", "run-bad-gang", "run-bad-one"}
    day.submit(job("run-bad", heads=80, brand="img-2"))
    day.submit(job("run-bad-gang", gait="group", heads=3, cpus=4.0, rank="urgent"))
    day.submit(job("run-bad-one", heads=1, rank="urgent"))
    day.run(10)
    early_events = len(day.rules.events)
    for number in range(6):
        day.submit(job(f"run-{number}", heads=10))
        day.run(8)
    for ref in day.site.failing:
        assert day.cancel(ref) == "withdrawn"
    assert day.finish() == []
    assert initial_machines <= set(day.site.workers), "healthy machines must not be deleted"
    starts = [machine for machine, seconds, event in day.rules.events if event == "start"]
    assert early_events and len(starts) < 400
    assert day.rules.broken == []


def test_many_polls_are_one_question_to_the_state_service() -> None:
    """Polls that arrive at the same time share one request for the key-value store's current revision.

    If each of the 200 polls made a request, these would use up the controller's rate limit for the store.
    """
    day = Day(seed=14)
    day.run(5)
    day.submit(job("run-a", heads=40, trek_s=30.0))
    store = day.controllers[HOSTS[0]][0].storage.store
    requests_before = store.requests
    polls = [day.loop.spawn(_poll(day, HOSTS[0], "run-a"), "poll") for _ in range(200)]
    day.run(1)
    assert {poll.result for poll in polls} <= {"queued", "running"}
    assert store.requests - requests_before < 30


@pytest.mark.parametrize("peers_cut_off", [False, True])
def test_a_poll_is_never_older_than_what_another_controller_told(peers_cut_off: bool) -> None:
    """Once one controller has reported a job as cancelled, the next answer of every controller must do so too.

    Controllers notify each other of changes, but can't rely on it: these messages may be lost, and all of them are lost
    with `peers_cut_off`. Before a controller answers a poll, it must therefore request the key-value store's current
    revision and wait until its replica has reached that revision.
    """
    day = Day(seed=15)
    day.run(5)
    if peers_cut_off:
        for number, host in enumerate(HOSTS):
            for other in HOSTS[:number]:
                day.world.cut(host, other, "reset")
    refs = [f"run-{number}" for number in range(6)]
    for ref in refs:
        day.submit(job(ref, heads=20, trek_s=30.0))
    day.run(1)
    for ref in refs:  # without a pause, so that some cancellations occur between two watch requests
        assert day.cancel(ref) == "withdrawn"
        for host in HOSTS:
            assert day.poll(ref, host) == "withdrawn"
    assert day.rules.broken == []


async def _poll(day: Day, host: str, ref: str) -> str:
    """Return a job's condition as one controller reports it."""
    client = Client(day.loop, day.user, f"{host}:8080")
    response = await client.request("GET", f"/v1/jobs/{ref}", b"", SECOND * 5, fresh=True)
    client.drop()
    return json.loads(response.body)["condition"]


def cut_from_workers(day: Day, host: str, mode: str) -> Callable[[], None]:
    """Cut the links between a controller and all machines; return a function that restores these links."""
    machines = list(day.site.workers)
    for machine in machines:
        day.world.cut(host, machine, mode)

    def heal() -> None:
        for machine in machines:
            day.world.heal(host, machine)

    return heal


@pytest.mark.parametrize("mode", ["reset", "hold"])
@pytest.mark.parametrize("seed", [16, 17, 18])
def test_a_controller_cut_from_its_workers_gives_its_shard_away(seed: int, mode: str) -> None:
    """A controller that reaches the key-value store but none of its workers must transfer its shard to a peer.

    Otherwise it would keep its leadership, since the store still answers it. The leases of the shard's machines would
    expire, and the machines would discard their tasks.
    """
    day = Day(seed=seed, machines=24, capacity=0)
    day.run(5)
    day.submit(job("run-long", heads=30, trek_s=50.0))
    day.run(8)
    incarnations = {name: worker.incarnation for name, worker in day.site.workers.items()}
    host = HOSTS[seed % 3]
    heal = cut_from_workers(day, host, mode)
    day.run(20)
    assert day.controllers[host][0].leaders == {}, "the controller must get no shard back while it reaches no worker"
    reset_machines = [name for name, worker in day.site.workers.items() if worker.incarnation != incarnations.get(name)]
    assert len(reset_machines) <= 1, "the lease of at most one machine is allowed to expire"
    heal()
    leaders = day.controllers[host][0].leaders
    assert day.run_until(lambda: len(leaders) == 1, 20), "the shard must return to its home controller"
    assert day.finish() == []
    assert day.rules.broken == []


def test_silent_machines_alone_move_no_shard() -> None:
    """A shard must not be transferred because two thirds of its machines are cut off from all controllers.

    The leader's own links are not the cause. A transfer would be of no use, since no other controller reaches these
    machines either.
    """
    day = Day(seed=19, machines=24, capacity=0)
    day.run(5)
    shard = day.controllers[HOSTS[0]][0].leaders[0].shard
    initial_terms = {shard.number: shard.term}
    silent_machines = list(shard.machines)[: len(shard.machines) * 2 // 3]
    for name in silent_machines:
        for host in HOSTS:
            day.world.cut(host, name, "hold")
    day.run(9)
    leaders = day.controllers[HOSTS[0]][0].leaders
    assert {number: leader.shard.term for number, leader in leaders.items()} == initial_terms
    for name in silent_machines:
        for host in HOSTS:
            day.world.heal(host, name)
    day.submit(job("run-a", heads=30))
    assert day.finish() == []
    assert day.rules.broken == []


def test_machines_that_boot_slowly_are_waited_for() -> None:
    """Machines that take seven times as long to boot as the catalog says must not be deleted while they boot.

    The short provisioning timeout applies to a machine only if another one that was rented later is already up. If it
    applied to all machines, each would be deleted before it has booted.
    """
    day = Day(seed=20, machines=0, capacity=4)
    day.site.boot_factor = 7.0
    day.run(4)
    day.submit(job("run-a", heads=8))
    assert day.run_until(lambda: len(day.site.workers) >= 4, 60)
    assert day.finish() == []
    assert day.rules.broken == []


def test_a_machine_that_never_boots_is_replaced() -> None:
    """Two of the rented machines never boot. They must be deleted once machines that were rented later are up.

    Otherwise the two machines would cost money forever.
    """
    day = Day(seed=21, machines=0, capacity=4)
    day.site.machines_that_never_boot = 2
    day.run(4)
    first_rented = set(day.site.booting)
    day.submit(job("run-a", heads=30, trek_s=60.0))
    assert day.run_until(
        lambda: len(first_rented & set(day.site.booting)) <= len(first_rented) - 2 and len(day.site.workers) >= 4, 70
    )
    assert day.run_until(lambda: not {name for name in first_rented if name in day.site.booting}, 70)
    assert day.finish() == []
    assert day.rules.broken == []


def test_what_a_dead_controller_can_not_use_serves_the_others() -> None:
    """Three controllers share the key-value store's rate limits. A dead controller's portion must go to the other two.

    A controller that is still running keeps its portion, even if its peers can't reach it.
    """
    day = Day(seed=22)
    day.run(10)
    stores = {host: controller.storage.store for host, (controller, _) in day.controllers.items()}
    normal_rate = stores[HOSTS[0]].rates.change_limiter.rate
    day.crash(HOSTS[2])
    day.run(3)
    assert stores[HOSTS[0]].rates.change_limiter.rate == normal_rate, (
        "the portions must not change at once, since the crashed controller may restart soon"
    )
    assert day.run_until(lambda: stores[HOSTS[0]].rates.change_limiter.rate == 1.5 * normal_rate, 15)
    day.start(HOSTS[2])
    assert day.run_until(lambda: stores[HOSTS[0]].rates.change_limiter.rate == normal_rate, 3), (
        "the restarted controller must have its portion again"
    )
    # From here on, the controllers can't reach each other, but each keeps its leadership.
    for number, host in enumerate(HOSTS):
        for other in HOSTS[:number]:
            day.world.cut(host, other, "reset")
    day.run(20)
    assert stores[HOSTS[0]].rates.change_limiter.rate == normal_rate


def test_a_machine_that_joined_somebody_else_is_not_deleted() -> None:
    """A controller must not delete a machine that belongs to another controller's shard.

    Its deletion queue may contain such a machine. This happens if the controller queues a machine, its process is then
    paused, another controller registers the machine, and the first controller resumes with a new lease.
    """
    day = Day(seed=23)
    day.run(5)
    controller, peer = (day.controllers[host][0] for host in HOSTS[:2])
    peer_machine = next(iter(peer.leaders[1].shard.machines))
    own_machine = next(iter(controller.leaders[0].shard.machines))
    controller.autoscaling.deletion_queue.delete([peer_machine, own_machine])
    day.run(3)
    assert peer_machine in day.site.workers and own_machine not in day.site.workers


def test_what_is_late_first_is_written_first(monkeypatch: pytest.MonkeyPatch) -> None:
    """Of many jobs that complete at the same time, those closest to their deadline are recorded first.

    Jobs of class `soon` should finish within 60 s; jobs of class `batch` have no deadline. Each job has one task.
    """
    day = Day(seed=24, machines=9, objectives=[Objective("finished", 0.9, "soon", within_s=60.0)])
    day.run(5)
    batches: list[list[str]] = []
    original = ProgressWriter.write_progress

    async def write(self: ProgressWriter, batch: list[Progress], leadership_condition: object) -> None:
        completed = [progress.ref for progress in batch if progress.done.bit_count() == 1]
        batches.append(completed)
        await original(self, batch, leadership_condition)

    monkeypatch.setattr(ProgressWriter, "write_progress", write)
    for number in range(24):
        day.submit(job(f"run-{number}", heads=1, herd="soon" if number % 4 == 3 else "batch", trek_s=8.0))
    assert day.finish() == []
    batches_with_both_classes = 0
    for batch in batches:
        classes = [day.site.jobs[ref]["herd"] for ref in batch]
        assert classes == sorted(classes, reverse=True), "jobs of class soon must be written before jobs of class batch"
        batches_with_both_classes += len(set(classes)) == 2
    assert batches_with_both_classes
    assert day.rules.broken == []


def late_writes(day: Day) -> None:
    """For 25 s, apply 30 % of the key-value store's transactions only after the client's request has timed out."""
    day.store.late_write_probability = 0.3
    day.loop.later(25 * SECOND, lambda: setattr(day.store, "late_write_probability", 0.0))


def cut_from_state_and_siblings(day: Day) -> None:
    """Cut a controller off from the key-value store and from its peers for 30 s.

    For a while, the controller continues to serve its workers and users. Meanwhile, users cancel jobs with requests to
    the peers.
    """
    host = day.random.choice(HOSTS)
    cut_hosts = [f"state-{host}", *(peer for peer in HOSTS if peer != host)]
    for cut_host in cut_hosts:
        day.world.cut(host, cut_host, "hold")
        day.loop.later(30 * SECOND, lambda cut_host=cut_host: day.world.heal(host, cut_host))


def refused_alone_then_an_outage(day: Day) -> None:
    """Have the key-value store refuse one controller's requests, and after 8 s the requests of all controllers.

    The outage of 42 s exceeds the 36 s within which a cancellation must take effect. Users cancel and poll meanwhile.
    """
    day.store.refused_hosts.add(f"{day.random.choice(HOSTS)}")
    day.loop.later(8 * SECOND, lambda: day.store.outage(True))
    day.loop.later(50 * SECOND, lambda: (day.store.outage(False), day.store.refused_hosts.clear()))


def hand_overs(day: Day) -> None:
    """Cut a controller off from its workers for 16 s, so that it transfers its shards.

    Kill its process 9 s after the cut and start it again 0.2 s later.
    """
    host = day.random.choice(HOSTS)
    heal = cut_from_workers(day, host, "hold")
    day.loop.later(9 * SECOND, lambda: day.restart(host, SECOND / 5))
    day.loop.later(16 * SECOND, heal)


def standstill(day: Day) -> None:
    """Wait for 2 s, then pause the process of a controller for 9 s."""
    day.loop.later(2 * SECOND, lambda: day.loop.pause_host(day.random.choice(HOSTS), 9))


def deaf_and_hung(day: Day) -> None:
    """For 8 s, make one machine unreachable and two unresponsive, and restart a controller meanwhile.

    An unreachable machine sends heartbeats, but receives nothing. An unresponsive one neither sends nor runs anything.
    """
    workers = day.random.sample(list(day.site.workers.values()), 3)
    workers[0].unreachable = workers[1].unresponsive = workers[2].unresponsive = True

    def heal() -> None:
        workers[0].unreachable = workers[1].unresponsive = workers[2].unresponsive = False

    day.loop.later(SECOND, lambda: day.restart(day.random.choice(HOSTS), 5 * SECOND))
    day.loop.later(8 * SECOND, heal)


def old_reports(day: Day) -> None:
    """Send copies of old heartbeats to the controllers every 3 s, from 2 s to 23 s after the call."""
    for seconds in range(2, 26, 3):
        day.loop.later(seconds * SECOND, lambda: day.group.spawn(_replay_heartbeats(day), "copies"))


async def _replay_heartbeats(day: Day) -> None:
    """Send copies of at most 15 old heartbeats to random controllers, and discard the responses."""
    heartbeats = list(day.site.sent_heartbeats)
    for _, body in day.random.sample(heartbeats, min(15, len(heartbeats))):
        client = Client(day.loop, day.user, f"{day.random.choice(HOSTS)}:8080")
        try:
            await client.request("POST", "/checkin", body, SECOND * 2, fresh=True)
        except NoAnswerError:
            pass
        finally:
            client.drop()


FAULTS = [
    late_writes,
    cut_from_state_and_siblings,
    refused_alone_then_an_outage,
    hand_overs,
    standstill,
    deaf_and_hung,
    old_reports,
]


@pytest.mark.parametrize(
    ("first_fault", "second_fault"), list(itertools.combinations(FAULTS, 2)), ids=lambda fault: fault.__name__
)
def test_two_troubles_at_once(first_fault: Callable[[Day], None], second_fault: Callable[[Day], None]) -> None:
    """A second fault, injected 3 s after the first one, must not lead to a violation of a safety rule.

    Most violations that have been found in this project occurred when two faults coincided.
    """
    day = Day(seed=sum((first_fault.__name__ + second_fault.__name__).encode()), machines=8)
    day.run(5)
    for number in range(4):
        day.submit(job(f"run-a{number}", heads=12, trek_s=15.0, spread=number == 3))
        day.submit(job(f"run-g{number}", gait="group", heads=2 + number % 2, cpus=4.0, trek_s=20.0, rank="urgent"))
    day.run(4)
    first_fault(day)
    day.run(3)
    second_fault(day)
    day.submit(job("run-late", heads=6), tries=3)
    day.run(4)
    day.cancel("run-a1", tries=60)
    day.cancel("run-g2", tries=60)
    day.run(50)
    assert day.finish(400) == []
    assert day.rules.broken == []
