"""Costs that could limit the size of a cluster, measured at 1,000 and at 4,000 machines.

Costs are measured in function calls, whose number is the same on every computer, or in bytes. All machines are in one
shard, as after a failover to a single controller.
"""

import json
from datetime import timedelta

import msgspec
import pytest

from badgerroute.connectivity.overdue_heartbeats import count_overdue
from badgerroute.connectivity.relay_routes import RelayRoutes, Route
from badgerroute.coordination.membership.forwarding import RequestForwarder
from badgerroute.coordination.membership.gossip_size import encode_gossip
from badgerroute.coordination.membership.send_queue import MAX_QUEUED_BYTES, SendQueue
from badgerroute.coordination.shards import summary as summary_module
from badgerroute.coordination.shards.fencing import Fencing
from badgerroute.coordination.shards.summary import summarize
from badgerroute.coordination.shards.summary_cache import RENEWAL_AGE_PER_MACHINE
from badgerroute.protocol import mesh
from badgerroute.protocol.cloud import MachineType
from badgerroute.protocol.mesh import FreeCapacity, PendingDemand, ShardLoad, ShardSummary
from badgerroute.protocol.users import parse_submission
from badgerroute.protocol.workers import Heartbeat, TaskStatus
from badgerroute.rebalancing.local_waits import LocalWaits
from badgerroute.rebalancing.moves import MovePlanner
from badgerroute.rebalancing.shard_guidance import ShardGuidance
from badgerroute.rebalancing.waits import RecentWaits, machines_by_utilization
from badgerroute.scheduling.heartbeat_reconciliation import HeartbeatReconciler
from badgerroute.scheduling.planner import Planner
from badgerroute.scheduling.scale_out_planning import ScaleOutPlan
from badgerroute.scheduling.shard import Shard
from badgerroute.settings import CloudLimits, Connectivity, OperatorSettings, Rebalancing, Team
from badgerroute.storage.cloud_client import CloudClient
from badgerroute.storage.records import JobRecord
from badgerroute.storage.task_ranges import TaskRange
from badgerroute.transport.frames import MAX_FRAME_BYTES
from badgerroute.transport.http import Request
from tests.standins.day import HOSTS, SECOND, Day, job
from tests.test_fleet import busy_shard, calls_in

FEW, MANY = 1000, 4000


def never() -> bool:
    """Return False; passed to functions that call it to learn whether their time has run out."""
    return False


def varied_shard(machines: int, jobs: int) -> tuple[Shard, Planner]:
    """Return a shard in which each machine has a different amount of free resources, and `jobs` urgent jobs wait."""
    shard, planner = busy_shard(machines)
    for number, machine in enumerate(shard.machines.values()):
        machine.free.cpus = 0.1 + number * 0.0019
        machine.free.memory_gb = 0.1 + (7 * number % machines) * 0.007
        machine.images = {f"img-{(number + offset) % 200}": 1.0 for offset in range(4)}
    for number in range(jobs):
        spec = parse_submission(json.dumps(job(f"run-w{number}", heads=3, rank="urgent", crew="red")).encode())
        record = JobRecord(spec, 0.0, [TaskRange(0, 0, 3)])
        shard.add_job(record, timedelta(0), 10**6, timedelta(0))
    return shard, planner


def test_a_heartbeat_costs_the_same_with_all_machines_in_one_shard() -> None:
    """Processing a heartbeat and placing tasks takes as many function calls with 4,000 machines as with 1,000."""
    costs = []
    for machines in (FEW, MANY):
        shard, planner = busy_shard(machines)
        machine = shard.machines["host-7"]
        tasks = [TaskStatus(f"run-on/{index}", 99, "running") for index in range(56, 64)]

        def heartbeat(sequence: int, shard=shard, planner=planner, machine=machine, tasks=tasks) -> None:
            message = Heartbeat(machine.name, "m:1", "k8", "a", False, 1, sequence, 7, None, list(tasks))
            assert shard.on_heartbeat(machine, message, True, 2 * SECOND) is not None
            planner.place_gangs_on(machine, 2 * SECOND, never)
            planner.fill_machine(machine, 2 * SECOND, never)
            shard.commands(machine, 2 * SECOND, starts=True)

        heartbeat(1)
        costs.append(calls_in(lambda heartbeat=heartbeat: heartbeat(2)))
    assert costs[0] == costs[1]


def advised_shard(machines: int) -> tuple[Shard, Planner]:
    """Return a busy shard whose scheduling follows the guidance of the rebalancing component."""
    shard, planner = busy_shard(machines)
    day = Day(seed=1, machines=0)
    day.run(0.1)
    guidance = ShardGuidance(day.loop, 60 * SECOND, lambda team: 10.0, lambda team: 2.0, lambda machine: None)
    local = LocalWaits(shard, planner.run_time, 60 * SECOND)
    local.advance(2 * SECOND, never)
    guidance.attach(shard.usage, local)
    shard.guidance = guidance
    return shard, planner


def test_advice_costs_the_same_for_each_heartbeat_with_all_machines_in_one_shard() -> None:
    """Placing tasks by the rebalancer's guidance takes as many function calls with 4,000 machines as with 1,000."""
    costs = []
    for machines in (FEW, MANY):
        shard, planner = advised_shard(machines)
        for name in ("host-7", "host-9"):
            for placement in list(shard.machines[name].placements.values())[:2]:
                shard.remove_placement(placement)  # makes room for two tasks, which `fill` then starts

        def fill(name: str, shard=shard, planner=planner) -> None:
            assert planner.fill_machine(shard.machines[name], 2 * SECOND, never) == 2

        fill("host-9")  # computes the order of jobs and each job's first number of desired slots, which are then cached
        costs.append(calls_in(lambda fill=fill: fill("host-7")))
    assert costs[0] == costs[1] < 300


def test_a_summary_of_all_machines_fits_a_frame_of_every_version() -> None:
    """The summary of a shard, which peers receive, stays below half of the frame size limit and counts all machines."""
    sizes, costs = [], []
    for machines in (FEW, MANY):
        shard, planner = varied_shard(machines, jobs=machines)
        summaries = [summarize(shard, planner, {1, 2}, False, 2 * SECOND)]
        costs.append(
            calls_in(lambda shard=shard, planner=planner: summarize(shard, planner, {1, 2}, False, 2 * SECOND))
        )
        sizes.append(len(mesh.encoder.encode(mesh.Gossip("a", 1, True, True, False, summaries))))
        assert len(summaries[0].capacities) <= summary_module.MAX_CAPACITY_GROUPS
        assert sum(capacity.count for capacity in summaries[0].capacities) == machines, "each machine is counted"
        assert len(summaries[0].demands) >= machines // 2
        free_cpus = sum(machine.free.cpus for machine in shard.machines.values())
        assert (
            0.5 * free_cpus
            < sum(capacity.cpus * capacity.count for capacity in summaries[0].capacities)
            <= free_cpus + 1
        )
    assert sizes[1] < MAX_FRAME_BYTES / 2
    assert costs[1] < 5.5 * costs[0], (
        "a few calls for each machine, repeated for each coarser rounding of its resources"
    )


def test_making_room_for_arrays_goes_on_where_its_time_ran_out() -> None:
    """If a scheduling round's time runs out during preemption for arrays, the next round continues with the next job.

    One pass over 2,000 waiting jobs and 4,000 machines once took almost four seconds.
    """
    shard, planner = varied_shard(FEW, jobs=60)
    visited: list[str] = []
    preemption = planner._preemption
    array_tasks_without_capacity = preemption._array_tasks_without_capacity

    def record_visit(job, limit, now):
        visited.append(job.ref)
        return array_tasks_without_capacity(job, limit, now)

    preemption._array_tasks_without_capacity = record_visit
    calls = iter(range(10**6))

    def out_of_time() -> bool:
        return next(calls) % 8 == 7  # the time of each round runs out after seven jobs

    rounds = 0
    while rounds < 40 and len(set(visited)) < len(shard.jobs):
        planner.preempt_for_arrays(300 * SECOND, out_of_time)
        rounds += 1
    assert rounds > 5 and planner.overrun_rounds >= 5
    assert set(visited) >= {f"run-w{number}" for number in range(60)}, "every job is visited"


def gaining_shard(machines: int) -> tuple[Shard, MovePlanner]:
    """Return a shard in which rebalancing can gain from moving tasks.

    Half of the machines are full, the others have room for two more tasks each. The running tasks save checkpoints, so
    they can be moved. An urgent task with four processors fits on no machine.
    """
    shard, planner = busy_shard(machines)
    for number, machine in enumerate(shard.machines.values()):
        for placement in list(machine.placements.values())[: 2 * (number % 2)]:
            shard.remove_placement(placement)
    shard.jobs["run-on"].spec = msgspec.structs.replace(shard.jobs["run-on"].spec, checkpoint_s=1.0, estimate_s=1e4)
    urgent_job = job("run-u", heads=1, cpus=4.0, rank="urgent", crew="red")
    spec = parse_submission(json.dumps(urgent_job).encode())
    shard.add_job(JobRecord(spec, 0.0, [TaskRange(0, 0, 1)]), timedelta(0), 10**6, timedelta(0))
    return shard, MovePlanner(shard, planner, Rebalancing(), SECOND, shard.guidance)


def test_choosing_moves_costs_no_more_than_the_machines_there_are() -> None:
    """The function calls for choosing tasks to move grow at most in proportion to the number of machines."""
    costs = []
    for machines in (FEW, MANY):
        shard, moves = gaining_shard(machines)
        costs.append(calls_in(lambda moves=moves: moves.start_moves(100 * SECOND, never)))
        assert moves.ledger.total_moves > 0
    assert costs[1] < 4.5 * costs[0]


def test_what_is_told_of_waits_does_not_grow_with_the_fleet() -> None:
    """A shard's message with waits and loads does not double in size with four times as many machines and jobs."""
    sizes = []
    for machines in (FEW, MANY):
        shard, _ = varied_shard(machines, jobs=machines)
        waits = RecentWaits(60 * SECOND, timedelta(0))
        for number in range(machines):
            waits.record(shard.jobs["run-waits"], number * timedelta(milliseconds=10), SECOND)
        sizes.append(
            len(mesh.encoder.encode(ShardLoad(waits.snapshot(shard, 2 * SECOND), machines_by_utilization(shard))))
        )
    assert sizes[1] < 2 * sizes[0] < 20_000


def rental_cost(machines: int) -> int:
    """Return the number of function calls for planning rentals when half as many jobs wait as there are machines."""
    machine_type = MachineType("k8", 8.0, 0.0, 32.0, 10.0, 0.5, 1.0, 0.3, 20.0, ["a"])
    capacities = [FreeCapacity("k8", "a", False, 8.0, 0.0, 32.0, machines)]
    demands = [
        PendingDemand(f"run-{n}", "blue", 1.0, 0.0, 1.0, 20, False, 1, False, 5.0, None, None, True)
        for n in range(machines // 2)
    ]
    shards = [ShardSummary(0, 1, True, machines, capacities, {}, {}, {}, demands, 0.0, {}, {})]

    def plan() -> None:
        wanted = ScaleOutPlan({"k8": machine_type}, [Team("blue")], lambda place: True, 50).machines_wanted(shards, [])
        assert sum(wanted.values()) == 50, (
            "for every two free machines of 8 CPUs, 20 tasks wait, which do not all fit; the plan may rent 50 at most"
        )

    return calls_in(plan)


def test_planning_rentals_costs_no_more_than_the_demands_there_are() -> None:
    """The function calls for planning rentals grow at most in proportion to the number of waiting jobs."""
    assert rental_cost(MANY) < 4.5 * rental_cost(FEW)


@pytest.mark.parametrize(("machines", "rps", "seconds"), [(600, 6.0, 1.1), (4000, 6.0, 4.4), (4000, 3.0, 8.9)])
def test_listing_machines_leaves_calls_for_renting(machines: int, rps: float, seconds: float) -> None:
    """Listing all machines takes `seconds` if three controllers share the cloud's `rps` requests per second."""
    day = Day(seed=1, machines=0)
    day.run(0.1)
    cloud = CloudClient(day.loop, day.user, "cloud:8443", CloudLimits(rps, 2.0), 3)
    assert cloud.listing_time(machines) / SECOND == pytest.approx(seconds, abs=0.1)


def test_a_burst_of_changes_reaches_a_slow_peer_but_memory_is_bounded() -> None:
    """The queue to a peer keeps a frame for each of 4,000 machines, but never more than MAX_QUEUED_BYTES."""
    queue = SendQueue()
    for _ in range(MANY):
        queue.add(b"x" * 200)
    assert len(queue) == MANY, "one frame for each machine that becomes ready"
    for _ in range(100):
        queue.add(b"x" * 100_000)
    assert queue.queued_bytes <= MAX_QUEUED_BYTES
    assert len(queue.take_all()) <= MAX_QUEUED_BYTES and queue.queued_bytes == 0


def test_settings_allow_for_the_fleet() -> None:
    assert OperatorSettings().fleet.most_machines >= MANY


def reconciled(day: Day) -> bool:
    """Return whether each shard has a leader that knows the running tasks of all machines in the shard."""
    shards = [leader.shard for controller, _ in day.controllers.values() for leader in controller.leaders.values()]
    return len(shards) == len(HOSTS) and all(shard.reconciled for shard in shards)


@pytest.mark.parametrize("machines", [FEW, MANY])
def test_takeover_and_restart_of_all(machines: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """No worker's lease expires during a failover of all shards to one controller and a restart of all controllers.

    Meanwhile, controllers must not treat any machine as unresponsive or unreachable.
    """
    suspected_machines: list[str] = []
    monkeypatch.setattr(Fencing, "_delete_unresponsive", lambda self, machine: suspected_machines.append(machine.name))
    monkeypatch.setattr(
        HeartbeatReconciler, "_mark_unreachable", lambda self, machine: suspected_machines.append(machine.name)
    )
    day = Day(
        seed=3, machines=machines, capacity=0, rps=3000, write_rps=6000, sockets=3 * machines, tick=SECOND, txn_ops=48
    )
    registered = lambda: sum(key.startswith("b/machines/") for key in day.store.items)  # noqa: E731
    assert day.run_until(lambda: reconciled(day) and registered() == machines, 20), "all machines are registered"
    for host in HOSTS[1:]:
        day.crash(host)
    remaining = day.controllers[HOSTS[0]][0]
    assert day.run_until(lambda: len(remaining.leaders) == len(HOSTS) and reconciled(day), 15), (
        "the remaining controller leads all shards"
    )
    requests_before = remaining.storage.store.requests
    day.run(3)
    assert remaining.storage.store.requests - requests_before < 150, (
        "the number of requests does not depend on the number of machines"
    )
    assert day.sockets(HOSTS[0]) < machines + 300
    day.crash(HOSTS[0])
    for host in HOSTS:
        day.start(host)
    assert day.run_until(lambda: reconciled(day), 15)
    pages = -(-machines // 500)
    for controller, _ in day.controllers.values():
        assert controller.storage.store.requests < 120 + 3 * pages
    assert {worker.incarnation for worker in day.site.workers.values()} == {1}, "no lease expired"
    assert suspected_machines == []
    assert day.rules.broken == []


def test_judging_silence_looks_at_each_machine_once_in_seconds() -> None:
    """Counting the machines with overdue heartbeats visits each machine of the shard once.

    The leader caches the count for a time that is proportional to the number of machines: 2 s for 4,000 machines.
    """
    costs = []
    for machines in (FEW, MANY):
        shard, _ = busy_shard(machines)
        costs.append(calls_in(lambda shard=shard: count_overdue(shard, SECOND, 0 * SECOND, 2 * SECOND)))
    assert costs[1] < 5 * costs[0]
    assert RENEWAL_AGE_PER_MACHINE * MANY == 2 * SECOND, (
        "the leader of a shard with 4,000 machines caches the count for 2 s"
    )


def test_a_relayed_heartbeat_costs_the_same_at_any_size() -> None:
    """Relaying a heartbeat for a peer takes as many function calls with 4,000 machines as with 1,000.

    The calls are those for choosing the route, forwarding the request and returning the response.
    """
    costs = []
    for machines in (FEW, MANY):
        day = Day(seed=1, machines=0)
        day.run(0.1)
        routes, sent = RelayRoutes(), []
        forwarder = RequestForwarder(
            day.loop, day.group, "b", MANY, 0, lambda host, message, sent=sent: sent.append(message)
        )
        for number in range(machines):
            routes.decide(f"host-{number}", "a", True, True, SECOND)
        request = Request("POST", "/checkin", "", b"x" * 600)

        def relay(routes=routes, forwarder=forwarder, sent=sent, day=day, request=request) -> None:
            assert routes.decide("host-7", "a", True, True, 2 * SECOND) is Route.RELAY
            task = day.loop.spawn(forwarder.forward("a", request, SECOND), "relay")
            task.step()
            message = sent.pop()
            mesh.encoder.encode(message)
            forwarder.on_response(mesh.ForwardedResponse("a", message.number, 200, b"{}"))

        relay()
        costs.append(calls_in(relay))
    assert costs[0] == costs[1] < 100


def test_all_machines_of_a_controller_can_be_relayed_at_once() -> None:
    """The limits on relayed requests and on queued bytes are high enough for 4,000 relayed heartbeats."""
    assert Connectivity().relays_at_once >= MANY
    heartbeat = Heartbeat("host-0000001", "10.0.0.1:9000", "k8", "a", False, 1, 9, 7, None, TASKS_OF_A_MACHINE)
    frame = mesh.encoder.encode(mesh.ForwardedRequest("b", 1 << 47, "POST", "/checkin", msgspec.json.encode(heartbeat)))
    assert MANY / 4 * len(frame) < MAX_QUEUED_BYTES, (
        "a quarter of the heartbeats fits into the queue for a peer that reads slowly"
    )


TASKS_OF_A_MACHINE = [TaskStatus(f"run-000412/{index}", 1 << 40, "running") for index in range(16)]


def vast_gossip(running: int, images: int, demands: int) -> mesh.Gossip:
    """Return gossip about a shard with this many running jobs, cached images and waiting jobs, all with long names."""
    names = [f"{number:06d}{'x' * 58}" for number in range(max(running, images, demands))]
    summary = ShardSummary(
        0,
        1,
        True,
        4000,
        [],
        {name: mesh.ImageCapacity(float(number), 1.0) for number, name in enumerate(names[:images])},
        {name: [16.0] * 16 for name in names[:images]},
        {},
        [
            PendingDemand(name, "blue", 1.0, 0.0, 1.0, 5, False, 1, True, 1.0, None, None, False)
            for name in names[:demands]
        ],
        0.0,
        dict.fromkeys(names[:running], 1),
        {},
    )
    return mesh.Gossip("drover-0", 7, True, True, False, [summary])


@pytest.mark.parametrize(
    "running, images, demands",
    [
        pytest.param(14000, 6000, 500, id="images_go_first"),
        pytest.param(2000, 100, 20000, id="then_waiting_jobs"),
        pytest.param(100000, 6000, 20000, id="running_jobs_last"),
    ],
)
def test_gossip_of_any_size_fits_into_a_frame(running: int, images: int, demands: int) -> None:
    """A frame above the limit was refused by the peers, which closed the connection and then suspected the sender."""
    gossip = vast_gossip(running, images, demands)
    assert len(mesh.encoder.encode(gossip)) > MAX_FRAME_BYTES
    payload = encode_gossip(gossip)
    (summary,) = mesh.decoder.decode(payload).shards
    assert MAX_FRAME_BYTES / 3 < len(payload) <= MAX_FRAME_BYTES
    if running < 100000:
        assert len(summary.running) == running
    else:
        assert (len(summary.images), len(summary.demands)) == (0, 0) and len(summary.running) > 10000


def open_streams(day: Day, source: str, target: str) -> set[int]:
    """Return the ids of the open connections from one host to another."""
    return {
        id(near)
        for origin, end, near, far in day.world.streams
        if (origin, end) == (source, target) and not near.closed
    }


def test_a_message_above_a_frame_is_dropped_and_the_connection_stays() -> None:
    day = Day(seed=5)
    day.run(5)
    mesh_of_first = day.controllers[HOSTS[0]][0].membership.mesh
    before = open_streams(day, HOSTS[0], HOSTS[1])
    mesh_of_first.send(HOSTS[1], mesh.Push("b/jobs/x", 1, b"x" * (MAX_FRAME_BYTES + 1)))
    day.run(2)
    assert before and before <= open_streams(day, HOSTS[0], HOSTS[1])
