"""Tests of shards whose leader changes, and of costs that grow with the fleet: sockets, tombstones, computing time.

Most tests run a day: a simulated run of a whole cluster in virtual time.
"""

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
    """Cut a controller off from the key-value store: its requests get no response until the cut is healed."""
    day.world.cut(host, f"state-{host}", "hold")


def leader_hosts(day: Day, shard: int) -> list[str]:
    """Return the hosts whose controllers act as the leader of a shard."""
    return [host for host, (controller, _) in day.controllers.items() if shard in controller.leaders]


def test_a_shard_is_not_transferred_to_a_peer_without_the_store() -> None:
    """A shard is not transferred back to its previous leader while that controller can't reach the key-value store.

    Meanwhile the controller keeps sending messages to its peers. They contain the lease that it last held.
    """
    day = Day(seed=1)
    day.run(5)
    host = HOSTS[1]
    cut_from_store(day, host)
    terms = set()
    for _ in range(50):
        day.run(0.5)
        item = day.store.items.get("b/parts/1")
        terms.add(item[1] if item else 0)
    assert len(terms - {0}) == 2, "the shard must get a new leader only once"
    day.world.heal(host, f"state-{host}")
    day.run(15)
    assert leader_hosts(day, 1) == [host], "the first leader must lead the shard again once it reaches the store"


def test_no_answer_that_a_machine_must_drop(monkeypatch: pytest.MonkeyPatch) -> None:
    """A leader refuses a machine's heartbeat if its own term is below the machine's fencing token and can't be raised.

    The machine ignores an answer whose term is below its fencing token. However, if the status were 200, the machine
    would keep sending its heartbeats to this leader until its lease expires.
    """
    token_accepted: list[bool] = []  # for each answer: whether its machine accepts the fencing token in it
    real = ShardLeader.answer_heartbeat

    async def answer_heartbeat(
        self: ShardLeader, heartbeat: Heartbeat, relayed: bool = False
    ) -> HeartbeatResponse | HeartbeatRefusal:
        answer = await real(self, heartbeat, relayed)
        if isinstance(answer, HeartbeatResponse):
            token_accepted.append(answer.fencing_token >= heartbeat.fencing_token)
        return answer

    monkeypatch.setattr(ShardLeader, "answer_heartbeat", answer_heartbeat)
    day = Day(seed=2, machines=24)
    day.run(5)
    for host in HOSTS[:2]:
        cut_from_store(day, host)
    for source in HOSTS:
        for target in HOSTS:
            if source < target:
                day.world.cut(source, target, "reset")  # so that no peer can report a higher term to the leaders
    day.run(30)
    assert len(token_accepted) > 300 and all(token_accepted)
    assert day.rules.broken == []


def test_an_outranked_leader_steps_down_while_it_asks_for_a_higher_term() -> None:
    """A leader steps down when a peer reports a higher term of its shard, even while it is raising its own term."""
    day = Day(seed=3)
    day.run(5)
    controller = day.controllers[HOSTS[0]][0]
    election, leaderships = controller.leadership.election, controller.leadership_state.leaderships
    term = leaderships[0].term
    controller.leadership.records.pending_writes.add(0)
    election.step_down_if_outranked(0, term)
    assert 0 in leaderships, "a report of the leader's own term must not make it step down"
    election.step_down_if_outranked(0, term + 5)
    assert 0 not in leaderships


def test_a_leader_that_lost_its_leadership_gives_nothing_away(caplog: pytest.LogCaptureFixture) -> None:
    """A write that gives tasks to another shard is not made once the controller no longer leads its own shard.

    The controller may lose its leadership while an earlier write of the same planning round is in flight.
    """
    day = Day(seed=4)
    day.run(5)
    day.submit(job("run-a", heads=150, trek_s=10.0))
    day.run(2)
    controller = day.controllers[HOSTS[0]][0]
    leader = controller.leaders[0]
    controller.leadership_state.step_down(0)

    def give_tasks_away() -> None:
        record = controller.jobs.store.active["run-a"]
        end = leader.shard.jobs["run-a"].waiting_bits.bit_length()
        moved = msgspec.structs.replace(record, ranges=assign_tasks(record.ranges, end - 3, end, 1))
        assert moved.ranges != record.ranges
        day.loop.run(day.loop.spawn(leader.job_transfers.write([Reassignment("run-a", moved)], 1), "give"))
        assert controller.jobs.store.active["run-a"].ranges != moved.ranges

    give_tasks_away()
    day.run(3)
    assert controller.leaders[0] is not leader, "the controller must lead the shard again, but with a new ShardLeader"
    give_tasks_away()
    assert day.finish() == []


@pytest.mark.parametrize("fault", ["cut", "frozen"])
def test_only_a_leader_whose_lease_is_surely_valid_deletes_machines(fault: str) -> None:
    """A controller that was paused or cut off does not delete a machine that it queued before or during the fault.

    Another controller may have become the leader of the machine's shard after the machine was queued.
    """
    day = Day(seed=10)
    day.run(5)
    host = HOSTS[0]
    controller = day.controllers[host][0]
    name = next(iter(controller.leaders[0].shard.machines))
    if fault == "cut":
        others = [f"state-{host}", *HOSTS[1:]]
        for other in others:
            day.world.cut(host, other, "hold")
        day.run(6)
        assert 0 in controller.leaders, (
            "the controller may still act during its grace period, which is longer than its lease"
        )
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
    assert name in day.site.workers, "only the new leader of the machine's shard may delete the machine"
    controller.autoscaling.deletion_queue.delete([name])
    day.run(3)
    assert name not in day.site.workers


def test_commands_to_machines_share_few_sockets(monkeypatch: pytest.MonkeyPatch) -> None:
    """A controller that leads all shards limits the number of its connections to machines for direct commands.

    Connections to all machines at the same time would leave no sockets for users and peers.
    """
    monkeypatch.setattr(socket_budget, "MAX_DIRECT_COMMANDS", 8)
    monkeypatch.setattr(socket_budget, "SOCKETS_PER_DIRECT_COMMAND", 1000)  # so that the limit is 8 at 600 sockets
    day = Day(seed=5, machines=60)
    day.run(6)
    for host in HOSTS[1:]:
        day.restart(host, 60 * SECOND)
    open_streams: list[int] = []  # the number of open connections to machines, after each new one
    real = HostNetwork.connect

    async def connect(self: HostNetwork, address: str, limit: timedelta) -> VirtualStream:
        stream = await real(self, address, limit)
        streams = [entry for entry in day.world.streams if entry[0] == HOSTS[0] and entry[1].startswith("host-")]
        open_streams.append(sum(not near.closed for _, _, near, _ in streams))
        return stream

    monkeypatch.setattr(HostNetwork, "connect", connect)
    day.run(8)
    successor = day.controllers[HOSTS[0]][0]
    assert all(leader.shard.reconciled for leader in successor.leaders.values()) and len(successor.leaders) == 3
    assert 4 < max(open_streams) <= 8
    assert day.sockets(HOSTS[0]) <= 60 + 20, "connections for direct commands must be closed again"


def test_semaphore() -> None:
    """Waiting coroutines get permits in the order of their requests, except that urgent ones come first.

    A coroutine that is cancelled while it waits gets no permit.
    """
    clock = VirtualClock()
    loop: Loop = DayLoop(clock)
    semaphore = Semaphore(2)
    acquired: list[str] = []  # names of the coroutines, in the order in which they got a permit

    async def hold_permit(name: str, urgent: bool = False) -> None:
        async with semaphore.acquire(urgent):
            acquired.append(name)
            await loop.sleep(SECOND)

    coroutines = [loop.spawn(hold_permit(name), name) for name in "abcd"]
    coroutines.append(loop.spawn(hold_permit("u", urgent=True), "u"))

    def run(seconds: float) -> None:
        loop.run(loop.spawn(loop.sleep(timedelta(seconds=seconds)), "run"))

    run(0.5)
    assert acquired == ["a", "b"]
    coroutines[2].cancel()  # while it waits for a permit
    run(1)
    assert acquired == ["a", "b", "u", "d"], (
        "urgent coroutines must come first, and the others in the order of their requests"
    )
    run(3)
    assert semaphore.available_permits == 2
    assert isinstance(coroutines[2].error, CancelledError)


@pytest.mark.parametrize(("members", "deleted"), [(4, 30), (40, 300)])
def test_memory_of_deleted_machines_follows_the_fleet(
    members: int, deleted: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The number of tombstones kept is bounded in proportion to the number of machines, however many were deleted.

    A tombstone is the stored name of a deleted machine. `members` is the number of machines in the shard, and
    `deleted` is the number of machines that were deleted.
    """
    monkeypatch.setattr(tombstone_writer_module, "NAMES_PER_PAGE", 10)
    day = Day(seed=6, machines=3 * members, capacity=0)
    day.run(8)
    leader = day.controllers[HOSTS[0]][0].leaders[0]
    names = [f"host-9{number:05d}" for number in range(deleted)]
    day.loop.run(day.loop.spawn(leader.tombstone_writer.remove_machines(names), "forget"))
    day.run(2)
    pages = {key: value[0] for key, value in day.store.items.items() if key.startswith("b/gone/0/")}
    kept = {name for page in pages.values() for name in page["names"]}
    assert len(kept) >= min(deleted, 2 * members), (
        "at least twice as many names as the shard has machines must be kept, or all names if there are fewer"
    )
    assert set(names[-2 * members :]) <= kept, "the names of the machines that were deleted last must be kept"
    assert len(kept) <= max(40, 2 * members + 10) + 16, "the number of stored names must be bounded"
    assert records.TombstoneRecord(list(kept)).names


def calls_in(action: Callable[[], object]) -> int:
    """Return how many calls of Python functions an action makes. Unlike its duration, the number is reproducible.

    Garbage is collected before the action, so that finalizers of objects from earlier tests are not counted.
    """
    count = 0

    def profile(frame: FrameType, event: str, argument: object) -> None:
        nonlocal count
        count += event == "call"

    gc.collect()
    gc.disable()
    sys.setprofile(profile)
    try:
        action()
    finally:
        sys.setprofile(None)
        gc.enable()
    return count


def busy_shard(machines: int) -> tuple[Shard, Planner]:
    """Return a shard in which running tasks use all machines completely and 50 other tasks wait, and its planner."""
    shard = Shard(0, 7, lambda team: (1e9, 0.0), timedelta(0))
    machine_type = MachineType("k8", 8.0, 0.0, 32.0, 10.0, 0.5, 1.0, 0.3, 20.0, ["a"])
    for number in range(machines):
        machine = shard.add_machine(
            f"host-{number}", records.MachineRecord(0, "m:1", "k8", "a", False), machine_type, SECOND
        )
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
    """Processing a heartbeat makes the same number of function calls, whatever the shard's number of machines is."""
    call_counts = []
    for machines in (30, 300, 900):
        shard, planner = busy_shard(machines)
        machine = shard.machines["host-7"]
        tasks = [TaskStatus(f"run-on/{index}", 99, "running") for index in range(56, 64)]

        def heartbeat(sequence: int, shard=shard, planner=planner, machine=machine, tasks=tasks) -> None:
            message = Heartbeat(machine.name, "m:1", "k8", "a", False, 1, sequence, 7, None, list(tasks))
            assert shard.on_heartbeat(machine, message, True, 2 * SECOND) is not None
            planner.place_gangs_on(machine, 2 * SECOND, lambda: False)
            planner.fill_machine(machine, 2 * SECOND, lambda: False)
            assert shard.commands(machine, 2 * SECOND, starts=True) == []

        heartbeat(1)  # fills the caches of the order of jobs and of image locations, which last a fraction of a second
        call_counts.append(calls_in(lambda heartbeat=heartbeat: heartbeat(2)))
    assert call_counts[0] == call_counts[1] == call_counts[2] < 60


def test_what_a_summary_costs_grows_no_faster_than_the_fleet() -> None:
    """The number of function calls that computing a shard's summary makes grows linearly with its machines."""
    call_counts = []
    for machines in (100, 200, 400):
        shard, planner = busy_shard(machines)
        call_counts.append(
            calls_in(lambda shard=shard, planner=planner: summarize(shard, planner, {2}, False, 2 * SECOND))
        )
    assert call_counts[2] - call_counts[1] < 2.2 * (call_counts[1] - call_counts[0])
    assert call_counts[2] < 40 * 400, "there must be fewer than 40 calls for each machine"


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


@pytest.mark.parametrize("outage", [False, True], ids=["well", "outage"])
@pytest.mark.parametrize(
    ("path", "body", "normal_status", "outage_status"),
    [
        ("/v1/jobs", b"{", 400, 400),
        ("/v1/jobs", b" " * 70_000, 400, 400),
        ("/v1/jobs", job("run-n0", heads=0), 400, 400),
        ("/v1/jobs", job("run-n1", heads=100_001), 400, 400),
        (
            "/v1/jobs",
            job("run-n2", gait="group", heads=41),
            422,
            503,
        ),  # the gang exceeds its team's limit, which controllers can't read during an outage
        ("/v1/jobs", job("run-n3", cpus=9.0), 422, 503),
        ("/v1/jobs", job("run-n4", crew="nobody"), 422, 503),
        ("/v1/jobs", job("run-n5"), 201, 503),
        ("/checkin", b"[]", 400, 400),
        ("/checkin", BIG_HEARTBEAT, None, None),
        ("/checkin", BIG_HEARTBEAT | {"heads": BIG_HEARTBEAT["heads"] * 4}, 400, 400),  # over 64 KiB
    ],
)
def test_bad_input_is_answered_at_once(
    path: str, body: object, normal_status: int | None, outage_status: int | None, outage: bool, day_at_size: Day
) -> None:
    """Invalid requests are answered within 2 s, even with many machines and during an outage of the key-value store.

    An answer with status 503 has a `Retry-After` header.
    If the expected status is None, any of 200, 421 and 503 is accepted.
    """
    day = day_at_size
    day.store.outage(outage)
    if isinstance(body, dict) and "ref" in body:
        body = body | {"ref": f"{body['ref']}-{outage}"}
        day.site.jobs[body["ref"]] = body
    sent_at = day.loop.now()
    response = day.ask("POST", path, body, host=HOSTS[0])
    assert response is not None and day.loop.now() - sent_at < 2 * SECOND
    expected = outage_status if outage else normal_status
    assert response.status == expected or (expected is None and response.status in (200, 421, 503))
    if response.status == 503:
        assert "retry-after" in response.headers
    day.store.outage(False)
    day.run(1)
    assert day.ask("GET", "/up", host=HOSTS[0]).status == 200


def test_a_flood_of_connections_shuts_nobody_out(day_at_size: Day) -> None:
    """Users open more connections than a controller has sockets; workers and other users are still served.

    Half of the connections are idle, and the others send an incomplete request.
    """
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
    assert {name: worker.incarnation for name, worker in day.site.workers.items()} == incarnations, (
        "the machines' leases must not expire"
    )
    assert day.ask("GET", "/up", host=HOSTS[0]).status == 200


@pytest.fixture(scope="module")
def day_at_size() -> Day:
    """Return a running day with 120 machines, which the tests of this module share."""
    day = Day(seed=11, machines=120)
    day.run(6)
    return day
