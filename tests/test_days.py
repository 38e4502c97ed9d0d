"""The rules under failures, in virtual time: every case is a day with a fault, and no rule may break."""

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
    """Jobs of every sort, more than the machines can run at once."""
    day.run(4)
    for number in range(3):
        day.submit(job(f"run-a{number}", heads=30, trek_s=6.0, crew="blue"))
        day.submit(job(f"run-b{number}", heads=12, trek_s=9.0, crew="red", rank="idle", brand=f"img-{number}"))
        day.submit(job(f"run-g{number}", gait="group", heads=2, cpus=6.0, rank="urgent", waypoint_s=3.0, pen_s=1.0))
    day.submit(job("run-t", heads=4, together=True, trek_s=8.0))
    day.submit(job("run-s", heads=5, spread=True, trek_s=8.0, crew="red"))
    day.submit(job("run-z", heads=4, pasture="b", strays=False))


def leader_host(day: Day, shard: int) -> str | None:
    return next((host for host, (one, _) in day.controllers.items() if shard in one.leaders), None)


def crash_one(day: Day) -> None:
    day.restart(day.random.choice(HOSTS), 3 * SECOND)


def crash_all(day: Day) -> None:
    for host in HOSTS:
        day.restart(host, timedelta(seconds=day.random.uniform(2, 4)))


def crash_for_long(day: Day) -> None:
    day.restart(day.random.choice(HOSTS), 25 * SECOND)


def restart_at_once(day: Day) -> None:
    """Back within a fraction of a second, again and again: the lease of the earlier life still runs."""
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
        cut(day, host, [one for one in HOSTS if one != host], mode, 25)

    return fault


def cut_from_all(mode: str) -> Callable[[Day], None]:
    def fault(day: Day) -> None:
        host = day.random.choice(HOSTS)
        others = [one for one in HOSTS if one != host] + list(day.site.workers) + [f"state-{host}", "cloud"]
        cut(day, host, others, mode, 30)

    return fault


def zone_cut(mode: str, at_home: int) -> Callable[[Day], None]:
    """A zone is cut off from everything, with so many controllers in it, which go on inside it for G."""

    def fault(day: Day) -> None:
        hosts = day.random.sample(HOSTS, at_home)
        inside = hosts + [name for name, worker in day.site.workers.items() if worker.zone == "a"]
        outside = [one for one in (*HOSTS, *day.site.workers, "cloud") if one not in inside]
        pairs = [(one, other) for one in inside for other in outside] + [(host, f"state-{host}") for host in hosts]
        for one, other in pairs:
            day.world.cut(one, other, mode)
        day.run(40)
        for one, other in pairs:
            day.world.heal(one, other)

    return fault


def takeover_with_hung_machine(day: Day) -> None:
    """A machine hangs, its leader dies, and the machine goes on within its lease."""
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
    """Heartbeats arrive, answers and commands don't. The machine is replaced, and its tasks run elsewhere."""
    workers = day.random.sample(list(day.site.workers.values()), 2)
    for worker in workers:
        worker.unreachable = True
    day.run(3)
    starts = day.rules.start_count
    day.run(40)
    assert all(worker.name not in day.site.workers for worker in workers), "deaf machines are replaced"
    assert day.rules.start_count > starts


def deaf_in_takeover(day: Day) -> None:
    """A shard whose new leader can't fence one of its machines, while the cloud deletes nothing either."""
    shard = day.random.randrange(3)
    host = leader_host(day, shard)
    unreachable = next(one for one in day.site.workers.values() if int(one.name[-6:]) % 3 == shard)
    unreachable.unreachable = day.site.cloud_down = True
    day.restart(host, 30 * SECOND)

    def reconciled() -> bool:
        return any(
            leader.shard.reconciled
            for one, _ in day.controllers.values()
            for leader in one.leaders.values()
            if leader.number == shard
        )

    assert day.run_until(reconciled, 60), "one machine must not block its shard"
    unreachable.unreachable = day.site.cloud_down = False


def late_copies(day: Day) -> None:
    """Copies of heartbeats of every age, before and after a restart that forgot what was newest, and of the deleted."""
    doomed = set(day.random.sample(list(day.site.workers), 2))
    for round_ in range(4):
        day.replay_heartbeats(30)
        if round_ == 1:
            crash_all(day)
        if round_ == 2:
            for name in doomed:
                day.site.remove_worker(name)
            for controller, _ in list(day.controllers.values()):  # each strikes off what is not its own
                controller.autoscaling.deletion_queue.delete(sorted(doomed))
        day.run(5)
    day.replay_heartbeats(30, doomed)
    day.run(2)
    assert not doomed & set(day.members_without_machine()), "a copy brings no machine back"


def alone_with_its_workers(mode: str, workers_first: bool) -> Callable[[Day], None]:
    """A controller loses key-value store and peers, but not its workers; they heal one after the other."""

    def fault(day: Day) -> None:
        host = day.random.choice(HOSTS)
        peers, state = [one for one in HOSTS if one != host], [f"state-{host}"]
        for other in peers + state:
            day.world.cut(host, other, mode)
        day.run(6)
        up = day.ask("GET", "/up", host=host)
        assert up is not None and up.status == 503, "the load balancer is told"
        day.run(22)
        controller = day.controllers[host][0]
        assert not any(controller.leadership_state.may_lead(shard) for shard in range(3)), "it stops in time"
        for others in (peers, state) if workers_first else (state, peers):
            for other in others:
                day.world.heal(host, other)
            day.run(5)

    return fault


def peers_refuse(day: Day) -> None:
    """Connections between controllers are refused."""
    pairs = [(one, other) for one in HOSTS for other in HOSTS if one < other]
    for one, other in pairs:
        day.world.cut(one, other, "reset")
    day.run(25)
    for one, other in pairs:
        day.world.heal(one, other)


def slow_state(day: Day) -> None:
    day.store.delay_factor = 20.0
    day.run(25)
    day.store.delay_factor = 1.0


def crash_in_election(day: Day) -> None:
    """Back within a fraction of a second, while its shard is being claimed or handed back."""
    host = day.random.choice(HOSTS)
    day.restart(host, timedelta(seconds=4.2))
    for pause in (4.1, 0.3, 0.2, 2.1, 0.4):
        day.run(pause)
        day.restart(host, SECOND / 10)


def frozen(seconds: float, hosts: int = 1) -> Callable[[Day], None]:
    """Controllers stand still while their clocks run on, then go on with what they had in hand."""

    def fault(day: Day) -> None:
        for host in day.random.sample(HOSTS, hosts):
            day.loop.pause_host(host, seconds)
        day.run(seconds + 3)

    return fault


def frozen_in_takeover(day: Day) -> None:
    """The new leader of a dead controller's shard is paused in the midst of it."""
    dead, heir = day.random.sample(HOSTS, 2)
    day.restart(dead, 30 * SECOND)
    for _ in range(3):
        day.run(day.random.uniform(3.9, 4.6))
        day.loop.pause_host(heir, 6)
        day.run(6.5)


def lost_answers(day: Day) -> None:
    """Transactions are carried out, but nobody hears of it."""
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
    """A quiet day."""


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
    """The load, the fault in its midst, cancellations during it; what is left unfinished at the end."""
    load(day)
    day.run(day.random.uniform(1, 6))
    day.loop.later(2 * SECOND, lambda: day.group.spawn(_cancel_later(day, "run-b1"), "cancel"))
    fault(day)
    day.submit(job("run-late", heads=5))
    day.poll("run-nobody")
    return day.finish()


async def _cancel_later(day: Day, ref: str) -> None:
    """A user who cancels while the fault goes on, and repeats it until told."""
    from badgerroute.transport.http import Client, NoAnswerError

    while True:
        client = Client(day.loop, day.user, f"{day.random.choice(HOSTS)}:8080")
        before = day.loop.now()
        try:
            response = await client.request("POST", f"/v1/jobs/{ref}/cancel", b"", 5 * SECOND, fresh=True)
            if response.status == 200:
                if b"withdrawn" in response.body:
                    day.site.cancelled.setdefault(ref, before)
                return
        except NoAnswerError:
            pass
        finally:
            client.drop()
        await day.loop.sleep(SECOND)


@pytest.mark.parametrize("name", FAULTS)
def test_rules_hold(name: str) -> None:
    day = Day(seed=sum(name.encode()))
    left = play(day, FAULTS[name])
    assert day.rules.broken == []
    assert left == [], "accepted jobs must run"
    assert day.rules.start_count > 100


@pytest.mark.parametrize("seed", range(4))
def test_rules_hold_under_several_faults(seed: int) -> None:
    day = Day(seed=1000 + seed)
    load(day)
    harmless = [fault for name, fault in FAULTS.items() if name not in ("long_outage", "quiet")]
    for fault in day.random.sample(harmless, 4):
        fault(day)
        day.run(day.random.uniform(0, 4))
    assert day.finish(400) == []
    assert day.rules.broken == []


@pytest.mark.parametrize("mode", ["reset", "hold"])
@pytest.mark.parametrize("seed", range(3))
def test_cut_off_leader_takes_no_machine_for_dead(seed: int, mode: str) -> None:
    """Two controllers are cut off with a zone and act on for G; the third answers the other zone's machines.

    Their silence towards the two says nothing: their tasks run on, and must not be started inside the zone.
    """
    day = Day(seed=seed)
    day.run(4)
    day.submit(job("run-long", heads=20, trek_s=60.0))
    day.run(4)
    day.site.cloud_down = True  # else the third leader soon has the cut-off machines deleted
    zone_cut(mode, 2)(day)
    day.site.cloud_down = False
    assert day.rules.broken == []
    assert day.finish() == []
    assert day.rules.broken == []


# The checker is worth something only if it catches leaders that cheat.


def skip_fencing(day: Day, monkeypatch: pytest.MonkeyPatch) -> None:
    """A leader that places before its members are fenced."""
    monkeypatch.setattr(
        "badgerroute.scheduling.shard.Shard.reconcile", lambda self: setattr(self, "reconciled", True) or True
    )
    monkeypatch.setattr("badgerroute.scheduling.model.Machine.usable", property(lambda self: True))


def quota_given_while_used(day: Day, monkeypatch: pytest.MonkeyPatch) -> None:
    """Leaders that ignore what they use when they count what fits their share."""
    monkeypatch.setattr("badgerroute.scheduling.shard.Shard.tasks_within_quota", lambda self, job, tasks=1: tasks)


def start_in_do(day: Day, monkeypatch: pytest.MonkeyPatch) -> None:
    """A leader that sends starts to a machine's own address."""
    real = MachineCommands.send

    async def send(self: MachineCommands, machine: object, commands: list, urgent: bool = False) -> bool:
        for placement in machine.placements.values():
            placement.phase = placement.phase.RESERVED
        return await real(self, machine, HiddenStarts(self._shard.commands(machine, self._loop.now(), starts=True)))

    class HiddenStarts(list):
        def __iter__(self):  # hides from the filter that keeps starts out
            for one in list.__iter__(self):
                yield type("Command", (), {"kind": "hidden", "inner": one})

    monkeypatch.setattr(MachineCommands, "send", send)
    monkeypatch.setattr(
        "badgerroute.coordination.shards.machine_commands.encode",
        lambda message: __import__("msgspec").json.encode(
            type(message)(
                message.fencing_token, message.incarnation, [getattr(one, "inner", one) for one in message.commands]
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
    caught: list[str] = []
    for seed in range(6):
        day = Day(seed=seed)
        cheat(day, monkeypatch)
        load(day)
        day.run(2)
        crash_one(day)
        takeover_with_hung_machine(day)
        day.finish(60)
        caught += [text.split()[1].rstrip(":") for text in day.rules.broken]
        if rule in caught:
            break
    assert rule in caught


def says(condition: str, status: int = 200) -> Callable[[pytest.MonkeyPatch], None]:
    """Controllers that give every poll the same answer."""

    async def poll(self: JobService, ref: str) -> Response:
        return answer(status, {"ref": ref, "condition": condition})

    return lambda monkeypatch: monkeypatch.setattr(JobService, "poll", poll)


def places_anywhere(monkeypatch: pytest.MonkeyPatch) -> None:
    for module in ("array_placement", "evictions"):
        monkeypatch.setattr(f"badgerroute.scheduling.{module}.allows", lambda *place: True)


def never_drops(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("badgerroute.scheduling.shard.Shard.drop_job", lambda self, ref: None)


@pytest.mark.cheats
@pytest.mark.parametrize(
    ("cheat", "rule"),
    [
        (places_anywhere, "wrong_place"),
        (never_drops, "ran_cancelled"),
        (says("done"), "not_done"),
        (says("queued"), "went_back"),
        (says("queued"), "invented"),
        (says("", 404), "forgotten"),
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
    """Machines are transferred until one shard holds all of it; the workers' higher tokens raise that shard's term."""
    day = Day(seed=3)
    day.run(4)
    day.submit(job("run-wide", gait="group", heads=5, cpus=7.0, trek_s=4.0))
    fault(day)
    assert day.finish(150) == []
    assert day.rules.broken == []


def test_a_gang_is_not_begun_anew_while_its_image_is_fetched() -> None:
    """One machine caches the image, the other fetches it for longer than a gang task waits."""
    day = Day(seed=9, machines=4, capacity=0)
    day.run(5)
    day.submit(job("run-a", heads=1, cpus=8.0, trek_s=1.0, brand="img-x", image_gb=20.0, pasture="a"))
    assert day.finish() == []
    day.submit(job("run-g", gait="group", heads=2, cpus=8.0, trek_s=5.0, brand="img-x", image_gb=100.0, together=True))
    began = day.loop.now()
    assert day.finish(400) == []
    assert day.loop.now() - began < 120 * SECOND, "one fetch of 100 s, a run of 5 s"
    assert day.rules.broken == []


def test_gang_starts_in_the_answer_to_the_heartbeat_that_frees_its_machine() -> None:
    day = Day(seed=4, machines=3, capacity=1)
    day.run(30)
    for number in range(8):
        day.submit(job(f"run-f{number}", gait="group", heads=1, cpus=8.0, trek_s=3.0, brand=f"img-{number}"))
    assert day.finish(120) == []
    free: dict[str, list[float]] = {}
    for name, at, what in day.rules.events:
        free.setdefault(name, []).append(at if what == "start" else -at)
    gaps = [start + end for times in free.values() for end, start in zip(times[1::2], times[2::2], strict=False)]
    assert gaps and min(gaps) < 0.3, "the next gang follows at once"
    assert day.rules.broken == []


def test_placed_tasks_are_never_given_away() -> None:
    """The choice of what to give may be older than its write: a task may have been placed in between."""
    day = Day(seed=6)
    day.run(4)
    for number in range(4):
        day.submit(job(f"run-g{number}", gait="group", heads=2, cpus=3.0, trek_s=20.0))
    day.run(6)
    tried = 0
    for controller, _ in day.controllers.values():
        for leader in controller.leaders.values():
            for one in list(leader.shard.jobs.values()):
                record = controller.jobs.store.active[one.ref]
                thief = (leader.number + 1) % 3
                moved = msgspec.structs.replace(record, ranges=[TaskRange(thief, 0, one.spec.tasks)])
                day.loop.run(day.loop.spawn(leader.job_transfers.write([Reassignment(one.ref, moved)], thief), "give"))
                assert controller.jobs.store.active[one.ref].ranges == record.ranges
                tried += bool(one.placements)
    assert tried
    assert day.finish() == []
    assert day.rules.broken == []


def test_tasks_on_their_way_are_out_of_reach(monkeypatch: pytest.MonkeyPatch) -> None:
    """While a write that gives tasks away is on its way, the record as it was may be read again. They stay away."""
    day = Day(seed=7)
    day.run(4)
    day.submit(job("run-many", heads=150, trek_s=30.0))
    day.run(4)
    looked = 0
    for controller, _ in day.controllers.values():
        for leader in controller.leaders.values():
            one = leader.shard.jobs["run-many"]
            top = one.waiting_bits.bit_length()
            record = controller.jobs.store.active["run-many"]
            thief = (leader.number + 1) % 3
            moved = msgspec.structs.replace(record, ranges=assign_tasks(record.ranges, top - 3, top, thief))
            real = leader.job_transfers._store.transact

            async def transact(*args: object, leader=leader, one=one, real=real, top=top) -> int:
                nonlocal looked
                leader.job_changed("run-many")
                looked += 1
                assert not one.waiting_bits >> (top - 3)
                return await real(*args)

            with monkeypatch.context() as patch:
                patch.setattr(leader.job_transfers._store, "transact", transact)
                day.loop.run(
                    day.loop.spawn(leader.job_transfers.write([Reassignment("run-many", moved)], thief), "give")
                )
            assert one.in_transfer == 0
    assert looked == 3
    assert day.finish(400) == []
    assert day.rules.broken == []


@pytest.mark.parametrize(("starving", "begins"), [(40, True), (3600, False)])
@pytest.mark.parametrize("seed", [8, 9])
def test_the_largest_job_begins(seed: int, starving: int, begins: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    """A job of a thousand tasks that can't be in time, in a burst of small ones that can: age wins in the end.

    Of a team without a limit, so that only the order of the jobs decides, and not how a limit happens to be divided.
    """
    assert 1.5 * deadline_tiers.STARVING_AFTER <= 240 * SECOND, "the largest too begin within four minutes"
    monkeypatch.setattr(deadline_tiers, "STARVING_AFTER", starving * SECOND)
    day = Day(seed=seed, capacity=0, objectives=[Objective("deadline", 0.9, "batch")])
    day.run(4)
    day.submit(job("run-big", crew="guests", heads=1000, rank="idle", trek_s=5.0, market_s=30.0))
    for number in range(30):
        one = job(f"run-s{number}", crew="guests", heads=30, rank="idle", trek_s=5.0, market_s=60.0)
        day.submit(one, tries=1)
        day.run(2)
    tasks = [name for name in (*day.site.finished, *day.rules.worker_by_task) if name.startswith("run-big/")]
    assert (len(tasks) >= 48) is begins, "as many as there are processors"
    assert day.rules.broken == []


def test_quota_moves_only_while_unused(monkeypatch: pytest.MonkeyPatch) -> None:
    """A share that is being given away counts as given before the write is known to be applied."""
    seen: list[tuple[float, float]] = []
    real = QuotaAllocator._write

    async def write(self: QuotaAllocator, team: str, writer: int, changed: dict) -> bool:
        if len(changed) == 2:
            seen.append((self.usable_quota(writer, team).cpus, changed[writer].cpus))
        return await real(self, team, writer, changed)

    monkeypatch.setattr(QuotaAllocator, "_write", write)
    day = Day(seed=5)
    play(day, nothing)
    assert seen, "shares had to move on this day"
    assert all(abs(counted - given) < 1e-6 for counted, given in seen)
