"""Pipelines, lower limits and going back where it is hard: each test fails without the guard that it is for."""

from datetime import timedelta

import msgspec
import pytest

from badgerroute.coordination.jobs.job_reader import JobReader
from badgerroute.protocol.key_value import names_ended_lease
from badgerroute.protocol.users import Submission
from badgerroute.scheduling.dependencies import Dependencies, FinalState
from badgerroute.settings import LaterStoreLimits, StoreLimits
from badgerroute.storage import records
from badgerroute.storage.errors import RequestRefusedError, StoreUnavailableError
from badgerroute.storage.operations import put
from badgerroute.storage.rate_limiter import Urgency
from badgerroute.storage.records import JobState
from badgerroute.storage.size_limits import SizeLimits, TransactionSize
from badgerroute.storage.task_ranges import TaskRange
from tests.standins.day import HOSTS, SECOND, Day, job

CANCEL = 36
LOWER = LaterStoreLimits(write_rps=21.0, value_kb=2.0, txn_ops=5)


def wait_for(day: Day, coro: object) -> object:
    return day.loop.run(day.loop.spawn(coro, "test"))


# -- Refusals by the key-value store


@pytest.mark.parametrize(
    ("announced", "refusals", "later", "changes", "value_bytes"),
    [
        ((True, True), [(16, 9000)], 0, 16, 10000),  # kept from the first write on: never a matter of size
        ((False, False), [(1, 300)], 0, 16, 10000),  # nobody refuses that for its size
        ((False, False), [(2, 512)], 0, 16, 10000),
        ((False, False), [(8, 100)], 0, 4, 10000),
        ((False, False), [(1, 4000)], 0, 16, 2000),
        ((False, True), [(8, 4000)], 0, 4, 10000),
        ((True, False), [(8, 4000)], 0, 16, 2000),
        ((False, False), [(8, 100), (4, 100), (2, 100)], 0, 2, 10000),
        ((False, False), [(8, 100)], 6, 8, 10000),  # comes back, step by step
        ((False, False), [(8, 100)], 12, 16, 10000),
        ((False, False), [(8, 100), (4, 100), (8, 100)], 6, 2, 10000),  # the more often, the later
    ],
)
def test_only_what_may_be_a_matter_of_size_lowers_a_size(
    announced: tuple[bool, bool], refusals: list[tuple[int, int]], later: float, changes: int, value_bytes: int
) -> None:
    limits = SizeLimits(16, 10000, *announced)
    for size in refusals:
        limits.lower_after_refusal(TransactionSize(*size), 0 * SECOND)
    for step in range(int(later) + 1):
        limits.recover(step * SECOND)
    assert (limits.changes.current, limits.value_bytes.current) == (changes, value_bytes)


@pytest.mark.parametrize(
    ("body", "ended"),
    [
        (b'{"error":"no such lease"}', True),
        (b'{"error":"no such lease","tether":7}', True),
        (b'{"error":"malformed lease"}', False),
        (b'{"error":"release the brake"}', False),
        (b"no such lease", False),
        (b"[]", False),
        (b"", False),
    ],
)
def test_an_ended_lease_is_told_by_the_error_alone(body: bytes, ended: bool) -> None:
    assert names_ended_lease(body) is ended


def test_a_mistaken_refusal_does_not_squeeze_a_controller_for_good() -> None:
    day = Day(seed=71)
    day.run(4)
    state = day.controllers[HOSTS[0]][0].storage.store
    before = state.max_changes, state.max_value_bytes
    day.store.rejects_transactions = True

    async def write(changes: int) -> None:
        await state.transact([], [put(f"b/x/{one}", "y" * 900) for one in range(changes)], Urgency.COMPLETE)

    with pytest.raises(RequestRefusedError):
        wait_for(day, write(8))
    assert (state.max_changes, state.max_value_bytes) < before
    day.store.rejects_transactions = False
    day.run(60)
    assert (state.max_changes, state.max_value_bytes) == before
    assert day.rules.broken == []


# -- Submissions


@pytest.mark.parametrize("follows", [None, ["run-first"]])
def test_what_can_never_be_stored_gets_one_final_answer(follows: list[str] | None) -> None:
    day = Day(seed=72, later=LaterStoreLimits(value_kb=0.6))
    day.run(4)
    day.submit(job("run-first", heads=1, trek_s=20.0))
    described = job("run-" + "x" * 60, herd="h" * 120, brand="b" * 120, follows=follows)
    for host in HOSTS:
        response = day.ask("POST", "/v1/jobs", described, host=host)
        assert response.status == 422 and b"bytes" in response.body
    assert day.submit(job("run-small", follows=follows)) == 201
    assert day.finish() == []
    assert day.store.too_large == []
    assert day.rules.broken == []


def finished(day: Day, count: int, state: str = "done") -> list[str]:
    """Jobs that were over long ago, of which no controller has anything in memory; others lie between them."""
    day.store.revision += 1
    for number in range(10 * count):
        final = state if number % 10 == 0 else "done"
        day.store.items[f"b/past/run-old{number:05d}"] = ({"state": final, "tasks": 1}, day.store.revision, None)
    refs = [f"run-old{number:05d}" for number in range(0, 10 * count, 10)]
    for ref in refs:
        day.site.jobs[ref] = job(ref, heads=1)
        day.site.finished.add(f"{ref}/0")
        if state == "withdrawn":
            day.site.cancelled[ref] = day.loop.now()
    return refs


@pytest.mark.parametrize("state", ["done", "withdrawn"])
def test_a_hundred_predecessors_are_looked_up_together(state: str) -> None:
    """Also right after a start, in 200 ms, and in few requests."""
    day = Day(seed=73, later=LOWER)
    day.run(6)
    refs = finished(day, 100, state)
    controller = day.controllers[HOSTS[0]][0]
    before, began = controller.storage.store.requests, day.loop.now()
    response = day.ask("POST", "/v1/jobs", job("run-new", heads=1, follows=refs), host=HOSTS[0])
    assert response.status == 201 and day.loop.now() - began < timedelta(milliseconds=400)
    assert controller.storage.store.requests - before < 40
    day.site.jobs["run-new"] = job("run-new", heads=1, follows=refs)
    day.accepted.add("run-new")
    for host in HOSTS:
        day.restart(host, SECOND)
    assert day.run_until(lambda: day.poll("run-new", host=HOSTS[1]) in ("done", "withdrawn", "running"), 12)
    assert day.finish() == []
    assert day.last_conditions["run-new"] == ("done" if state == "done" else "withdrawn")
    assert day.rules.broken == []


def test_one_bad_name_among_good_ones_is_named() -> None:
    day = Day(seed=74)
    day.run(5)
    refs = finished(day, 30)
    response = day.ask("POST", "/v1/jobs", job("run-a", follows=[*refs, "run-nobody"]), host=HOSTS[0])
    assert response.status == 422 and b"run-nobody" in response.body and b"run-old" not in response.body
    response = day.ask("POST", "/v1/jobs", job("run-a", follows=[*refs, "not a name"]), host=HOSTS[0])
    assert response.status == 400 and b"not a name" in response.body


def test_a_list_beyond_any_bound_is_refused_with_the_reason() -> None:
    day = Day(seed=75, later=LOWER)
    day.run(5)
    refs = finished(day, 460)
    most = day.controllers[HOSTS[0]][0].jobs.pager.max_predecessors
    assert most == 24 * 18
    response = day.ask("POST", "/v1/jobs", job("run-a", follows=refs), host=HOSTS[0])
    assert response.status == 422 and str(most).encode() in response.body
    assert day.submit(job("run-b", heads=1, follows=refs[:most])) == 201
    assert day.store.too_large == []
    assert day.finish() == []
    assert day.rules.broken == []


# -- Pages of predecessors


def submission(ref: str, follows: list[str]) -> Submission:
    described = {key: value for key, value in job(ref, follows=follows).items() if value is not None}
    return msgspec.convert(described, Submission)


def many(name: str, count: int) -> list[str]:
    return [f"run-{name}{number:03d}-{'x' * 40}" for number in range(count)]


def test_a_late_page_does_not_change_an_accepted_job() -> None:
    """A repeat with another list, by another node, whose pages are carried out after the job was accepted."""
    day = Day(seed=76, later=LOWER)
    day.run(5)
    one, two = (day.controllers[host][0] for host in HOSTS[:2])
    ranges = [TaskRange(0, 0, 6)]
    assert wait_for(day, one.jobs.writer.accept(submission("run-a", many("m", 60)), ranges))
    stored = {key: item for key, item in day.store.items.items() if key.startswith("b/before/run-a/")}
    assert len(stored) == 3
    assert wait_for(day, two.jobs.writer.accept(submission("run-a", many("n", 90)), ranges)) is False
    assert {key: item for key, item in day.store.items.items() if key.startswith("b/before/run-a/")} == stored


def test_a_record_is_written_with_its_own_pages_only() -> None:
    """Between the pages of one node and its record another writes pages of another list."""
    day = Day(seed=77, later=LOWER)
    day.run(5)
    one, two = (day.controllers[host][0] for host in HOSTS[:2])
    real = one.jobs.writer._write_pages

    async def interrupted(*args: object) -> list:
        conditions = await real(*args)
        compact = two.jobs.pager.compact(records.JobRecord(submission("run-a", many("n", 60)), 0.0, []))
        await two.jobs.writer._write_pages(compact.pages, args[1])
        return conditions

    one.jobs.writer._write_pages = interrupted
    ranges = [TaskRange(0, 0, 6)]
    assert wait_for(day, one.jobs.writer.accept(submission("run-a", many("m", 60)), ranges)) is False
    assert "b/jobs/run-a" not in day.store.items
    one.jobs.writer._write_pages = real
    assert wait_for(day, one.jobs.writer.accept(submission("run-a", many("m", 60)), ranges))
    pages = [day.store.items[f"b/before/run-a/{number}"][0]["refs"] for number in range(3)]
    assert sum(pages, []) == many("m", 60)


def test_pages_without_a_record_are_removed() -> None:
    day = Day(seed=78, later=LOWER)
    day.run(5)
    controller = day.controllers[HOSTS[0]][0]
    for turn in range(4):  # cut short again and again, with another list each time
        compact = controller.jobs.pager.compact(records.JobRecord(submission("run-a", many("m", 60 + turn)), 0.0, []))
        wait_for(day, controller.jobs.writer._write_pages(compact.pages, []))
        day.restart(HOSTS[turn % 3], SECOND)
        day.run(8)
        controller = day.controllers[HOSTS[0]][0]
    assert sum(key.startswith("b/before/") for key in day.store.items) == 3
    assert day.run_until(lambda: not any(key.startswith("b/before/") for key in day.store.items), 120)


# -- Takeovers and cancellations


def test_tasks_of_undecided_jobs_are_no_strays(monkeypatch: pytest.MonkeyPatch) -> None:
    """All start anew, and for 12 s nobody can find out how the predecessors ended. Tasks of released jobs go on."""
    day = Day(seed=79, machines=6)
    day.run(5)
    refs = [f"run-a{number}" for number in range(5)]
    for ref in refs:
        day.submit(job(ref, heads=1, trek_s=0.5))
    day.submit(job("run-b", heads=12, trek_s=40.0, follows=refs))
    day.submit(job("run-c", heads=6, trek_s=18.0, follows=refs[:2]))
    assert day.run_until(lambda: len(day.rules.worker_by_task) == 18, 30)
    starts = day.rules.start_count
    real, until = JobReader.find_unknown, day.loop.now() + 15 * SECOND

    async def hindered(self: JobReader, names: list[str], urgency: Urgency) -> list[str]:
        if self._loop.now() < until:
            raise StoreUnavailableError("hindered")
        return await real(self, names, urgency)

    monkeypatch.setattr(JobReader, "find_unknown", hindered)
    for host in HOSTS:
        day.restart(host, SECOND)
    day.submit(job("run-other", heads=4, trek_s=1.0))
    assert day.finish() == []
    assert day.rules.start_count == starts + 4, "nothing was started again"
    assert day.rules.broken == []


def test_tasks_of_jobs_that_certainly_wait_are_strays() -> None:
    """What was never released can't run: whoever started it, it is stopped."""
    day = Day(seed=80)
    day.run(5)
    day.submit(job("run-a", heads=1, trek_s=30.0))
    day.submit(job("run-b", heads=1, follows=["run-a"]))
    day.run(1)
    store = day.controllers[HOSTS[0]][0].jobs.store
    assert (
        not store.may_be_released("run-b")
        and not store.may_be_released("run-a")
        and not store.may_be_released("run-none")
    )
    day.cancel("run-a")
    assert not store.may_be_released("run-b")


def test_a_final_state_without_a_time_leaves_the_arrival() -> None:
    """Written by a version that knew no pipelines: it was over before any job could name it."""
    ends = {"a": FinalState(JobState.DONE, 0.0), "b": FinalState(JobState.DONE, 70.0)}
    graph = Dependencies(ends.get, lambda ref: None, lambda ref: None)
    graph.add("c", ["a"])
    graph.add("d", ["a", "b"])
    assert graph.released_at("c") == 0.0 and graph.released_at("d") == 70.0


def test_a_fan_of_hundreds_is_cancelled_at_the_lower_rate_beside_a_dead_leader() -> None:
    day = Day(seed=81, machines=3, later=LOWER)
    day.run(5)
    day.submit(job("run-first", heads=1, trek_s=300.0))
    refs = [f"run-w{number}" for number in range(500)]
    for ref in refs:
        day.submit(job(ref, heads=1, follows=["run-first"]))
    day.store.lower(day.settings[HOSTS[0]].params.state)
    day.run(2)
    ended = day.store.next_lease
    assert day.cancel("run-first", host=HOSTS[1]) == "withdrawn"
    day.crash(HOSTS[2])  # and stays away
    told = day.loop.now()
    while day.loop.now() - told < CANCEL * SECOND:
        for ref in refs[::29]:
            day.poll(ref, host=HOSTS[0])
        day.run(3)
    assert any(key.startswith("b/jobs/") for key in day.store.items), "their records take longer than that"
    assert {day.poll(ref, host=host) for ref in refs[::7] for host in HOSTS[:2]} == {"withdrawn"}
    assert day.run_until(lambda: not any(key.startswith("b/jobs/") for key in day.store.items), 120)
    assert day.store.next_lease == ended, "no claim was lost"
    assert day.store.too_large == []
    assert day.rules.broken == []


# -- Back to the version before


@pytest.mark.parametrize("forth", [False, True])
def test_going_back_starts_nothing_too_early(forth: bool) -> None:
    """The version before knows nothing of predecessors: jobs that wait stay queued in its hands, until it is gone."""
    day = Day(seed=82, machines=6, later=LOWER)
    day.run(5)
    day.submit(job("run-a", heads=2, trek_s=40.0))
    day.submit(job("run-b", heads=3, trek_s=2.0, follows=["run-a"]))
    day.submit(job("run-c", gait="group", heads=2, trek_s=2.0, follows=["run-b"]))
    day.submit(job("run-d", heads=6, trek_s=90.0))
    day.run(3)
    day.production_hosts = set(HOSTS)
    for host in HOSTS:
        day.restart(host, SECOND)
        day.run(5)
    day.run(60)
    assert day.poll("run-a") == "done"
    assert [day.poll(ref) for ref in ("run-b", "run-c")] == ["queued", "queued"]
    assert day.rules.broken == []
    if forth:
        for host in HOSTS:
            day.upgrade(host)
            day.run(5)
        assert day.finish() == []
        assert day.rules.broken == []


@pytest.mark.parametrize(
    ("later", "expected"),
    [
        (None, (16, 16384, (100.0, 30.0))),
        (LaterStoreLimits(rps=500.0, write_rps=90.0, value_kb=64.0, txn_ops=64), (16, 16384, (100.0, 30.0))),
        (LaterStoreLimits(value_kb=2.0), (16, 2048, (100.0, 30.0))),
        (LaterStoreLimits(rps=50.0, txn_ops=5), (5, 16384, (50.0, 30.0))),
    ],
)
def test_later_limits_that_are_larger_or_missing_change_nothing(
    later: LaterStoreLimits | None, expected: tuple
) -> None:
    limits = StoreLimits(100.0, 30.0, 16.0, 16, later)
    assert (limits.max_changes, limits.max_value_bytes, limits.lower_rates) == expected


def test_a_job_cancelled_before_its_user_is_answered_is_not_called_queued() -> None:
    """It names a cancelled job, and a peer has moved it to its final state before the 201 is made up."""
    day = Day(seed=83)
    day.run(5)
    day.submit(job("run-a", heads=1, trek_s=60.0))
    day.cancel("run-a")
    day.run(CANCEL + 2)
    controller = day.controllers[HOSTS[0]][0]
    accept = controller.jobs.writer.accept

    async def slowly(*args: object) -> bool:
        accepted = await accept(*args)
        await day.loop.sleep(8 * SECOND)
        return accepted

    controller.jobs.writer.accept = slowly
    response = wait_for(day, controller.requests.job_service._accept(submission("run-b", ["run-a"])))
    assert "b/past/run-b" in day.store.items
    assert response.status == 201 and b"withdrawn" in response.body
