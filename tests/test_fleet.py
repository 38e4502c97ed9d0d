"""What shows only where there are many machines: sockets, memory of what is gone, whole shards changing hands."""

import gc
import json
import sys
from collections.abc import Callable
from datetime import timedelta
from types import FrameType

import msgspec
import pytest

from badgerroute.coordination import socket_budget
from badgerroute.coordination.shards import tombstone_writer as tombstone_writer_module
from badgerroute.coordination.shards.heartbeat_responder import HeartbeatRefusal
from badgerroute.coordination.shards.job_transfers import Reassignment
from badgerroute.coordination.shards.shard_leader import ShardLeader
from badgerroute.coordination.shards.summary import summarize
from badgerroute.protocol.cloud import MachineType
from badgerroute.protocol.users import parse_submission
from badgerroute.protocol.workers import Heartbeat, HeartbeatResponse, TaskStatus
from badgerroute.scheduling.objectives import Objectives
from badgerroute.scheduling.planner import Planner
from badgerroute.scheduling.shard import Shard
from badgerroute.scheduling.task_phase import Phase
from badgerroute.settings import Scheduling
from badgerroute.storage import records
from badgerroute.storage.task_ranges import assign_tasks
from badgerroute.transport.clock import VirtualClock
from badgerroute.transport.loop import CancelledError, Loop, Semaphore
from tests.standins.day import HOSTS, SECOND, Day, DayLoop, job
from tests.standins.net import HostNetwork, VirtualStream


def cut_from_store(day: Day, host: str) -> None:
    day.world.cut(host, f"state-{host}", "hold")


def leaders(day: Day, shard: int) -> list[str]:
    return [host for host, (one, _) in day.controllers.items() if shard in one.leaders]


def test_a_shard_is_not_transferred_to_a_peer_without_the_store() -> None:
    """It still speaks to its peers, and names the lease that it had."""
    day = Day(seed=1)
    day.run(5)
    host = HOSTS[1]
    cut_from_store(day, host)
    terms = set()
    for _ in range(50):
        day.run(0.5)
        key = day.store.items.get("b/parts/1")
        terms.add(key[1] if key else 0)
    assert len(terms - {0}) == 2, "the shard changes hands once"
    day.world.heal(host, f"state-{host}")
    day.run(15)
    assert leaders(day, 1) == [host], "and goes home when its controller is back"


def test_no_answer_that_a_machine_must_drop(monkeypatch: pytest.MonkeyPatch) -> None:
    """A leader that can't raise its term says so: a 200 would hold the machine there while its lease runs out."""
    answered: list[bool] = []
    real = ShardLeader.answer_heartbeat

    async def answer_heartbeat(
        self: ShardLeader, heartbeat: Heartbeat, relayed: bool = False
    ) -> HeartbeatResponse | HeartbeatRefusal:
        answer = await real(self, heartbeat, relayed)
        if isinstance(answer, HeartbeatResponse):
            answered.append(answer.fencing_token >= heartbeat.fencing_token)
        return answer

    monkeypatch.setattr(ShardLeader, "answer_heartbeat", answer_heartbeat)
    day = Day(seed=2, machines=24)
    day.run(5)
    for host in HOSTS[:2]:
        cut_from_store(day, host)
    for one in HOSTS:
        for other in HOSTS:
            if one < other:
                day.world.cut(one, other, "reset")  # nor can a peer tell them that they are outranked
    day.run(30)
    assert len(answered) > 300 and all(answered)
    assert day.rules.broken == []


def test_an_outranked_leader_steps_down_while_it_asks_for_a_higher_term() -> None:
    day = Day(seed=3)
    day.run(5)
    controller = day.controllers[HOSTS[0]][0]
    election, leaderships = controller.leadership.election, controller.leadership_state.leaderships
    term = leaderships[0].term
    controller.leadership.records.pending_writes.add(0)
    election.step_down_if_outranked(0, term)
    assert 0 in leaderships, "its own term is no news"
    election.step_down_if_outranked(0, term + 5)
    assert 0 not in leaderships


def test_a_leader_that_lost_its_leadership_gives_nothing_away(caplog: pytest.LogCaptureFixture) -> None:
    """The claim may go while an earlier write of the same round is on its way."""
    day = Day(seed=4)
    day.run(5)
    day.submit(job("run-a", heads=150, trek_s=10.0))
    day.run(2)
    controller = day.controllers[HOSTS[0]][0]
    leader = controller.leaders[0]
    controller.leadership_state.step_down(0)

    def give() -> None:
        record = controller.jobs.store.active["run-a"]
        top = leader.shard.jobs["run-a"].waiting_bits.bit_length()
        moved = msgspec.structs.replace(record, ranges=assign_tasks(record.ranges, top - 3, top, 1))
        assert moved.ranges != record.ranges
        day.loop.run(day.loop.spawn(leader.job_transfers.write([Reassignment("run-a", moved)], 1), "give"))
        assert controller.jobs.store.active["run-a"].ranges != moved.ranges

    give()
    day.run(3)
    assert controller.leaders[0] is not leader, "the shard is ours again, with another owner"
    give()
    assert day.finish() == []


@pytest.mark.parametrize("trouble", ["cut", "frozen"])
def test_only_a_leader_whose_lease_is_surely_valid_deletes_machines(trouble: str) -> None:
    """It decided before it was paused or was cut off; by now the machine may be a new leader's."""
    day = Day(seed=10)
    day.run(5)
    host = HOSTS[0]
    controller = day.controllers[host][0]
    name = next(iter(controller.leaders[0].shard.machines))
    if trouble == "cut":
        others = [f"state-{host}", *HOSTS[1:]]
        for other in others:
            day.world.cut(host, other, "hold")
        day.run(6)
        assert 0 in controller.leaders, "it acts on for G"
        controller.autoscaling.deletion_queue.delete([name])
        day.run(5)
        assert name in day.site.workers
        for other in others:
            day.world.heal(host, other)
    else:
        controller.autoscaling.deletion_queue.delete([name])
        day.loop.pause_host(host, 12)
        day.run(13)
    day.run(20)
    assert name in day.site.workers, "it was a new owner's to decide about"
    controller.autoscaling.deletion_queue.delete([name])
    day.run(3)
    assert name not in day.site.workers


def test_commands_to_machines_share_few_sockets(monkeypatch: pytest.MonkeyPatch) -> None:
    """One controller takes over all shards: a connection to each member at once would leave none for anybody else."""
    monkeypatch.setattr(socket_budget, "MAX_DIRECT_COMMANDS", 8)
    monkeypatch.setattr(socket_budget, "SOCKETS_PER_DIRECT_COMMAND", 1000)  # so that eight it is at 600 sockets
    day = Day(seed=5, machines=60)
    day.run(6)
    for host in HOSTS[1:]:
        day.restart(host, 60 * SECOND)
    seen: list[int] = []
    real = HostNetwork.connect

    async def connect(self: HostNetwork, address: str, limit: timedelta) -> VirtualStream:
        stream = await real(self, address, limit)
        streams = [one for one in day.world.streams if one[0] == HOSTS[0] and one[1].startswith("host-")]
        seen.append(sum(not near.closed for _, _, near, _ in streams))
        return stream

    monkeypatch.setattr(HostNetwork, "connect", connect)
    day.run(8)
    heir = day.controllers[HOSTS[0]][0]
    assert all(one.shard.reconciled for one in heir.leaders.values()) and len(heir.leaders) == 3
    assert 4 < max(seen) <= 8
    assert day.sockets(HOSTS[0]) <= 60 + 20, "and none is kept"


def test_semaphore() -> None:
    clock = VirtualClock()
    loop: Loop = DayLoop(clock)
    semaphore = Semaphore(2)
    came: list[str] = []

    async def visit(name: str, urgent: bool = False) -> None:
        async with semaphore.acquire(urgent):
            came.append(name)
            await loop.sleep(SECOND)

    routines = [loop.spawn(visit(name), name) for name in "abcd"]
    routines.append(loop.spawn(visit("u", urgent=True), "u"))

    def run(seconds: float) -> None:
        loop.run(loop.spawn(loop.sleep(timedelta(seconds=seconds)), "run"))

    run(0.5)
    assert came == ["a", "b"]
    routines[2].cancel()  # it waits, and no longer wants to
    run(1)
    assert came == ["a", "b", "u", "d"], "urgent ones first, then in order"
    run(3)
    assert semaphore.available_permits == 2
    assert isinstance(routines[2].error, CancelledError)


@pytest.mark.parametrize(("members", "deleted"), [(4, 30), (40, 300)])
def test_memory_of_deleted_machines_follows_the_fleet(
    members: int, deleted: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(tombstone_writer_module, "NAMES_PER_PAGE", 10)
    day = Day(seed=6, machines=3 * members, capacity=0)
    day.run(8)
    leader = day.controllers[HOSTS[0]][0].leaders[0]
    names = [f"host-9{number:05d}" for number in range(deleted)]
    day.loop.run(day.loop.spawn(leader.tombstone_writer.remove_machines(names), "forget"))
    day.run(2)
    pages = {key: value[0] for key, value in day.store.items.items() if key.startswith("b/gone/0/")}
    kept = {name for page in pages.values() for name in page["names"]}
    assert len(kept) >= min(deleted, 2 * members), "twice as many as it ever had"
    assert set(names[-2 * members :]) <= kept, "the latest"
    assert len(kept) <= max(40, 2 * members + 10) + 16, "and not without bound"
    assert records.TombstoneRecord(list(kept)).names


def calls_in(action: Callable[[], object]) -> int:
    """How many functions of ours an action calls: the same on every machine, unlike the time it takes.

    What earlier tests left behind is collected before, and not during: its clean-up would be counted.
    """
    count = 0

    def seen(frame: FrameType, event: str, argument: object) -> None:
        nonlocal count
        count += event == "call"

    gc.collect()
    gc.disable()
    sys.setprofile(seen)
    try:
        action()
    finally:
        sys.setprofile(None)
        gc.enable()
    return count


def busy_shard(machines: int) -> tuple[Shard, Planner]:
    """Every machine is full of running tasks, and other tasks wait."""
    shard = Shard(0, 7, lambda team: (1e9, 0.0), timedelta(0))
    kind = MachineType("k8", 8.0, 0.0, 32.0, 10.0, 0.5, 1.0, 0.3, 20.0, ["a"])
    for number in range(machines):
        machine = shard.add_machine(f"host-{number}", records.MachineRecord(0, "m:1", "k8", "a", False), kind, SECOND)
        machine.alive = machine.fenced = True
        machine.incarnation, machine.last_response_at = 1, SECOND
    shard.reconciled = True
    for ref, count in (("run-on", 8 * machines), ("run-waits", 50)):
        spec = parse_submission(json.dumps(job(ref, heads=count)).encode())
        shard.add_job(records.JobRecord(spec, 0.0, [(0, 0, count)]), timedelta(0), 10**6, timedelta(0))
    for number, machine in enumerate(shard.machines.values()):
        for index in range(8 * number, 8 * number + 8):
            shard.place(shard.jobs["run-on"], index, 99, machine, SECOND, Phase.RUNNING).running_since = SECOND
    return shard, Planner(shard, Scheduling(), Objectives([]))


def test_what_a_heartbeat_costs_does_not_grow_with_the_fleet() -> None:
    costs = []
    for machines in (30, 300, 900):
        shard, planner = busy_shard(machines)
        machine = shard.machines["host-7"]
        tasks = [TaskStatus(f"run-on/{index}", 99, "running") for index in range(56, 64)]

        def heartbeat(sequence: int, shard=shard, planner=planner, machine=machine, tasks=tasks) -> None:
            one = Heartbeat(machine.name, "m:1", "k8", "a", False, 1, sequence, 7, None, list(tasks))
            assert shard.on_heartbeat(machine, one, True, 2 * SECOND) is not None
            planner.place_gangs_on(machine, 2 * SECOND, lambda: False)
            planner.fill_machine(machine, 2 * SECOND, lambda: False)
            assert shard.commands(machine, 2 * SECOND, starts=True) == []

        heartbeat(1)  # the order of jobs, and where images lie, are found anew a few times a second
        costs.append(calls_in(lambda heartbeat=heartbeat: heartbeat(2)))
    assert costs[0] == costs[1] == costs[2] < 60


def test_what_a_summary_costs_grows_no_faster_than_the_fleet() -> None:
    costs = []
    for machines in (100, 200, 400):
        shard, planner = busy_shard(machines)
        costs.append(calls_in(lambda shard=shard, planner=planner: summarize(shard, planner, {2}, False, 2 * SECOND)))
    assert costs[2] - costs[1] < 2.2 * (costs[1] - costs[0])
    assert costs[2] < 40 * 400, "a few steps a machine"


BIG_HEARTBEAT = {
    "mount": "host-000001",
    "address": "host-000001:9000",
    "breed": "k8",
    "pasture": "a",
    "strays": False,
    "ride": 1,
    "tally": 10**6,
    "crook": 0,
    "heads": [{"head": f"run-x/{index}", "try": 1, "condition": "running"} for index in range(900)],
}


@pytest.mark.parametrize("degraded", [False, True], ids=["well", "outage"])
@pytest.mark.parametrize(
    ("path", "body", "well", "outage"),
    [
        ("/v1/jobs", b"{", 400, 400),
        ("/v1/jobs", b" " * 70_000, 400, 400),
        ("/v1/jobs", job("run-n0", heads=0), 400, 400),
        ("/v1/jobs", job("run-n1", heads=100_001), 400, 400),
        ("/v1/jobs", job("run-n2", gait="group", heads=41), 422, 503),  # over its team's limit; else unknown
        ("/v1/jobs", job("run-n3", cpus=9.0), 422, 503),
        ("/v1/jobs", job("run-n4", crew="nobody"), 422, 503),
        ("/v1/jobs", job("run-n5"), 201, 503),
        ("/checkin", b"[]", 400, 400),
        ("/checkin", BIG_HEARTBEAT, None, None),
        ("/checkin", BIG_HEARTBEAT | {"heads": BIG_HEARTBEAT["heads"] * 4}, 400, 400),  # over 64 KiB
    ],
)
def test_bad_input_is_answered_at_once(
    path: str, body: object, well: int | None, outage: int | None, degraded: bool, day_at_size: Day
) -> None:
    """Also with many machines and without the key-value store: nothing is held back, `Retry-After` says when."""
    day = day_at_size
    day.store.outage(degraded)
    if isinstance(body, dict) and "ref" in body:
        body = body | {"ref": f"{body['ref']}-{degraded}"}
        day.site.jobs[body["ref"]] = body
    began = day.loop.now()
    response = day.ask("POST", path, body, host=HOSTS[0])
    assert response is not None and day.loop.now() - began < 2 * SECOND
    expected = outage if degraded else well
    assert response.status == expected or (expected is None and response.status in (200, 421, 503))
    if response.status == 503:
        assert "retry-after" in response.headers
    day.store.outage(False)
    day.run(1)
    assert day.ask("GET", "/up", host=HOSTS[0]).status == 200


def test_a_flood_of_connections_shuts_nobody_out(day_at_size: Day) -> None:
    """Idle and half-sent ones, more than there are sockets: workers and users are served all the same."""
    day = day_at_size
    controller = day.controllers[HOSTS[0]][0]
    limit = controller.settings.params.resources.fd_limit

    async def flood() -> None:
        for number in range(limit + 200):
            stream = await day.user.connect(f"{HOSTS[0]}:8080", SECOND)
            if number % 2:
                await stream.write(b"POST /v1/jobs HTTP/1.1\r\nContent-Le")

    incarnations = {name: worker.incarnation for name, worker in day.site.workers.items()}
    day.loop.run(day.loop.spawn(flood(), "flood"))
    assert day.sockets(HOSTS[0]) <= limit
    assert day.submit(job("run-flood"), tries=10) == 201
    day.run(20)
    assert day.sockets(HOSTS[0]) <= limit
    assert {name: worker.incarnation for name, worker in day.site.workers.items()} == incarnations, "no lease ran out"
    assert day.ask("GET", "/up", host=HOSTS[0]).status == 200


@pytest.fixture(scope="module")
def day_at_size() -> Day:
    day = Day(seed=11, machines=120)
    day.run(6)
    return day
