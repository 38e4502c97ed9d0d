"""Jobs with predecessors are released once all of them are done, and cancelled if one of them is; also under faults.

A predecessor is a job named in `follows`; a dependent is a job that waits for it.
"""

import json
from collections.abc import Callable, Iterator
from datetime import timedelta

import msgspec
import pytest

from badgerroute.coordination.jobs.downstream_cancellation import DownstreamCancellation
from badgerroute.coordination.jobs.job_lookup import ActiveJob
from badgerroute.coordination.jobs.job_reader import JobReader
from badgerroute.coordination.jobs.upstream_resolver import UpstreamResolver
from badgerroute.protocol.users import Submission
from badgerroute.scheduling.dependencies import Dependencies, FinalState
from badgerroute.scheduling.inheritance import JOBS_PER_CLOCK_CHECK, InheritancePass, Inherited
from badgerroute.storage import records
from badgerroute.storage.records import JobState
from tests.standins.day import HOSTS, SECOND, Day, job
from tests.test_meetings import MEETINGS

CANCEL = 36  # seconds after a confirmed cancellation within which all tasks and dependents must be cancelled


# -- The dependency graph


class Graph:
    """A dependency graph, and the jobs that it has reported as released and as cancelled.

    `ends`: job -> its final state, for jobs that ended before the graph was created.
    """

    def __init__(self, **ends: str) -> None:
        self.ends = {name: FinalState(JobState(state), 7.0) for name, state in ends.items()}
        self.released: list[str] = []
        self.cancelled: list[str] = []
        self.graph = Dependencies(self.ends.get, self.released.append, self.cancelled.append)

    def end(self, ref: str, state: str, at: float = 7.0) -> None:
        """Record a job's final state, reached at the wall-clock time `at`."""
        self.ends[ref] = FinalState(JobState(state), at)
        self.graph.remove(ref)
        self.graph.finished(ref, self.ends[ref])


@pytest.mark.parametrize(
    ("needs", "ends", "released", "cancelled"),
    [
        ({"b": "a"}, [], "", ""),
        ({"b": "a"}, [("a", "done")], "b", ""),
        ({"b": "a"}, [("a", "withdrawn")], "", "b"),
        ({"c": "ab"}, [("a", "done")], "", ""),
        ({"c": "ab"}, [("a", "done"), ("b", "done")], "c", ""),
        ({"c": "ab"}, [("a", "done"), ("b", "withdrawn")], "", "c"),
        ({"c": "ab"}, [("a", "withdrawn"), ("b", "done")], "", "c"),
        ({"b": "a", "c": "b", "d": "c"}, [("a", "withdrawn")], "", "bcd"),
        ({"b": "a", "c": "b", "d": "cx"}, [("b", "withdrawn")], "", "cd"),
        ({"b": "a", "c": "b"}, [("a", "done"), ("b", "done")], "bc", ""),
        ({"c": "b", "b": "a"}, [("a", "withdrawn")], "", "bc"),
        ({"b": "o"}, [], "b", ""),  # `o` was done before `b` was added
        ({"b": "w", "c": "b"}, [], "", "bc"),  # `w` was cancelled before `b` was added
        ({"c": "b", "b": "w"}, [], "", "bc"),
        ({"b": "aa"}, [("a", "done")], "b", ""),
    ],
)
def test_final_states_decide(needs: dict[str, str], ends: list, released: str, cancelled: str) -> None:
    """`needs`: job -> its predecessors, one letter each. `ends`: job and final state, in the order of the reports."""
    for repeated in (False, True):  # adding a job or reporting its end a second time changes nothing
        graph = Graph(o="done", w="withdrawn")
        for ref, predecessors in needs.items():
            for _ in range(1 + repeated):
                graph.graph.add(ref, predecessors)
        for ref, state in ends:
            for _ in range(1 + repeated):
                graph.end(ref, state)
        assert "".join(graph.released) == released
        assert "".join(sorted(graph.cancelled)) == cancelled
        assert all(graph.graph.waits(ref) != (ref in released) for ref in needs if ref not in dict(ends))


def test_the_last_predecessor_starts_the_clock() -> None:
    """A job counts as waiting from when the last of its predecessors was done, whatever the order of the reports."""
    graph = Graph()
    graph.graph.add("c", "ab")
    graph.end("b", "done", 50.0)
    graph.end("a", "done", 20.0)
    assert graph.graph.released_at("c") == 50.0


def test_what_dependents_hand_back() -> None:
    """A predecessor inherits the highest level and the earliest due time from its dependents that are not cancelled."""
    graph = Graph()
    for ref, predecessors in {"b": "a", "c": "a", "d": "bc", "e": "c"}.items():
        graph.graph.add(ref, predecessors)
    due = {"a": 1000.0, "b": 900.0, "c": 800.0, "d": 100.0, "e": 40.0}
    duration = {"a": 1.0, "b": 20.0, "c": 5.0, "d": 10.0, "e": 10.0}
    level = {"a": 0, "b": 1, "c": 0, "d": 0, "e": 3}

    def inherited(out_of_time: Callable[[], bool] = lambda: False) -> tuple[dict[str, Inherited], int]:
        inheritance = InheritancePass(graph.graph, lambda ref: Inherited(level[ref], due[ref]), duration.__getitem__)
        slices = 1
        while not inheritance.advance(out_of_time):
            slices += 1
        return inheritance.result, slices

    expected = {"a": (3, 25.0), "b": (1, 90.0), "c": (3, 30.0), "d": (0, 100.0), "e": (3, 40.0)}
    assert inherited()[0] == expected
    graph.end("e", "withdrawn")
    expected = {"a": (1, 70.0), "b": (1, 90.0), "c": (0, 90.0), "d": (0, 100.0)}
    assert inherited()[0] == expected


def test_inheritance_goes_on_where_the_last_slice_stopped() -> None:
    """Inherited levels and due times are computed in slices of at most JOBS_PER_CLOCK_CHECK jobs; no job is repeated.

    The graph has ten chains of a hundred jobs and ten jobs with a hundred dependents each.
    """
    graph = Graph()
    for number in range(10):
        for link in range(100):
            graph.graph.add(f"c{number}-{link + 1}", [f"c{number}-{link}"])
            graph.graph.add(f"f{number}-{link}", [f"root{number}"])
    visits, slices = 0, 0

    def own(ref: str) -> Inherited:
        nonlocal visits
        visits += 1
        return Inherited(2 if ref.endswith("-100") else 0, 500.0)

    inheritance = InheritancePass(graph.graph, own, lambda ref: 1.0)
    while True:
        before, slices = visits, slices + 1
        if inheritance.advance(lambda: True):
            break
        assert visits - before <= JOBS_PER_CLOCK_CHECK
        if slices == 20:
            graph.graph.add("late", ["c3-100"])  # adding a job between two slices is allowed
    assert slices > 100 and visits <= 2102
    assert inheritance.result["c7-0"] == (2, 400.0) and inheritance.result["root4"] == (0, 499.0)


def test_long_chains_and_wide_graphs() -> None:
    """A chain of 3,000 jobs must not exceed the interpreter's recursion limit."""
    graph = Graph()
    for number in range(3000):
        graph.graph.add(f"c{number + 1}", [f"c{number}"])
        graph.graph.add(f"w{number}", ["c0"])
    inheritance = InheritancePass(graph.graph, lambda ref: Inherited(0, 0.0), lambda ref: 0.0)
    assert inheritance.advance(lambda: False) and len(inheritance.result) == 6001
    graph.end("c0", "withdrawn")
    assert len(graph.cancelled) == 6000


# -- Simulated runs of a whole cluster


def chain(day: Day, name: str, length: int = 4, **last: object) -> list[str]:
    """Submit a chain of jobs in order and return them. `last`: fields of the last job; the others are idle."""
    refs = [f"run-{name}{number}" for number in range(length)]
    for number, ref in enumerate(refs):
        predecessor = {"follows": refs[number - 1 : number]} if number else {}
        changes = last if number == length - 1 else {"rank": "idle"}
        gang = {"gait": "group", "heads": 2} if number == 2 else {"heads": 3}
        day.submit(job(ref, **({"trek_s": 3.0} | gang | changes | predecessor)))
    return refs


def test_a_pipeline_runs_in_order() -> None:
    """The jobs of a chain complete in order, and no controller schedules a job before its predecessor is done."""
    day = Day(seed=41)
    day.run(5)
    refs = chain(day, "p", rank="urgent", market_s=90.0)
    day.run(1)
    assert [day.poll(ref) for ref in refs[1:]] == ["queued"] * 3
    assert all(
        ref not in leader.shard.jobs
        for controller, _ in day.controllers.values()
        for leader in controller.leaders.values()
        for ref in refs[1:]
    )
    assert day.finish(90) == []
    assert [day.last_conditions[ref] for ref in refs] == ["done"] * 4
    ended_at = {key[7:]: item[0]["at"] for key, item in day.store.items.items() if key.startswith("b/past/")}
    assert [ended_at[ref] for ref in refs] == sorted(ended_at[ref] for ref in refs)
    assert day.rules.broken == []


def test_jobs_that_wait_take_nothing_from_others() -> None:
    """Jobs with unfinished predecessors use no quota, and no machines are rented for them.

    Urgent jobs that ask for 1,200 processors in total wait for a predecessor. An idle job must still start immediately.
    """
    day = Day(seed=42, machines=3)
    day.run(5)
    day.submit(job("run-first", heads=1, trek_s=40.0))
    for number in range(12):
        day.submit(job(f"run-w{number}", heads=100, rank="urgent", follows=["run-first"]))
    day.submit(job("run-other", heads=10, rank="idle", trek_s=2.0))
    machines_before = len(day.site.workers) + len(day.site.booting)
    assert day.run_until(lambda: day.poll("run-other") == "done", 25)
    assert len(day.site.workers) + len(day.site.booting) <= machines_before + 2, (
        "no more than two spot machines may be added"
    )
    day.cancel("run-first")
    assert day.finish() == []
    assert day.rules.broken == []


@pytest.mark.parametrize(
    ("follows", "status"),
    [
        (["run-running"], 201),
        (["run-over"], 201),
        (["run-off"], 201),
        (["run-running", "run-over", "run-over"], 201),
        (["run-nobody"], 422),
        (["run-over", "run-nobody"], 422),
        (["run-new"], 422),
        ([], 201),
        (None, 201),
        ("run-over", 400),
        ([7], 400),
        (["over"], 400),
        ([None], 400),
        ({"run-over": 1}, 400),
    ],
)
def test_what_may_be_named(follows: object, status: int) -> None:
    """`follows` may name running, done and cancelled jobs; an unknown job gets 422, a malformed list 400."""
    day = Day(seed=43)
    day.run(5)
    day.submit(job("run-over", heads=1, trek_s=0.5))
    assert day.finish() == []
    day.submit(job("run-running", heads=2, trek_s=8.0))
    day.submit(job("run-off", heads=2, trek_s=30.0))
    day.cancel("run-off")
    for host in HOSTS:  # immediately, so that some controllers might not know the predecessors yet
        ref = f"run-new{host[-1]}" if follows != ["run-new"] else "run-new"
        described = job(ref, follows=follows)
        day.site.jobs[ref] = described
        response = day.ask("POST", "/v1/jobs", described, host=host)
        assert response is not None and response.status == status
        if status == 201:
            day.accepted.add(ref)
    assert day.finish() == []
    expected = {"withdrawn"} if follows == ["run-off"] else {"done"}
    assert {day.last_conditions[ref] for ref in day.accepted if ref.startswith("run-new")} <= expected
    assert day.rules.broken == []


def test_names_that_can_not_be_looked_up() -> None:
    """While the key-value store is unreachable, a submission with unknown predecessors gets 503, not 422.

    The response to a repeated submission of an accepted job reports the job's state, even if the repeated submission
    names an unknown predecessor.
    """
    day = Day(seed=44)
    day.run(5)
    day.submit(job("run-a", heads=1, trek_s=60.0))
    day.submit(job("run-b", follows=["run-a"]))
    day.store.outage(True)
    assert day.ask("POST", "/v1/jobs", job("run-c", follows=["run-zzz"])).status == 503
    day.store.outage(False)
    day.run(1)
    for host in HOSTS:
        response = day.ask("POST", "/v1/jobs", job("run-b", follows=["run-zzz"]), host=host)
        assert response.status == 200 and json.loads(response.body)["condition"] == "queued"
    day.cancel("run-a")
    assert day.finish() == []
    assert day.rules.broken == []


def wide(day: Day) -> list[str]:
    """Submit a hundred dependents of run-first."""
    refs = [f"run-w{number}" for number in range(100)]
    for ref in refs:
        day.submit(job(ref, heads=2, follows=["run-first"]))
    return refs


def deep(day: Day) -> list[str]:
    """Submit a chain of a hundred jobs after run-first."""
    refs = [f"run-d{number}" for number in range(100)]
    for number, ref in enumerate(refs):
        day.submit(job(ref, heads=2, follows=[refs[number - 1] if number else "run-first"]))
    return refs


def well(day: Day) -> None:
    """Inject no fault."""


def outage(day: Day) -> None:
    """Start an outage of the key-value store. The test calls this right after a cancellation was confirmed."""
    day.store.outage(True)
    day.loop.later((CANCEL + 12) * SECOND, lambda: day.store.outage(False))


def confirmer_ends(day: Day) -> None:
    """Restart two of the three controllers, which might include the one that confirmed the cancellation."""
    for host in HOSTS[:2]:
        day.restart(host, 4 * SECOND)


def all_end(day: Day) -> None:
    """Restart all controllers."""
    for host in HOSTS:
        day.restart(host, 3 * SECOND)


def writes_late(day: Day) -> None:
    """For 20 s, let the key-value store apply some transactions only after the controller's request has timed out."""
    day.store.late_write_probability = 0.3
    day.loop.later(20 * SECOND, lambda: setattr(day.store, "late_write_probability", 0.0))


@pytest.mark.parametrize(
    "trouble", [well, outage, confirmer_ends, all_end, writes_late], ids=lambda fault: fault.__name__
)
@pytest.mark.parametrize("graph", [wide, deep], ids=lambda submit: submit.__name__)
def test_dependents_are_cancelled(graph: Callable[[Day], list[str]], trouble: Callable[[Day], None]) -> None:
    """All direct and indirect dependents of a cancelled job are reported as cancelled within CANCEL seconds."""
    day = Day(seed=45, machines=3)
    day.run(5)
    day.submit(job("run-first", heads=1, trek_s=200.0))
    refs = graph(day)
    day.run(1)
    assert day.cancel("run-first") == "withdrawn"
    confirmed_at = day.loop.now()
    trouble(day)
    while day.loop.now() - confirmed_at < CANCEL * SECOND:
        for ref in refs[::17]:
            day.poll(ref)
        day.run(2)
    # CANCEL seconds have passed, so no job may be reported as queued or running. None: the controller did not answer.
    answers = {day.poll(ref, host=host) for ref in refs[::7] for host in HOSTS}
    assert answers <= {"withdrawn", None}
    assert trouble in (outage, writes_late) or answers == {"withdrawn"}
    assert day.finish(200) == []
    assert {day.last_conditions[ref] for ref in refs} == {"withdrawn"}
    assert day.run_until(lambda: not any(key.startswith("b/jobs/") for key in day.store.items), 60), (
        "the records of the cancelled jobs are deleted within another minute"
    )
    assert day.rules.start_count <= 1
    assert day.rules.broken == []


def test_what_a_controller_has_forgotten_is_looked_up(monkeypatch: pytest.MonkeyPatch) -> None:
    """A restarted controller reports a job as cancelled if another controller has reported it so before the restart.

    The job was cancelled because its predecessor was cancelled. The restarted controller has to look up the
    predecessor's final state in the key-value store.
    """

    async def never(self: DownstreamCancellation | UpstreamResolver) -> None:
        await self._loop.sleep(timedelta(days=1))

    monkeypatch.setattr(DownstreamCancellation, "run", never)  # so that the dependents' own records stay active
    monkeypatch.setattr(UpstreamResolver, "run", never)
    day = Day(seed=51)
    day.run(5)
    day.submit(job("run-a", heads=1, trek_s=90.0))
    day.submit(job("run-b", follows=["run-a"]))
    day.submit(job("run-c", follows=["run-b"]))
    day.cancel("run-a", host=HOSTS[1])
    assert day.poll("run-c", host=HOSTS[1]) == "withdrawn"
    day.run(CANCEL + 4)  # after this time, no controller sends the cancellation to its peers any more
    day.restart(HOSTS[0], SECOND)
    assert day.run_until(lambda: day.ask("GET", "/up", host=HOSTS[0]) is not None, 8)
    day.run(3)
    assert day.poll("run-c", host=HOSTS[0]) == "withdrawn"
    assert day.rules.broken == []


def test_a_cancellation_that_meets_the_end_of_a_predecessor() -> None:
    """If a job is cancelled at the moment it ends, either it is done and its dependent runs, or both are cancelled."""
    outcomes = set()
    for seed in range(8):
        day = Day(seed=50 + seed)
        day.run(5)
        day.submit(job("run-a", heads=1, trek_s=3.0))
        day.submit(job("run-b", heads=1, trek_s=1.0, follows=["run-a"]))
        assert day.run_until(lambda day=day: "run-a/0" in day.rules.worker_by_task, 20)
        day.run(0.5)
        ends_at = day.rules.worker_by_task["run-a/0"].tasks["run-a/0"].state_ends_at
        day.store.delay_factor = 10.0
        day.run((ends_at - day.loop.now()) / SECOND - 0.2 + 0.05 * seed)
        outcome = day.cancel("run-a")
        assert day.finish() == []
        assert day.last_conditions["run-b"] == ("done" if outcome == "done" else "withdrawn")
        assert day.rules.broken == []
        outcomes.add(outcome)
    assert outcomes == {"done", "withdrawn"}


def test_an_urgent_end_lifts_what_it_needs() -> None:
    """An idle job is scheduled at the level of an urgent dependent, until that dependent is cancelled."""
    day = Day(seed=46, machines=3, capacity=0)
    day.run(5)
    day.submit(job("run-fill", heads=200, crew="guests", trek_s=20.0))
    day.run(8)
    day.submit(job("run-stage", heads=12, crew="guests", rank="idle", trek_s=6.0))
    day.run(6)

    def placed() -> int:
        return sum(name.startswith("run-stage/") for name in day.rules.worker_by_task)

    def levels() -> set[int]:
        leaders = [leader for controller, _ in day.controllers.values() for leader in controller.leaders.values()]
        return {leader.shard.jobs["run-stage"].level for leader in leaders if "run-stage" in leader.shard.jobs}

    assert not placed()
    day.submit(job("run-end", heads=1, rank="urgent", market_s=60.0, follows=["run-stage"]))
    assert day.run_until(lambda: placed() >= 8, 15)
    assert levels() == {2}
    day.cancel("run-end")
    day.run(1.5)
    assert levels() == {0}
    for controller, _ in day.controllers.values():
        for leader in controller.leaders.values():
            for machine in leader.shard.machines.values():
                assert all(abs(used.cpus) < 1e-6 for level, used in machine.allocated_by_level.items() if level == 2)
    day.cancel("run-fill")
    assert day.finish() == []
    assert day.rules.broken == []


def test_a_takeover_does_not_start_the_clock_anew() -> None:
    """After a restart of all controllers, a job still counts as waiting since its last predecessor was done."""
    day = Day(seed=47, machines=3, capacity=0)
    day.run(5)
    day.submit(job("run-fill", heads=300, crew="guests", rank="urgent", trek_s=300.0))
    day.submit(job("run-a", heads=1, rank="prod", trek_s=20.0))
    day.submit(job("run-b", heads=40, trek_s=1.0, follows=["run-a"]))
    assert day.run_until(lambda: day.poll("run-a") == "done", 50)
    done_at = day.loop.now()
    day.run(15)
    for host in HOSTS:
        day.restart(host, SECOND)
    day.run(10)
    waiting_jobs = [
        leader.shard.jobs["run-b"]
        for controller, _ in day.controllers.values()
        for leader in controller.leaders.values()
        if "run-b" in leader.shard.jobs
    ]
    assert waiting_jobs and all(abs((waiting_job.accepted - done_at) / SECOND) < 4 for waiting_job in waiting_jobs)


def test_tasks_of_a_released_job_survive_a_start_of_all() -> None:
    """A restarted controller treats no running task as orphaned while it looks up the predecessors of its job."""
    day = Day(seed=48, machines=6)
    day.run(5)
    refs = [f"run-a{number}" for number in range(14)]
    for ref in refs:
        day.submit(job(ref, heads=1, trek_s=0.5))
    day.submit(job("run-b", heads=12, trek_s=40.0, follows=refs))
    assert day.run_until(lambda: len(day.rules.worker_by_task) == 12, 30)
    starts = day.rules.start_count
    day.store.delay_factor = 10.0  # so heartbeats arrive before the look-up of the predecessors is complete
    for host in HOSTS:
        day.restart(host, SECOND / 2)
    assert day.finish() == []
    assert day.rules.start_count == starts, "no task was started a second time"
    assert day.rules.broken == []


def test_hundreds_of_predecessors() -> None:
    """Predecessors that do not fit into a job's record are stored under keys of their own until the job has ended."""
    day = Day(seed=49, value_kb=2.0, txn_ops=5)
    day.run(5)
    refs = [f"run-m{number:04d}-{'x' * 40}" for number in range(120)]
    for ref in refs:
        day.submit(job(ref, heads=1, trek_s=0.2, cpus=0.5))
    day.submit(job("run-all", heads=2, follows=refs, breeds=["k8", *(f"no-such-{number}" for number in range(200))]))
    day.submit(job("run-off", heads=2, follows=refs))
    assert all(len(json.dumps(item[0])) <= 2048 for item in day.store.items.values())
    assert any(key.startswith("b/before/run-all/") for key in day.store.items)
    day.restart(HOSTS[0], SECOND)
    day.cancel("run-off")
    assert day.finish(300) == []
    assert day.last_conditions["run-all"] == "done" and day.last_conditions["run-off"] == "withdrawn"
    assert day.run_until(lambda: not any(key.startswith("b/before/") for key in day.store.items), 120)
    assert day.rules.broken == []


def pipelines(day: Day) -> None:
    """Submit three chains with a deadline, and one without."""
    for number in range(3):
        chain(day, f"p{number}-", rank="urgent", market_s=120.0)
    chain(day, "q", trek_s=8.0)


@pytest.mark.parametrize("meeting", MEETINGS, ids=lambda meeting: meeting.__name__)
def test_pipelines_in_every_meeting(meeting: Callable[[Day], Iterator[float]]) -> None:
    """Jobs with and without predecessors end under each combination of faults (meeting) from test_meetings."""
    day = Day(seed=sum(meeting.__name__.encode()) + 1, machines=9)
    day.run(5)
    for number in range(3):
        day.submit(job(f"run-a{number}", heads=6, trek_s=15.0))
        day.submit(job(f"run-b{number}", heads=4, trek_s=10.0, crew="red", rank="idle"))
        day.submit(job(f"run-g{number}", gait="group", heads=2, cpus=4.0, rank="urgent", trek_s=10.0))
        day.submit(job(f"run-c{number}-after", heads=2, follows=[f"run-a{number}", f"run-g{number}"], trek_s=4.0))
    pipelines(day)
    day.submit(job("run-last", heads=1, follows=["run-c0-after", "run-q3"]))
    day.group.spawn(day.polling_users.submit(job("run-soon", heads=1, follows=["run-p0-1"]), cancelled=True), "user")
    for pause in meeting(day):
        day.run(pause)
    assert day.finish(400) == []
    assert day.rules.broken == []


def test_records_of_the_past_tell_when() -> None:
    """A stored final state without a time, as old versions wrote it, is read with the time 0."""
    assert records.read(b'{"state":"done","tasks":3}', records.FinalStateRecord).at == 0.0
    assert timedelta(seconds=0) == 0 * SECOND


async def looks_at_the_record_only(self: JobReader, ref: str) -> ActiveJob:
    """Misbehave: return a job's stored record without checking whether one of its predecessors was cancelled."""
    return ActiveJob(self._job_store.active.get(ref) or records.JobRecord(submission_of(ref), 0.0, []), 0)


def submission_of(ref: str) -> Submission:
    fields = {key: value for key, value in job(ref).items() if value is not None}
    return msgspec.convert(fields, Submission)


@pytest.mark.cheats
@pytest.mark.parametrize(
    ("target", "cheat", "rule"),
    [
        (
            "badgerroute.coordination.jobs.job_store.JobStore.waits_for_predecessors",
            lambda self, ref: False,
            "too_early",
        ),
        ("badgerroute.coordination.jobs.job_reader.JobReader.look_up_replicated", looks_at_the_record_only, "orphaned"),
    ],
    ids=["starts what waits", "forgets dependents"],
)
def test_checker_catches_broken_dependencies(
    target: str, cheat: Callable[..., object], rule: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The simulated run's checks detect a controller that starts jobs too early or does not cancel dependents."""
    monkeypatch.setattr(target, cheat)
    day = Day(seed=54)
    day.run(5)
    day.submit(job("run-a", heads=1, trek_s=90.0))
    day.submit(job("run-b", heads=2, follows=["run-a"]))
    day.run(10)
    if rule == "orphaned":
        day.cancel("run-a")
        day.run(CANCEL + 2)
        day.poll("run-b")
    assert any(rule in violation for violation in day.rules.broken)
