"""Regression tests for jobs with predecessors, for lowered limits of the key-value store, and for a downgrade.

A predecessor is a job named in `follows`; a dependent is a job that waits for it. Each test fails without the code that
it guards.
"""

import json
from datetime import timedelta

import msgspec
import pytest

from badgerroute.coordination.jobs.job_reader import JobReader
from badgerroute.protocol.key_value import names_ended_lease
from badgerroute.protocol.mesh import FreeCapacity, ImageCapacity, StealRequest
from badgerroute.protocol.users import Submission
from badgerroute.scheduling.dependencies import Dependencies, FinalState
from badgerroute.settings import LaterStoreLimits, StoreLimits, Team
from badgerroute.storage import records
from badgerroute.storage.errors import RequestRefusedError, StoreUnavailableError
from badgerroute.storage.operations import put
from badgerroute.storage.rate_limiter import Urgency
from badgerroute.storage.records import JobState
from badgerroute.storage.size_limits import SizeLimits, TransactionSize
from badgerroute.storage.task_ranges import TaskRange
from tests.standins.day import HOSTS, SECOND, Day, job

CANCEL = 36  # seconds after a confirmed cancellation within which all tasks and dependents must be cancelled
# Limits to which the key-value store will lower its present limits later, as announced in the settings.
LOWER = LaterStoreLimits(write_rps=21.0, value_kb=2.0, txn_ops=5)


def wait_for(day: Day, coro: object) -> object:
    """Run a coroutine on the event loop until it ends, and return its result."""
    return day.loop.run(day.loop.spawn(coro, "test"))


# -- Refusals by the key-value store


@pytest.mark.parametrize(
    ("announced", "refusals", "later", "changes", "value_bytes"),
    [
        # writes never exceed the announced limits, so the store can't have refused this one for its size
        ((True, True), [(16, 9000)], 0, 16, 10000),
        ((False, False), [(1, 300)], 0, 16, 10000),  # a transaction that is too small to be refused for its size
        ((False, False), [(2, 512)], 0, 16, 10000),
        ((False, False), [(8, 100)], 0, 4, 10000),
        ((False, False), [(1, 4000)], 0, 16, 2000),
        ((False, True), [(8, 4000)], 0, 4, 10000),
        ((True, False), [(8, 4000)], 0, 16, 2000),
        ((False, False), [(8, 100), (4, 100), (2, 100)], 0, 2, 10000),
        ((False, False), [(8, 100)], 6, 8, 10000),  # the lowered limit is raised again step by step
        ((False, False), [(8, 100)], 12, 16, 10000),
        ((False, False), [(8, 100), (4, 100), (8, 100)], 6, 2, 10000),  # after more refusals, it is raised again later
    ],
)
def test_only_what_may_be_a_matter_of_size_lowers_a_size(
    announced: tuple[bool, bool], refusals: list[tuple[int, int]], later: float, changes: int, value_bytes: int
) -> None:
    """A refused transaction lowers a size limit only if the store might have refused it for its size.

    `announced`: whether the settings announce a future limit on changes and on value sizes; `refusals`: the numbers of
    changes and the value sizes of the refused transactions; `later`: seconds from the refusals until the limits are
    compared with `changes` and `value_bytes`.
    """
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
    """Whether a lease has ended is decided by the error text of a response alone, not by its other content."""
    assert names_ended_lease(body) is ended


def test_a_mistaken_refusal_does_not_squeeze_a_controller_for_good() -> None:
    """Size limits that were lowered although a refusal had another cause are restored within a minute."""
    day = Day(seed=71)
    day.run(4)
    store = day.controllers[HOSTS[0]][0].storage.store
    limits_before = store.max_changes, store.max_value_bytes
    day.store.rejects_transactions = True

    async def write(changes: int) -> None:
        await store.transact([], [put(f"b/x/{number}", "y" * 900) for number in range(changes)], Urgency.COMPLETE)

    with pytest.raises(RequestRefusedError):
        wait_for(day, write(8))
    assert (store.max_changes, store.max_value_bytes) < limits_before
    day.store.rejects_transactions = False
    day.run(60)
    assert (store.max_changes, store.max_value_bytes) == limits_before
    assert day.rules.broken == []


# -- Submissions


@pytest.mark.parametrize("follows", [None, ["run-first"]])
def test_what_can_never_be_stored_gets_one_final_answer(follows: list[str] | None) -> None:
    """A job whose record exceeds the announced size limit is refused with 422 by every controller."""
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
    """Store final states of `count` jobs that ended long ago and that no controller has in memory; return the jobs.

    Between the keys of any two of these jobs lie the final states of nine other jobs. A controller that read the whole
    range of keys would therefore read ten times as much as it needs.
    """
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
    """A hundred predecessors that no controller has in memory are looked up in few requests, also after a restart.

    The submission should take about 200 ms; the test allows 400 ms. After a restart of all controllers, the submitted
    job must be released within 12 s if its predecessors are done, or cancelled if they were cancelled.
    """
    day = Day(seed=73, later=LOWER)
    day.run(6)
    refs = finished(day, 100, state)
    controller = day.controllers[HOSTS[0]][0]
    requests_before, submitted_at = controller.storage.store.requests, day.loop.now()
    response = day.ask("POST", "/v1/jobs", job("run-new", heads=1, follows=refs), host=HOSTS[0])
    assert response.status == 201 and day.loop.now() - submitted_at < timedelta(milliseconds=400)
    assert controller.storage.store.requests - requests_before < 40
    day.site.jobs["run-new"] = job("run-new", heads=1, follows=refs)
    day.accepted.add("run-new")
    for host in HOSTS:
        day.restart(host, SECOND)
    assert day.run_until(lambda: day.poll("run-new", host=HOSTS[1]) in ("done", "withdrawn", "running"), 12)
    assert day.finish() == []
    assert day.last_conditions["run-new"] == ("done" if state == "done" else "withdrawn")
    assert day.rules.broken == []


def test_one_bad_name_among_good_ones_is_named() -> None:
    """A refused submission names the predecessor that is unknown or malformed, and no other one."""
    day = Day(seed=74)
    day.run(5)
    refs = finished(day, 30)
    response = day.ask("POST", "/v1/jobs", job("run-a", follows=[*refs, "run-nobody"]), host=HOSTS[0])
    assert response.status == 422 and b"run-nobody" in response.body and b"run-old" not in response.body
    response = day.ask("POST", "/v1/jobs", job("run-a", follows=[*refs, "not a name"]), host=HOSTS[0])
    assert response.status == 400 and b"not a name" in response.body


def test_a_list_beyond_any_bound_is_refused_with_the_reason() -> None:
    """The refusal of a submission with too many predecessors names the limit; one at the limit is accepted."""
    day = Day(seed=75, later=LOWER)
    day.run(5)
    refs = finished(day, 460)
    limit = day.controllers[HOSTS[0]][0].jobs.pager.max_predecessors
    assert limit == 24 * 18
    response = day.ask("POST", "/v1/jobs", job("run-a", follows=refs), host=HOSTS[0])
    assert response.status == 422 and str(limit).encode() in response.body
    assert day.submit(job("run-b", heads=1, follows=refs[:limit])) == 201
    assert day.store.too_large == []
    assert day.finish() == []
    assert day.rules.broken == []


# -- Pages: separate keys for the lists of predecessors that do not fit into a job's record


def submission(ref: str, follows: list[str]) -> Submission:
    fields = {key: value for key, value in job(ref, follows=follows).items() if value is not None}
    return msgspec.convert(fields, Submission)


def many(name: str, count: int) -> list[str]:
    """Return long job ids, so that a list of 60 of them does not fit into a record."""
    return [f"run-{name}{number:03d}-{'x' * 40}" for number in range(count)]


def test_pages_that_together_exceed_a_transaction_are_written_in_several() -> None:
    """A transaction above 64 KiB is refused; where the limits are announced, the job itself was then refused (422)."""
    day = Day(seed=77, value_kb=8.0, txn_ops=48, write_rps=200, later=LaterStoreLimits(value_kb=8.0, txn_ops=48))
    day.run(5)
    predecessors = [f"run-{number:03d}{'x' * 57}" for number in range(970)]
    writer = day.controllers[HOSTS[0]][0].jobs.writer
    assert wait_for(day, writer.accept(submission("run-a", predecessors), [TaskRange(0, 0, 6)]))
    assert len([key for key in day.store.items if key.startswith("b/before/run-a/")]) == 41


def test_a_steal_of_large_records_stays_within_a_transaction() -> None:
    """Six records of 12 KB exceed a transaction; where the limits are announced, the same steal was tried for ever."""
    later = LaterStoreLimits(value_kb=16.0, txn_ops=16)
    day = Day(seed=78, capacity=0, later=later, teams=[Team("blue", 500.0, 1000.0)])
    day.run(5)
    types = ["k8", *(f"type-{number:03d}-{'x' * 100}" for number in range(110))]
    for number in range(6):
        assert day.submit(job(f"run-s{number}", heads=200, breeds=types, trek_s=100.0, rank="idle")) == 201
    day.run(2)
    leaders = [leader for controller, _ in day.controllers.values() for leader in controller.leaders.values()]
    victim, thief = leaders[0], leaders[1]
    shared = [job for job in victim.shard.jobs.values() if job.waiting_bits.bit_count() > 20]
    assert len(shared) == 6
    before = {job.ref: job.owned for job in shared}
    capacity = FreeCapacity("k8", "a", False, 8.0, 0.0, 32.0, 200)
    request = StealRequest(victim.number, thief.number, [capacity], {"img-1": ImageCapacity(1600.0, 8.0)})
    wait_for(day, victim.work_stealing.on_steal(request))
    given = [job.ref for job in shared if job.owned != before[job.ref]]
    assert 1 < len(given) < 6
    wait_for(day, victim.work_stealing.on_steal(request))
    assert len([job.ref for job in shared if job.owned != before[job.ref]]) > len(given)


def test_a_late_page_does_not_change_an_accepted_job() -> None:
    """If an accepted job is submitted to another controller with other predecessors, its stored pages do not change."""
    day = Day(seed=76, later=LOWER)
    day.run(5)
    first, second = (day.controllers[host][0] for host in HOSTS[:2])
    ranges = [TaskRange(0, 0, 6)]
    assert wait_for(day, first.jobs.writer.accept(submission("run-a", many("m", 60)), ranges))
    stored = {key: item for key, item in day.store.items.items() if key.startswith("b/before/run-a/")}
    assert len(stored) == 3
    assert wait_for(day, second.jobs.writer.accept(submission("run-a", many("n", 90)), ranges)) is False
    assert {key: item for key, item in day.store.items.items() if key.startswith("b/before/run-a/")} == stored


def test_a_record_is_written_with_its_own_pages_only() -> None:
    """A job's record is not written if another controller has overwritten the job's pages with other predecessors.

    The first controller writes the pages and then the record. Between these two writes, a second controller, which
    received the same job with other predecessors, writes its pages under the same keys.
    """
    day = Day(seed=77, later=LOWER)
    day.run(5)
    first, second = (day.controllers[host][0] for host in HOSTS[:2])
    write_pages = first.jobs.writer._write_pages

    async def interrupted(*args: object) -> list:
        conditions = await write_pages(*args)
        compact = second.jobs.pager.compact(records.JobRecord(submission("run-a", many("n", 60)), 0.0, []))
        await second.jobs.writer._write_pages(compact.pages, args[1])
        return conditions

    first.jobs.writer._write_pages = interrupted
    ranges = [TaskRange(0, 0, 6)]
    assert wait_for(day, first.jobs.writer.accept(submission("run-a", many("m", 60)), ranges)) is False
    assert "b/jobs/run-a" not in day.store.items
    first.jobs.writer._write_pages = write_pages
    assert wait_for(day, first.jobs.writer.accept(submission("run-a", many("m", 60)), ranges))
    pages = [day.store.items[f"b/before/run-a/{number}"][0]["refs"] for number in range(3)]
    assert sum(pages, []) == many("m", 60)


def test_pages_without_a_record_are_removed() -> None:
    """If a controller ends after it wrote a job's pages and before it wrote its record, the pages are deleted later."""
    day = Day(seed=78, later=LOWER)
    day.run(5)
    controller = day.controllers[HOSTS[0]][0]
    for turn in range(4):  # each time, write other predecessors but no record, and restart a controller
        compact = controller.jobs.pager.compact(records.JobRecord(submission("run-a", many("m", 60 + turn)), 0.0, []))
        wait_for(day, controller.jobs.writer._write_pages(compact.pages, []))
        day.restart(HOSTS[turn % 3], SECOND)
        day.run(8)
        controller = day.controllers[HOSTS[0]][0]
    assert sum(key.startswith("b/before/") for key in day.store.items) == 3
    assert day.run_until(lambda: not any(key.startswith("b/before/") for key in day.store.items), 120)


# -- Restarts and cancellations


def test_tasks_of_undecided_jobs_are_no_strays(monkeypatch: pytest.MonkeyPatch) -> None:
    """Controllers do not stop running tasks of a job while they do not know whether its predecessors are done.

    The job was released before all controllers are restarted. For some 12 s after the restart, none of them can look
    up how the predecessors ended.
    """
    day = Day(seed=79, machines=6)
    day.run(5)
    refs = [f"run-a{number}" for number in range(5)]
    for ref in refs:
        day.submit(job(ref, heads=1, trek_s=0.5))
    day.submit(job("run-b", heads=12, trek_s=40.0, follows=refs))
    day.submit(job("run-c", heads=6, trek_s=18.0, follows=refs[:2]))
    assert day.run_until(lambda: len(day.rules.worker_by_task) == 18, 30)
    starts = day.rules.start_count
    find_unknown, hindered_until = JobReader.find_unknown, day.loop.now() + 15 * SECOND

    async def hindered(self: JobReader, names: list[str], urgency: Urgency) -> list[str]:
        if self._loop.now() < hindered_until:
            raise StoreUnavailableError("hindered")
        return await find_unknown(self, names, urgency)

    monkeypatch.setattr(JobReader, "find_unknown", hindered)
    for host in HOSTS:
        day.restart(host, SECOND)
    day.submit(job("run-other", heads=4, trek_s=1.0))
    assert day.finish() == []
    assert day.rules.start_count == starts + 4, "no task was started a second time"
    assert day.rules.broken == []


def test_tasks_of_jobs_that_certainly_wait_are_strays() -> None:
    """A running task is orphaned and will be stopped if its job can't have been released, whoever started the task."""
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
    """A predecessor whose final state has no time (stored as 0) does not delay the time since which a job waits.

    Only versions without dependencies wrote such final states. A predecessor with one ended before any job could
    name it in `follows`.
    """
    ends = {"a": FinalState(JobState.DONE, 0.0), "b": FinalState(JobState.DONE, 70.0)}
    graph = Dependencies(ends.get, lambda ref: None, lambda ref: None)
    graph.add("c", ["a"])
    graph.add("d", ["a", "b"])
    assert graph.released_at("c") == 0.0 and graph.released_at("d") == 70.0


def test_a_fan_of_hundreds_is_cancelled_at_the_lower_rate_beside_a_dead_leader() -> None:
    """500 dependents are reported as cancelled in time although writes are limited and one controller is down.

    Deleting the records of the dependents takes longer than CANCEL seconds at the lower write rate. Meanwhile,
    controllers must not lose their leases.
    """
    day = Day(seed=81, machines=3, later=LOWER)
    day.run(5)
    day.submit(job("run-first", heads=1, trek_s=300.0))
    refs = [f"run-w{number}" for number in range(500)]
    for ref in refs:
        day.submit(job(ref, heads=1, follows=["run-first"]))
    day.store.lower(day.settings[HOSTS[0]].params.state)
    day.run(2)
    next_lease = day.store.next_lease
    assert day.cancel("run-first", host=HOSTS[1]) == "withdrawn"
    day.crash(HOSTS[2])  # this controller is not started again
    confirmed_at = day.loop.now()
    while day.loop.now() - confirmed_at < CANCEL * SECOND:
        for ref in refs[::29]:
            day.poll(ref, host=HOSTS[0])
        day.run(3)
    assert any(key.startswith("b/jobs/") for key in day.store.items), (
        "deleting all records takes longer than CANCEL seconds"
    )
    assert {day.poll(ref, host=host) for ref in refs[::7] for host in HOSTS[:2]} == {"withdrawn"}
    assert day.run_until(lambda: not any(key.startswith("b/jobs/") for key in day.store.items), 120)
    assert day.store.next_lease == next_lease, "no controller had to acquire a new lease"
    assert day.store.too_large == []
    assert day.rules.broken == []


# -- Downgrade to the version in production


@pytest.mark.parametrize("forth", [False, True])
def test_going_back_starts_nothing_too_early(forth: bool) -> None:
    """After a downgrade to a version without dependencies, jobs with unfinished predecessors stay queued.

    With `forth`, the controllers are upgraded again afterwards, and the jobs are then released.
    """
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
    """The lower of the present limit and the announced limit applies; without an announcement, the present one does."""
    limits = StoreLimits(100.0, 30.0, 16.0, 16, later)
    assert (limits.max_changes, limits.max_value_bytes, limits.lower_rates) == expected


def test_a_job_cancelled_before_its_user_is_answered_is_not_called_queued() -> None:
    """The response to a submission reports the job as cancelled if it has been cancelled before the response is sent.

    The job's predecessor has been cancelled. A peer therefore writes the job's final state before the controller that
    received the submission responds with 201.
    """
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


def test_a_repeated_submission_beside_a_late_read_is_not_told_an_older_state(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against `queued` for a job that its user was told is cancelled: a record read before that came later.

    The controller asked started after the upstream job was cancelled, so it does not have that final state in memory.
    """
    day = Day(seed=42)
    day.run(5)
    day.submit(job("run-up"))
    day.cancel("run-up")
    day.restart(HOSTS[1])
    day.run(15)
    store = day.controllers[HOSTS[1]][0].storage.store
    get, late_keys = store.get, []

    async def answered_late(key: str, urgency: Urgency) -> object:
        entry = await get(key, urgency)
        if key == "b/jobs/run-down" and entry is not None:
            late_keys.append(key)
            await day.loop.sleep(SECOND / 2)
        return entry

    monkeypatch.setattr(store, "get", answered_late)
    description = job("run-down", follows=["run-up"])
    day.site.jobs["run-down"] = description
    first = day.ask("POST", "/v1/jobs", description, host=HOSTS[0])
    assert first is not None and (first.status, json.loads(first.body)["condition"]) == (201, "withdrawn")
    repeated = day.ask("POST", "/v1/jobs", description, host=HOSTS[1])
    assert late_keys, "the answer must depend on a read that comes late"
    assert repeated is not None and (repeated.status, json.loads(repeated.body)["condition"]) == (200, "withdrawn")
