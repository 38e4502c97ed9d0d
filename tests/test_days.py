"""Simulated runs of a whole cluster in virtual time (days), each with an injected fault.

Stand-ins for workers, users and the key-value store check the scheduler's safety rules during each day. A day
must not break any of these rules.
"""

from collections.abc import Callable
from datetime import timedelta

import msgspec
import pytest

from badgerroute.coordination.quotas.quota_allocator import QuotaAllocator
from badgerroute.coordination.requests.job_service import JobService, answer
from badgerroute.coordination.shards import deadline_tiers
from badgerroute.coordination.shards.job_transfers import Reassignment
from badgerroute.coordination.shards.machine_commands import MachineCommands
from badgerroute.settings import Objective
from badgerroute.storage.task_ranges import TaskRange, assign_tasks
from badgerroute.transport.http import Response
from tests.standins.day import HOSTS, SECOND, Day, job


def load(day: Day) -> None:
    """Submit jobs of every kind, with more tasks than the machines can run at the same time."""
    day.run(4)
    for number in range(3):
        day.submit(job(f"run-a{number}", heads=30, trek_s=6.0, crew="blue"))
        day.submit(job(f"run-b{number}", heads=12, trek_s=9.0, crew="red", rank="idle", brand=f"img-{number}"))
        day.submit(job(f"run-g{number}", gait="group", heads=2, cpus=6.0, rank="urgent", waypoint_s=3.0, pen_s=1.0))
    day.submit(job("run-t", heads=4, together=True, trek_s=8.0))
    day.submit(job("run-s", heads=5, spread=True, trek_s=8.0, crew="red"))
    day.submit(job("run-z", heads=4, pasture="b", strays=False))


def leader_host(day: Day, shard: int) -> str | None:
    """Return the host whose controller leads a shard, or None while the shard has no leader."""
    return next((host for host, (controller, _) in day.controllers.items() if shard in controller.leaders), None)


def crash_one(day: Day) -> None:
    day.restart(day.random.choice(HOSTS), 3 * SECOND)


def crash_all(day: Day) -> None:
    for host in HOSTS:
        day.restart(host, timedelta(seconds=day.random.uniform(2, 4)))


def crash_for_long(day: Day) -> None:
    day.restart(day.random.choice(HOSTS), 25 * SECOND)


def restart_at_once(day: Day) -> None:
    """Restart a controller three times, within 0.2 s each time, so that its previous lease is still valid."""
    host = day.random.choice(HOSTS)
    for _ in range(3):
        day.restart(host, SECOND / 5)
        day.run(1.3)


def roll(day: Day) -> None:
    for host in HOSTS:
        day.restart(host, 3 * SECOND)
        day.run(6)


def outage(day: Day) -> None:
    day.store.outage(True)
    day.run(10)
    day.store.outage(False)


def long_outage(day: Day) -> None:
    day.store.outage(True)
    day.run(45)
    day.store.outage(False)


def crash_all_in_outage(day: Day) -> None:
    day.store.outage(True)
    crash_all(day)
    day.run(8)
    day.store.outage(False)


def refused_alone(day: Day) -> None:
    host = day.random.choice(HOSTS)
    day.store.refused_hosts.add(host)
    day.run(40)
    day.store.refused_hosts.discard(host)


def cut(day: Day, host: str, others: list[str], mode: str, seconds: float) -> None:
    """Cut the connections between a host and `others` for a number of seconds.

    `mode`: "reset" closes connections and refuses new ones; "hold" delivers nothing until the cut is healed.
    """
    for other in others:
        day.world.cut(host, other, mode)
    day.run(seconds)
    for other in others:
        day.world.heal(host, other)


def cut_from_store(mode: str) -> Callable[[Day], None]:
    def fault(day: Day) -> None:
        host = day.random.choice(HOSTS)
        cut(day, host, [f"state-{host}"], mode, 35)

    return fault


def cut_from_workers(mode: str) -> Callable[[Day], None]:
    def fault(day: Day) -> None:
        cut(day, day.random.choice(HOSTS), list(day.site.workers), mode, 25)

    return fault


def cut_from_peers(mode: str) -> Callable[[Day], None]:
    def fault(day: Day) -> None:
        host = day.random.choice(HOSTS)
        cut(day, host, [peer for peer in HOSTS if peer != host], mode, 25)

    return fault


def cut_from_all(mode: str) -> Callable[[Day], None]:
    def fault(day: Day) -> None:
        host = day.random.choice(HOSTS)
        others = [peer for peer in HOSTS if peer != host] + list(day.site.workers) + [f"state-{host}", "cloud"]
        cut(day, host, others, mode, 30)

    return fault


def zone_cut(mode: str, controllers_inside: int) -> Callable[[Day], None]:
    """Cut off a zone with its workers and some controllers.

    These controllers keep acting inside the zone during the grace period. The grace period
    (G in docs/safety.md) is how long a leader may act without confirmation by the key-value store.
    """

    def fault(day: Day) -> None:
        hosts = day.random.sample(HOSTS, controllers_inside)
        inside = hosts + [name for name, worker in day.site.workers.items() if worker.zone == "a"]
        outside = [name for name in (*HOSTS, *day.site.workers, "cloud") if name not in inside]
        pairs = [(source, target) for source in inside for target in outside] + [
            (host, f"state-{host}") for host in hosts
        ]
        for source, target in pairs:
            day.world.cut(source, target, mode)
        day.run(40)
        for source, target in pairs:
            day.world.heal(source, target)

    return fault


def takeover_with_hung_machine(day: Day) -> None:
    """A machine becomes unresponsive, a controller crashes, and the machine resumes before its lease expires."""
    worker = day.random.choice(list(day.site.workers.values()))
    worker.unresponsive = True
    crash_one(day)
    day.run(7)
    worker.unresponsive = False


def hung_machines(day: Day) -> None:
    workers = day.random.sample(list(day.site.workers.values()), 2)
    for worker in workers:
        worker.unresponsive = True
    day.run(20)
    for worker in workers:
        worker.unresponsive = False


def machine_cut(mode: str) -> Callable[[Day], None]:
    def fault(day: Day) -> None:
        name = day.random.choice(list(day.site.workers))
        cut(day, name, HOSTS, mode, 18)

    return fault


def machines_vanish(day: Day) -> None:
    for name in day.random.sample(list(day.site.workers), 2):
        day.site.remove_worker(name)
    day.run(5)


def sick_machine(day: Day) -> None:
    worker = day.random.choice(list(day.site.workers.values()))
    worker.fails_tasks = True
    day.run(20)
    worker.fails_tasks = False


def spot_notice(day: Day) -> None:
    worker = day.random.choice(list(day.site.workers.values()))
    worker.notice_at = day.loop.now() + 6 * SECOND
    worker.changed.set()
    day.run(6)
    day.site.remove_worker(worker.name)


def deaf_machines(day: Day) -> None:
    """Two machines' heartbeats arrive, but responses and commands to these machines are lost.

    The scheduler must replace the machines and run their tasks on others.
    """
    workers = day.random.sample(list(day.site.workers.values()), 2)
    for worker in workers:
        worker.unreachable = True
    day.run(3)
    starts_before = day.rules.start_count
    day.run(40)
    assert all(worker.name not in day.site.workers for worker in workers), (
        "machines that receive nothing must be replaced"
    )
    assert day.rules.start_count > starts_before


def deaf_in_takeover(day: Day) -> None:
    """A shard's leader crashes; its successor can neither fence one of the machines nor have the cloud delete it.

    The new leader must nevertheless finish reconciling the shard within 60 s.
    """
    shard = day.random.randrange(3)
    host = leader_host(day, shard)
    unreachable = next(worker for worker in day.site.workers.values() if int(worker.name[-6:]) % 3 == shard)
    unreachable.unreachable = day.site.cloud_down = True
    day.restart(host, 30 * SECOND)

    def reconciled() -> bool:
        return any(
            leader.shard.reconciled
            for controller, _ in day.controllers.values()
            for leader in controller.leaders.values()
            if leader.number == shard
        )

    assert day.run_until(reconciled, 60), (
        "one machine that can't be fenced must not prevent its shard from being reconciled"
    )
    unreachable.unreachable = day.site.cloud_down = False


def late_copies(day: Day) -> None:
    """Old heartbeats, also of deleted machines, are delivered again before and after all controllers restart.

    After the restart, the controllers no longer know which sequence numbers they have already received.
    """
    deleted = set(day.random.sample(list(day.site.workers), 2))
    for round_ in range(4):
        day.replay_heartbeats(30)
        if round_ == 1:
            crash_all(day)
        if round_ == 2:
            for name in deleted:
                day.site.remove_worker(name)
            # A controller removes machines from its deletion queue if it does not lead their shards.
            for controller, _ in list(day.controllers.values()):
                controller.autoscaling.deletion_queue.delete(sorted(deleted))
        day.run(5)
    day.replay_heartbeats(30, deleted)
    day.run(2)
    assert not deleted & set(day.members_without_machine()), "an old heartbeat must not register a deleted machine"


def alone_with_its_workers(mode: str, peers_first: bool) -> Callable[[Day], None]:
    """Cut a controller off from the key-value store and its peers, but not from its workers.

    The two cuts are healed five seconds apart. `peers_first`: the connections to the peers are healed first.
    """

    def fault(day: Day) -> None:
        host = day.random.choice(HOSTS)
        peers, state = [peer for peer in HOSTS if peer != host], [f"state-{host}"]
        for other in peers + state:
            day.world.cut(host, other, mode)
        day.run(6)
        up = day.ask("GET", "/up", host=host)
        assert up is not None and up.status == 503, (
            "/up must tell the load balancer that the controller can't serve users"
        )
        day.run(22)
        controller = day.controllers[host][0]
        assert not any(controller.leadership_state.may_lead(shard) for shard in range(3)), (
            "the cut-off controller must stop acting as a leader when its grace period ends"
        )
        for others in (peers, state) if peers_first else (state, peers):
            for other in others:
                day.world.heal(host, other)
            day.run(5)

    return fault


def peers_refuse(day: Day) -> None:
    """All connections between controllers are refused."""
    pairs = [(source, target) for source in HOSTS for target in HOSTS if source < target]
    for source, target in pairs:
        day.world.cut(source, target, "reset")
    day.run(25)
    for source, target in pairs:
        day.world.heal(source, target)


def slow_state(day: Day) -> None:
    day.store.delay_factor = 20.0
    day.run(25)
    day.store.delay_factor = 1.0


def crash_in_election(day: Day) -> None:
    """Restart a controller again and again while its shard is being claimed by a peer or handed back to it.

    After the first crash, the controller is always running again within a fraction of a second.
    """
    host = day.random.choice(HOSTS)
    day.restart(host, timedelta(seconds=4.2))
    for pause in (4.1, 0.3, 0.2, 2.1, 0.4):
        day.run(pause)
        day.restart(host, SECOND / 10)


def frozen(seconds: float, hosts: int = 1) -> Callable[[Day], None]:
    """Pause the processes of `hosts` controllers while their clocks run on. Then let the processes continue."""

    def fault(day: Day) -> None:
        for host in day.random.sample(HOSTS, hosts):
            day.loop.pause_host(host, seconds)
        day.run(seconds + 3)

    return fault


def frozen_in_takeover(day: Day) -> None:
    """A controller crashes, and the peer that takes over its shard is paused in the middle of the takeover."""
    crashed, successor = day.random.sample(HOSTS, 2)
    day.restart(crashed, 30 * SECOND)
    for _ in range(3):
        day.run(day.random.uniform(3.9, 4.6))
        day.loop.pause_host(successor, 6)
        day.run(6.5)


def lost_answers(day: Day) -> None:
    """The key-value store applies transactions, but its responses to them are lost."""
    for _ in range(5):
        day.store.answers_to_drop = 2
        day.run(2)


def lost_rental_answer(day: Day) -> None:
    day.site.lose_rental_answers = 2
    for name in list(day.site.workers)[:3]:
        day.site.remove_worker(name)
    day.run(20)


def cloud_outage(day: Day) -> None:
    day.site.cloud_down = True
    machines_vanish(day)
    crash_one(day)
    day.run(20)
    day.site.cloud_down = False


def nothing(day: Day) -> None:
    """Inject no fault."""


FAULTS: dict[str, Callable[[Day], None]] = {
    "quiet": nothing,
    "crash_one": crash_one,
    "crash_all": crash_all,
    "crash_for_long": crash_for_long,
    "restart_at_once": restart_at_once,
    "roll": roll,
    "outage": outage,
    "long_outage": long_outage,
    "crash_all_in_outage": crash_all_in_outage,
    "refused_alone": refused_alone,
    "state_reset": cut_from_store("reset"),
    "state_hold": cut_from_store("hold"),
    "workers_reset": cut_from_workers("reset"),
    "workers_hold": cut_from_workers("hold"),
    "siblings_reset": cut_from_peers("reset"),
    "siblings_hold": cut_from_peers("hold"),
    "all_reset": cut_from_all("reset"),
    "all_hold": cut_from_all("hold"),
    "zone_reset": zone_cut("reset", 1),
    "zone_hold": zone_cut("hold", 1),
    "zone_with_most_reset": zone_cut("reset", 2),
    "zone_with_most_hold": zone_cut("hold", 2),
    "takeover_hung": takeover_with_hung_machine,
    "hung_machines": hung_machines,
    "machine_reset": machine_cut("reset"),
    "machine_hold": machine_cut("hold"),
    "deaf_machines": deaf_machines,
    "deaf_in_takeover": deaf_in_takeover,
    "late_copies": late_copies,
    "alone_reset": alone_with_its_workers("reset", True),
    "alone_hold": alone_with_its_workers("hold", False),
    "siblings_refuse": peers_refuse,
    "slow_state": slow_state,
    "crash_in_election": crash_in_election,
    "frozen_for_a_lease": frozen(7),
    "frozen_for_long": frozen(30),
    "two_frozen": frozen(14, hosts=2),
    "frozen_in_takeover": frozen_in_takeover,
    "machines_vanish": machines_vanish,
    "sick_machine": sick_machine,
    "spot_notice": spot_notice,
    "lost_answers": lost_answers,
    "lost_rental_answer": lost_rental_answer,
    "cloud_outage": cloud_outage,
}


def play(day: Day, fault: Callable[[Day], None]) -> list[str]:
    """Submit the load, inject the fault while it runs, and cancel a job during the fault.

    Return the accepted jobs that have not ended by the end of the day.
    """
    load(day)
    day.run(day.random.uniform(1, 6))
    day.loop.later(2 * SECOND, lambda: day.group.spawn(_cancel_until_answered(day, "run-b1"), "cancel"))
    fault(day)
    day.submit(job("run-late", heads=5))
    day.poll("run-nobody")
    return day.finish()


async def _cancel_until_answered(day: Day, ref: str) -> None:
    """Cancel a job as a user does: repeat the request, each time at a random controller, until one succeeds."""
    from badgerroute.transport.http import Client, NoAnswerError

    while True:
        client = Client(day.loop, day.user, f"{day.random.choice(HOSTS)}:8080")
        sent_at = day.loop.now()
        try:
            response = await client.request("POST", f"/v1/jobs/{ref}/cancel", b"", 5 * SECOND, fresh=True)
            if response.status == 200:
                if b"withdrawn" in response.body:
                    day.site.cancelled.setdefault(ref, sent_at)
                return
        except NoAnswerError:
            pass
        finally:
            client.drop()
        await day.loop.sleep(SECOND)


@pytest.mark.parametrize("name", FAULTS)
def test_rules_hold(name: str) -> None:
    day = Day(seed=sum(name.encode()))
    unfinished = play(day, FAULTS[name])
    assert day.rules.broken == []
    assert unfinished == [], "every accepted job must end before the day does"
    assert day.rules.start_count > 100


@pytest.mark.parametrize("seed", range(4))
def test_rules_hold_under_several_faults(seed: int) -> None:
    day = Day(seed=1000 + seed)
    load(day)
    candidates = [fault for name, fault in FAULTS.items() if name not in ("long_outage", "quiet")]
    for fault in day.random.sample(candidates, 4):
        fault(day)
        day.run(day.random.uniform(0, 4))
    assert day.finish(400) == []
    assert day.rules.broken == []


@pytest.mark.parametrize("mode", ["reset", "hold"])
@pytest.mark.parametrize("seed", range(3))
def test_cut_off_leader_takes_no_machine_for_dead(seed: int, mode: str) -> None:
    """A leader that is cut off inside one zone must not treat the other zone's machines as failed.

    Two controllers are cut off inside the zone and keep acting during their grace period. The third controller answers
    the heartbeats of the other zone's machines, which therefore keep running their tasks. Although the two controllers
    receive no heartbeats from these machines, they must not start the same tasks inside the zone.
    """
    day = Day(seed=seed)
    day.run(4)
    day.submit(job("run-long", heads=20, trek_s=60.0))
    day.run(4)
    day.site.cloud_down = True  # otherwise the third controller would soon delete the cut-off machines
    zone_cut(mode, 2)(day)
    day.site.cloud_down = False
    assert day.rules.broken == []
    assert day.finish() == []
    assert day.rules.broken == []


# Each of the following tests patches a defect, called a cheat, into the controllers. It checks that the stand-ins
# report the broken rule. If they did not, days without violations would prove nothing.


def skip_fencing(day: Day, monkeypatch: pytest.MonkeyPatch) -> None:
    """Let a new leader place tasks on machines that might still execute the previous leader's commands.

    Normally the leader fences each machine first: it waits until the machine has seen the leader's fencing token and
    has then reported its tasks.
    """
    monkeypatch.setattr(
        "badgerroute.scheduling.shard.Shard.reconcile", lambda self: setattr(self, "reconciled", True) or True
    )
    monkeypatch.setattr("badgerroute.scheduling.model.Machine.usable", property(lambda self: True))


def quota_given_while_used(day: Day, monkeypatch: pytest.MonkeyPatch) -> None:
    """Let leaders ignore the resources that a team already uses when they compute how much of its quota is free."""
    monkeypatch.setattr("badgerroute.scheduling.shard.Shard.tasks_within_quota", lambda self, job, tasks=1: tasks)


def start_in_do(day: Day, monkeypatch: pytest.MonkeyPatch) -> None:
    """Let leaders send start commands directly to a machine's address, instead of in heartbeat responses only."""
    real = MachineCommands.send

    async def send(self: MachineCommands, machine: object, commands: list, urgent: bool = False) -> bool:
        for placement in machine.placements.values():
            placement.phase = placement.phase.RESERVED
        return await real(self, machine, HiddenStarts(self._shard.commands(machine, self._loop.now(), starts=True)))

    class HiddenStarts(list):
        # Wraps each command, so that the filter that removes start commands does not recognize them.
        def __iter__(self):
            for command in list.__iter__(self):
                yield type("Command", (), {"kind": "hidden", "inner": command})

    monkeypatch.setattr(MachineCommands, "send", send)
    monkeypatch.setattr(
        "badgerroute.coordination.shards.machine_commands.encode",
        lambda message: __import__("msgspec").json.encode(
            type(message)(
                message.fencing_token,
                message.incarnation,
                [getattr(command, "inner", command) for command in message.commands],
            )
            if hasattr(message, "incarnation")
            else message
        ),
    )


@pytest.mark.cheats
@pytest.mark.parametrize(
    ("cheat", "rule"),
    [(skip_fencing, "ran_twice"), (quota_given_while_used, "quota"), (start_in_do, "start_in_do")],
    ids=["skip_fencing", "share_given_while_used", "start_in_do"],
)
def test_checker_catches(cheat: Callable, rule: str, monkeypatch: pytest.MonkeyPatch) -> None:
    reported_rules: list[str] = []
    for seed in range(6):
        day = Day(seed=seed)
        cheat(day, monkeypatch)
        load(day)
        day.run(2)
        crash_one(day)
        takeover_with_hung_machine(day)
        day.finish(60)
        reported_rules += [text.split()[1].rstrip(":") for text in day.rules.broken]
        if rule in reported_rules:
            break
    assert rule in reported_rules


def constant_answer(condition: str, status: int = 200) -> Callable[[pytest.MonkeyPatch], None]:
    """Return a cheat: controllers answer every poll with the same condition and status, whatever the job's state is."""

    async def poll(self: JobService, ref: str) -> Response:
        return answer(status, {"ref": ref, "condition": condition})

    return lambda monkeypatch: monkeypatch.setattr(JobService, "poll", poll)


def places_anywhere(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let leaders place tasks on machines that the job's constraints exclude."""
    for module in ("array_placement", "evictions"):
        monkeypatch.setattr(f"badgerroute.scheduling.{module}.allows", lambda *arguments: True)


def never_drops(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let leaders keep the tasks of cancelled jobs running."""
    monkeypatch.setattr("badgerroute.scheduling.shard.Shard.drop_job", lambda self, ref: None)


@pytest.mark.cheats
@pytest.mark.parametrize(
    ("cheat", "rule"),
    [
        (places_anywhere, "wrong_place"),
        (never_drops, "ran_cancelled"),
        (constant_answer("done"), "not_done"),
        (constant_answer("queued"), "went_back"),
        (constant_answer("queued"), "invented"),
        (constant_answer("", 404), "forgotten"),
    ],
    ids=["wrong_place", "ran_cancelled", "not_done", "went_back", "invented", "forgotten"],
)
def test_checker_catches_each_rule(cheat: Callable, rule: str, monkeypatch: pytest.MonkeyPatch) -> None:
    day = Day(seed=2)
    day.run(4)
    day.submit(job("run-short", heads=2, trek_s=1.0))
    assert day.finish() == []
    cheat(monkeypatch)
    day.submit(job("run-z", heads=30, pasture="b", strays=False, trek_s=120.0))
    day.run(5)
    for ref in ("run-short", "run-z", "run-nobody"):
        day.poll(ref)
    day.cancel("run-z")
    day.run(45)
    assert rule in [text.split()[1].rstrip(":") for text in day.rules.broken]


@pytest.mark.parametrize("fault", [nothing, lost_answers, crash_one], ids=["quiet", "lost_answers", "crash_one"])
def test_gang_too_large_for_any_shard(fault: Callable[[Day], None]) -> None:
    """A gang that fits in no shard starts after machines have been transferred to one shard until the gang fits there.

    The fencing tokens of the transferred machines may be higher than the shard's term. In this case, the leader raises
    the term.
    """
    day = Day(seed=3)
    day.run(4)
    day.submit(job("run-wide", gait="group", heads=5, cpus=7.0, trek_s=4.0))
    fault(day)
    assert day.finish(150) == []
    assert day.rules.broken == []


def test_a_gang_is_not_begun_anew_while_its_image_is_fetched() -> None:
    """A gang is not restarted although one task waits for longer than its limit while the other's image is fetched.

    One machine caches the image, and on the other one the fetch takes 100 s. A started gang task waits for the others
    for at most 45 s before it exits.
    """
    day = Day(seed=9, machines=4, capacity=0)
    day.run(5)
    day.submit(job("run-a", heads=1, cpus=8.0, trek_s=1.0, brand="img-x", image_gb=20.0, pasture="a"))
    assert day.finish() == []
    day.submit(job("run-g", gait="group", heads=2, cpus=8.0, trek_s=5.0, brand="img-x", image_gb=100.0, together=True))
    submitted_at = day.loop.now()
    assert day.finish(400) == []
    assert day.loop.now() - submitted_at < 120 * SECOND, (
        "one image fetch of 100 s and a run of 5 s must fit within this time"
    )
    assert day.rules.broken == []


def test_gang_starts_in_the_answer_to_the_heartbeat_that_frees_its_machine() -> None:
    day = Day(seed=4, machines=3, capacity=1)
    day.run(30)
    for number in range(8):
        day.submit(job(f"run-f{number}", gait="group", heads=1, cpus=8.0, trek_s=3.0, brand=f"img-{number}"))
    assert day.finish(120) == []
    # Each machine's start and end times of tasks in turn. End times are stored as negative numbers.
    times_by_machine: dict[str, list[float]] = {}
    for name, time_s, event in day.rules.events:
        times_by_machine.setdefault(name, []).append(time_s if event == "start" else -time_s)
    gaps_s = [
        start + end for times in times_by_machine.values() for end, start in zip(times[1::2], times[2::2], strict=False)
    ]
    assert gaps_s and min(gaps_s) < 0.3, "the next gang must start within 0.3 s on the machine that became free"
    assert day.rules.broken == []


def test_placed_tasks_are_never_given_away() -> None:
    """A leader does not write a change that would give a placed task to another shard.

    A leader first chooses the tasks to give away and later writes the change. It may place one of them in between.
    """
    day = Day(seed=6)
    day.run(4)
    for number in range(4):
        day.submit(job(f"run-g{number}", gait="group", heads=2, cpus=3.0, trek_s=20.0))
    day.run(6)
    attempts_with_placements = 0
    for controller, _ in day.controllers.values():
        for leader in controller.leaders.values():
            for shard_job in list(leader.shard.jobs.values()):
                record = controller.jobs.store.active[shard_job.ref]
                thief = (leader.number + 1) % 3
                moved = msgspec.structs.replace(record, ranges=[TaskRange(thief, 0, shard_job.spec.tasks)])
                day.loop.run(
                    day.loop.spawn(leader.job_transfers.write([Reassignment(shard_job.ref, moved)], thief), "give")
                )
                assert controller.jobs.store.active[shard_job.ref].ranges == record.ranges
                attempts_with_placements += bool(shard_job.placements)
    assert attempts_with_placements
    assert day.finish() == []
    assert day.rules.broken == []


def test_tasks_on_their_way_are_out_of_reach(monkeypatch: pytest.MonkeyPatch) -> None:
    """Tasks that a write in flight gives to another shard must not be available for placement in this shard.

    During the write, the leader may read the job's old record again, which still lists the tasks as its own. Even then,
    it must not place them.
    """
    day = Day(seed=7)
    day.run(4)
    day.submit(job("run-many", heads=150, trek_s=30.0))
    day.run(4)
    writes_checked = 0
    for controller, _ in day.controllers.values():
        for leader in controller.leaders.values():
            shard_job = leader.shard.jobs["run-many"]
            end = shard_job.waiting_bits.bit_length()
            record = controller.jobs.store.active["run-many"]
            thief = (leader.number + 1) % 3
            moved = msgspec.structs.replace(record, ranges=assign_tasks(record.ranges, end - 3, end, thief))
            real = leader.job_transfers._store.transact

            async def transact(*args: object, leader=leader, shard_job=shard_job, real=real, end=end) -> int:
                nonlocal writes_checked
                leader.job_changed("run-many")
                writes_checked += 1
                assert not shard_job.waiting_bits >> (end - 3)
                return await real(*args)

            with monkeypatch.context() as patch:
                patch.setattr(leader.job_transfers._store, "transact", transact)
                day.loop.run(
                    day.loop.spawn(leader.job_transfers.write([Reassignment("run-many", moved)], thief), "give")
                )
            assert shard_job.in_transfer == 0
    assert writes_checked == 3
    assert day.finish(400) == []
    assert day.rules.broken == []


@pytest.mark.parametrize(("starving_after_s", "starts"), [(40, True), (3600, False)])
@pytest.mark.parametrize("seed", [8, 9])
def test_the_largest_job_begins(
    seed: int, starving_after_s: int, starts: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A large job that can't meet its deadline starts once it is older than STARVING_AFTER, and not before.

    Until then, small jobs that can meet their deadlines keep arriving and are placed before the large job. The team has
    no limit, so that the result depends only on the order of the jobs and not on how a limit is divided among shards.
    """
    assert 1.5 * deadline_tiers.STARVING_AFTER <= 240 * SECOND, "even the largest jobs must start within four minutes"
    monkeypatch.setattr(deadline_tiers, "STARVING_AFTER", starving_after_s * SECOND)
    day = Day(seed=seed, capacity=0, objectives=[Objective("deadline", 0.9, "batch")])
    day.run(4)
    day.submit(job("run-big", crew="guests", heads=1000, rank="idle", trek_s=5.0, market_s=30.0))
    for number in range(30):
        small_job = job(f"run-s{number}", crew="guests", heads=30, rank="idle", trek_s=5.0, market_s=60.0)
        day.submit(small_job, tries=1)
        day.run(2)
    started_tasks = [name for name in (*day.site.finished, *day.rules.worker_by_task) if name.startswith("run-big/")]
    assert (len(started_tasks) >= 48) is starts, (
        "all 48 tasks that fit in the cluster (one for each CPU) must start if the job is old enough, but not otherwise"
    )
    assert day.rules.broken == []


def test_quota_moves_only_while_unused(monkeypatch: pytest.MonkeyPatch) -> None:
    """A shard that gives part of its team quota to another one stops using that part before it writes the change."""
    # For each write, in CPUs: the quota that the giving shard may still use, and the quota that the write leaves it.
    quota_pairs: list[tuple[float, float]] = []
    real = QuotaAllocator._write

    async def write(self: QuotaAllocator, team: str, writer: int, changed: dict) -> bool:
        if len(changed) == 2:
            quota_pairs.append((self.usable_quota(writer, team).cpus, changed[writer].cpus))
        return await real(self, team, writer, changed)

    monkeypatch.setattr(QuotaAllocator, "_write", write)
    day = Day(seed=5)
    play(day, nothing)
    assert quota_pairs, "the test proves something only if quota moved between shards"
    assert all(abs(usable - written) < 1e-6 for usable, written in quota_pairs)
