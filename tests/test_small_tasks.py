"""Thousands of tasks that take almost nothing of a machine: messages and task lists stay within 64 KiB.

Found by review case 5: answers and heartbeats grew beyond the limit, leases ended again and again, and neither the
array nor other teams' jobs on the same machines were ever done (docs/incidents/heartbeat-too-long-to-be-sent.md).
"""

import json
from datetime import timedelta

import pytest

from badgerroute.coordination.shards.summary import idle_capacities
from badgerroute.protocol.cloud import MachineType
from badgerroute.protocol.common import encode
from badgerroute.protocol.mesh import CrowdedCapacity, FreeCapacity, PendingDemand, ShardSummary, TaskListRoom
from badgerroute.protocol.message_sizes import MAX_MESSAGE_BYTES, TASK_LIST_BYTES, max_task_status_bytes
from badgerroute.protocol.users import parse_submission
from badgerroute.protocol.workers import DirectCommands, Heartbeat, HeartbeatResponse, TaskStatus
from badgerroute.scheduling.capacities import free_resources_of
from badgerroute.scheduling.objectives import Objectives
from badgerroute.scheduling.planner import Planner
from badgerroute.scheduling.resources import need_of
from badgerroute.scheduling.scale_out_planning import MachinePool, ScaleOutPlan
from badgerroute.scheduling.shard import Shard
from badgerroute.settings import OperatorSettings, Team
from badgerroute.storage.records import JobRecord, MachineRecord
from badgerroute.storage.task_ranges import TaskRange
from tests.standins.day import SECOND, Day, job

COUNTER = 2**64 - 1
LARGE = MachineType("g8", 96.0, 0.0, 768.0, 200.0, 1.0, 12.0, 0.0, 45.0, ["a"])
TEAMS = [Team("blue", 64.0, 216.0), Team("red", 104.0, 320.0)]


def small(ref: str, heads: int, **changes: object) -> dict:
    return job(ref, **{"heads": heads, "cpus": 0.05, "ram_gb": 0.01, "rank": "idle", "trek_s": 1.0, **changes})


def small_tasks_day(seed: int = 1, **options) -> Day:
    day = Day(seed=seed, machines=4, capacity=2, cpus_per_machine=96.0, teams=TEAMS, **options)
    day.run(6)
    return day


def never() -> bool:
    """Return False; passed to functions that call it to learn whether their time has run out."""
    return False


# -- days


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_vast_array_and_another_teams_job_are_both_done(seed: int) -> None:
    day = small_tasks_day(seed)
    day.submit(job("run-000398", crew="red", heads=40, trek_s=30.0))
    day.run(4)
    assert day.submit(small("run-000412", 4000)) == 201
    assert day.finish(80) == []
    assert (day.rules.broken, day.site.killed_by_lease) == ([], [])


def test_the_array_goes_on_at_full_pace() -> None:
    """A machine's list has room for some 500 tasks at a time, so 4,000 tasks of 1 s need few rounds on 4 machines."""
    day = small_tasks_day(write_rps=200)
    day.submit(small("run-000412", 4000))
    assert day.finish(30) == []
    assert day.rules.broken == []


def test_other_teams_work_gets_room_beside_an_array_of_equal_rank() -> None:
    """The array's tasks are long, come first and fill every task list; what others submit later starts all the same."""
    day = small_tasks_day()
    day.submit(small("run-000412", 4000, rank="normal", trek_s=8.0))
    day.run(10)
    day.submit(job("run-000399", crew="red", heads=80, trek_s=5.0))
    assert day.run_until(lambda: day.site.is_done("run-000399"), 60)
    assert day.finish(400) == []
    assert day.rules.broken == []


def test_urgent_work_gets_the_task_lists_that_idle_tasks_fill() -> None:
    """Nothing but the list is full: idle tasks are stopped, and the clears of their exits make the room.

    In a shard without free capacity, nothing asked for the quota that the urgent job lacked there too.
    """
    day = small_tasks_day()
    day.submit(small("run-000412", 3000, trek_s=3000.0))
    day.run(15)
    day.submit(job("run-000399", crew="red", heads=20, trek_s=5.0, rank="urgent"))
    assert day.run_until(lambda: day.site.is_done("run-000399"), 60)
    day.cancel("run-000412")
    assert day.finish(60) == []
    assert day.rules.broken == []


@pytest.mark.parametrize("hosts", [("drover-0",), ("drover-0", "drover-1", "drover-2")])
def test_machines_with_full_task_lists_are_taken_over(hosts: tuple[str, ...]) -> None:
    day = small_tasks_day()
    day.submit(small("run-000412", 4000, trek_s=20.0))
    day.run(12)
    assert len(day.rules.worker_by_task) > 1500
    for host in hosts:
        day.restart(host, after=SECOND)
    assert day.finish(300) == []
    assert (day.rules.broken, day.site.killed_by_lease) == ([], [])


def test_thousands_of_small_tasks_are_cancelled_in_time() -> None:
    day = small_tasks_day()
    day.submit(small("run-000412", 4000, trek_s=3000.0))
    day.run(12)
    assert len(day.rules.worker_by_task) > 1500
    assert day.cancel("run-000412") == "withdrawn"
    assert day.run_until(lambda: not day.rules.worker_by_task, 20)
    assert day.finish(60) == []
    assert day.rules.broken == []


def test_exits_that_can_not_be_recorded_stay_within_the_list() -> None:
    """While the key-value store is out, exits of done tasks are not cleared and so keep their room in the list."""
    day = small_tasks_day()
    day.submit(small("run-000412", 4000, trek_s=2.0))
    day.run(6)
    day.store.down = True
    day.run(25)
    day.store.down = False
    assert day.finish(200) == []
    assert day.rules.broken == []


# -- one shard


def shard_with(description: dict, machines: int = 1) -> tuple[Shard, Planner]:
    """Return a reconciled shard with empty machines and one job, of which all tasks belong to the shard."""
    shard = Shard(0, 7, lambda team: (1000.0, 0.0), timedelta(0))
    planner = Planner(shard, OperatorSettings().scheduling, Objectives([]))
    for number in range(machines):
        name = f"host-{number:06d}"
        machine = shard.add_machine(name, MachineRecord(0, f"{name}:9000", "g8", "a", False), LARGE, timedelta(0))
        shard.on_heartbeat(machine, heartbeat(name, 1, []), True, SECOND)
    shard.reconcile()
    spec = parse_submission(json.dumps(description).encode())
    shard.add_job(JobRecord(spec, 0.0, [TaskRange(0, 0, spec.tasks)]), timedelta(0), 100_000, SECOND)
    return shard, planner


def heartbeat(name: str, sequence: int, tasks: list[TaskStatus]) -> Heartbeat:
    return Heartbeat(name, f"{name}:9000", "g8", "a", False, 1, sequence, 7, None, tasks)


def longest_report(ref: str, count: int) -> int:
    """Return the size of a heartbeat with this many tasks in the longest encoding of all fields."""
    text = "\N{GRINNING FACE}" * 120
    heads = [
        {"head": f"{ref}/99999", "try": COUNTER, "condition": "exited", "cause": "mates_gone", "kept": False}
    ] * count
    report = {"mount": text, "address": text, "breed": text, "pasture": text, "strays": False, "heads": heads}
    report |= {"ride": COUNTER, "tally": COUNTER, "crook": COUNTER, "recall_s": 2.2250738585072014e-308}
    return len(json.dumps(report))


@pytest.mark.parametrize("ref", ["run-000412", "run-" + "x" * 60])
def test_a_machine_is_given_only_tasks_that_its_next_heartbeat_can_name(ref: str) -> None:
    shard, planner = shard_with(small(ref, 5000))
    machine = shard.machines["host-000000"]
    planner.fill_machine(machine, SECOND, never)
    started = len(shard.commands(machine, SECOND, starts=True))
    assert started == len(machine.placements) == TASK_LIST_BYTES // max_task_status_bytes(ref)
    assert longest_report(ref, started) <= MAX_MESSAGE_BYTES < longest_report(ref, started + 50)


def test_exited_orphaned_and_adopted_tasks_take_room_in_the_list() -> None:
    shard, planner = shard_with(small("run-000412", 5000))
    machine = shard.machines["host-000000"]
    tasks = [TaskStatus(f"run-000412/{number}", 5, "running") for number in range(100)]  # of a former leader
    tasks += [TaskStatus(f"run-999999/{number}", 5, "running") for number in range(100)]  # of no known job
    tasks += [TaskStatus(f"run-000412/{number}", 5, "exited", "done") for number in range(100, 200)]  # not recorded
    shard.on_heartbeat(machine, heartbeat(machine.name, 2, tasks), True, 2 * SECOND)
    shard.reconcile()
    planner.fill_machine(machine, 2 * SECOND, never)
    kinds = [command.kind for command in shard.commands(machine, 2 * SECOND, starts=True)]
    most = TASK_LIST_BYTES // max_task_status_bytes("run-000412")
    assert kinds.count("halt") == 100 and kinds.count("clear") == 0
    assert kinds.count("start") + len(tasks) <= most


def test_starts_wait_while_an_unexpected_list_leaves_no_room() -> None:
    """A task that was placed before the list turned out to be full is not lost: it starts once there is room."""
    shard, planner = shard_with(small("run-000412", 1000))
    machine = shard.machines["host-000000"]
    planner.fill_machine(machine, SECOND, never)
    placed = len(machine.placements)
    orphans = [TaskStatus(f"run-999999/{number}", 5, "running") for number in range(300)]
    shard.on_heartbeat(machine, heartbeat(machine.name, 2, orphans), True, 2 * SECOND)
    kinds = [command.kind for command in shard.commands(machine, 2 * SECOND, starts=True)]
    assert kinds.count("start") + 300 <= placed
    gone = [TaskStatus(task.task, 5, "exited", "stopped") for task in orphans]
    started = [placement for placement in machine.placements.values() if placement.sent is not None]
    running = [TaskStatus(placement.task, placement.attempt, "running") for placement in started]
    shard.on_heartbeat(machine, heartbeat(machine.name, 3, gone + running), True, 3 * SECOND)
    kinds = [command.kind for command in shard.commands(machine, 3 * SECOND, starts=True)]
    assert kinds == ["clear"] * 300 + ["start"] * (placed - len(started))


def test_stops_of_more_tasks_than_a_message_holds_are_sent_in_several() -> None:
    """An older version may have left a machine with more tasks than this one would start. None of the stops is lost."""
    shard, _ = shard_with(small("run-" + "x" * 60, 5000))
    machine = shard.machines["host-000000"]
    ref = "run-" + "x" * 60
    tasks = [TaskStatus(f"{ref}/{number}", COUNTER, "running") for number in range(1200)]
    shard.on_heartbeat(machine, heartbeat(machine.name, 2, tasks), True, 2 * SECOND)
    shard.drop_job(ref)
    stopped: set[str] = set()
    for message in range(3):
        commands = shard.commands(machine, 2 * SECOND, starts=message == 0)
        assert len(encode(HeartbeatResponse(COUNTER, commands))) <= MAX_MESSAGE_BYTES
        assert len(encode(DirectCommands(COUNTER, COUNTER, commands))) <= MAX_MESSAGE_BYTES
        assert {command.kind for command in commands} == {"halt"}
        stopped |= {command.task for command in commands}
    assert stopped == {task.task for task in tasks}


def test_clears_go_before_repeated_stops() -> None:
    shard, _ = shard_with(small("run-000412", 5000, waypoint_s=1.0, pen_s=60.0))
    machine = shard.machines["host-000000"]
    tasks = [TaskStatus(f"run-000412/{number}", COUNTER, "running") for number in range(900)]
    exited = [TaskStatus(f"run-000412/{number}", COUNTER, "exited", "stopped") for number in range(900, 1100)]
    shard.on_heartbeat(machine, heartbeat(machine.name, 2, tasks + exited), True, 2 * SECOND)
    for placement in machine.placements.values():
        shard.stop(placement, 60 * SECOND)
    first = shard.commands(machine, 2 * SECOND, starts=True)
    second = shard.commands(machine, 3 * SECOND, starts=True)
    assert {command.kind for command in first} == {"halt"}
    assert [command.kind for command in second].count("clear") == 200


# -- scale-out, stealing and splitting


def summary_of(capacities: list[FreeCapacity], demands: list[PendingDemand], **changes) -> ShardSummary:
    fields = {"soon_free_cpus": 0.0, "running": {}, "used": {}, **changes}
    return ShardSummary(0, 1, True, 1, capacities, {}, {}, {}, demands, **fields)


def demand_of(count: int) -> PendingDemand:
    return PendingDemand("run-000412", "blue", 0.05, 0.0, 0.01, count, False, 0, True, 9.0, None, None, False)


FULL_LIST = CrowdedCapacity("g8", "a", False, 90.0, 0.0, 700.0, 1, 0)


@pytest.mark.parametrize(
    "summary, machines",
    [
        pytest.param(summary_of([], [demand_of(4000)]), 9, id="new_machines_hold_496_tasks_each"),
        pytest.param(
            summary_of([], [demand_of(900)], task_lists=TaskListRoom(0, [FULL_LIST])),
            2,
            id="a_full_list_has_no_room",
        ),
        pytest.param(
            summary_of([], [demand_of(900)], soon_free_cpus=90.0, task_lists=TaskListRoom(90 * 120, [])),
            2,
            id="processors_that_few_tasks_leave",
        ),
    ],
)  # fmt: skip
def test_machines_are_rented_for_tasks_that_no_list_has_room_for(summary: ShardSummary, machines: int) -> None:
    plan = ScaleOutPlan({"g8": LARGE}, TEAMS, lambda pool: True, 50)
    assert plan.machines_wanted([summary], []) == {MachinePool("g8", "a", False): machines}


def test_an_empty_machines_capacity_is_told_as_older_versions_tell_it() -> None:
    shard, planner = shard_with(small("run-000412", 5000))
    (capacity,) = idle_capacities(shard).capacities
    assert type(capacity) is FreeCapacity
    machine = shard.machines["host-000000"]
    planner.fill_machine(machine, SECOND, never)
    (capacity,) = idle_capacities(shard).capacities
    spec = parse_submission(json.dumps(small("run-000413", 10)).encode())
    assert free_resources_of(capacity).count_fitting(need_of(spec)) == 0
