"""Rolling upgrades from the version in production, and limits that the key-value store lowers after an upgrade.

Both versions run in one cluster and read each other's stored records and messages.
"""

import base64
import json
import random
from collections.abc import Callable, Iterator
from datetime import timedelta
from pathlib import Path

import msgspec
import pytest

from badgerroute import settings as new_settings
from badgerroute.protocol import mesh
from badgerroute.settings import LaterStoreLimits, StoreLimits
from badgerroute.storage import records
from badgerroute.storage.errors import RequestRefusedError
from badgerroute.storage.operations import put
from badgerroute.storage.rate_limiter import Urgency
from badgerroute.transport.loop import Loop
from tests import test_meetings as meetings
from tests.standins import production
from tests.standins.day import HOSTS, SECOND, Day, job, settings_of
from tests.standins.workers import MachineType

# Limits to which the key-value store will lower its present limits later, as announced in the settings.
LATER = LaterStoreLimits(write_rps=28.0, value_kb=2.0, txn_ops=5)
SAMPLES = json.loads((Path(__file__).parent / "data" / "production-samples.json").read_text())
WRITTEN = json.loads((Path(__file__).parent / "data" / "written-samples.json").read_text())
# Class name in the version in production, which is also the key of its samples -> the class in these sources.
RECORDS = {
    "PartClaim": records.ShardLeaderRecord,
    "FleetClaim": records.AutoscalerLeaderRecord,
    "MachineRecord": records.MachineRecord,
    "GoneRecord": records.TombstoneRecord,
    "ShareRecord": records.QuotaRecord,
    "PastRecord": records.FinalStateRecord,
    "JobRecord": records.JobRecord,
}
MESSAGES = {
    "Gossip": mesh.Gossip,
    "Push": mesh.Push,
    "Steal": mesh.StealRequest,
    "Lack": mesh.QuotaRequest,
    "Borrow": mesh.MachineRequest,
    "Knock": mesh.MisroutedHeartbeat,
    "Withdrawn": mesh.CancellationNotice,
    "WithdrawnHeard": mesh.CancellationAck,
}


# -- Formats, checked against samples recorded from the version in production and against its classes


@pytest.mark.parametrize("class_name", RECORDS)
def test_records_of_the_version_in_production(class_name: str) -> None:
    """Both versions read the same values from a stored record, also after the new version has rewritten it."""
    old_class = getattr(production.module("storage.records"), class_name)
    for text in SAMPLES[class_name]:
        new = records.read(text.encode(), RECORDS[class_name])
        old = msgspec.json.decode(text.encode(), type=old_class)
        old_fields = msgspec.to_builtins(old)
        assert {key: msgspec.to_builtins(new)[key] for key in old_fields} == old_fields
        reread = msgspec.json.decode(bytes(records.write(new)), type=old_class)
        assert msgspec.to_builtins(reread) == old_fields


def test_what_is_written_stays_the_same_to_the_byte() -> None:
    """Renaming a class or attribute in the sources must not change the bytes of stored values or messages."""
    for class_name, record_class in RECORDS.items():
        written = [
            bytes(records.write(records.read(text.encode(), record_class))).decode() for text in SAMPLES[class_name]
        ]
        assert written == WRITTEN[class_name]
    for class_name, message_class in MESSAGES.items():
        for text in SAMPLES[class_name]:
            decoded = mesh.decoder.decode(base64.b64decode(text))
            assert type(decoded) is message_class
            assert base64.b64encode(mesh.encoder.encode(decoded)).decode() == text


ADDED_SINCE = {mesh.ForwardedRequest, mesh.ForwardedResponse}  # the version in production lacks these messages


def test_every_message_has_samples() -> None:
    assert set(MESSAGES.values()) | ADDED_SINCE == set(mesh.Message.__args__)
    assert not set(MESSAGES.values()) & ADDED_SINCE


@pytest.mark.parametrize("class_name", MESSAGES)
def test_mesh_messages_of_the_version_in_production(class_name: str) -> None:
    """Both versions decode the same values from a message, also after the new version has encoded it again."""
    old_decoder = production.module("protocol.mesh").decoder
    assert SAMPLES[class_name], "each message has a sample"
    for text in SAMPLES[class_name]:
        data = base64.b64decode(text)
        new, old = mesh.decoder.decode(data), old_decoder.decode(data)
        old_fields = msgspec.to_builtins(old)
        assert {key: msgspec.to_builtins(new)[key] for key in old_fields} == old_fields
        assert msgspec.to_builtins(old_decoder.decode(mesh.encoder.encode(new))) == old_fields


def test_new_fields_are_optional_and_mean_the_old_thing() -> None:
    """A job without predecessors loses nothing when a controller of the version in production rewrites its record."""
    old_class = production.module("storage.records").JobRecord
    fields = {key: value for key, value in job("run-1").items() if value is not None}
    new = records.JobRecord(msgspec.convert(fields, records.Submission), 5.0, [(0, 0, 6)], 2, "AQ==")
    old = msgspec.json.decode(bytes(records.write(new)), type=old_class)
    rewritten = records.read(msgspec.json.encode(old), records.JobRecord)
    assert rewritten == new, "the rewritten record has all fields of the original"


@pytest.mark.parametrize("lease", [10.0, 11.0, 15.25, 16.0])
@pytest.mark.parametrize("cancel", [36.0, 40.25, 46.0])
def test_both_versions_agree_on_every_bound(lease: float, cancel: float) -> None:
    """Both versions derive the same times and leaders from the same settings; otherwise they could not run together."""
    day = settings_of(HOSTS[0], "state:1", [], StoreLimits(100, 30, 16, 16, LATER))
    workers = msgspec.structs.replace(day.params.workers, lease_s=lease, cancel_s=cancel)
    platform = msgspec.structs.replace(day.platform, params=msgspec.structs.replace(day.params, workers=workers))
    old_settings = production.module("settings")
    old = old_settings.Settings(msgspec.convert(msgspec.to_builtins(platform), old_settings.PlatformSettings))
    new = new_settings.Settings(platform)
    assert (new.grace, new.machine_lease, new.max_clock_drift) == (old.grace, old.machine_lease, old.drift)
    assert new.operator.election.ttl == old.operator.claims.ttl
    assert new.hosts == old.hosts and new.home_shard == old.home


# -- Simulated runs of a whole cluster that begin with the version in production


def quiet(day: Day) -> Iterator[float]:
    """Inject no fault."""
    yield 1


def dies_before_its_turn(day: Day) -> Iterator[float]:
    """Restart two controllers that have not been upgraded yet, which start again in the old version."""
    day.restart(HOSTS[2], SECOND / 3)
    yield 2
    day.restart(HOSTS[1], 2 * SECOND)
    yield 1


def outage(day: Day) -> Iterator[float]:
    """Make the key-value store unreachable for 18 s from the start of the first controller's upgrade."""
    day.store.outage(True)
    yield 3
    day.loop.later(15 * SECOND, lambda: day.store.outage(False))


def cancellations(day: Day) -> Iterator[float]:
    """Cancel three jobs while the first controller is upgraded."""
    for ref in ("run-a1", "run-b0", "run-g2"):
        day.group.spawn(day.polling_users.cancel(ref), "user")
    yield 0.2


TROUBLES: list[Callable[[Day], Iterator[float]]] = [
    quiet,
    dies_before_its_turn,
    outage,
    cancellations,
    meetings.mute_machines,
    meetings.writes_late,
    meetings.answers_lost,
    meetings.limits_full,
    meetings.unheard_leader,
    meetings.alone_with_workers,
    meetings.cancelled_in_hand_over,
    meetings.reports_at_takeover,
    meetings.earlier_sessions,
    meetings.held_report,
    meetings.slow_then_refused,
    meetings.close_looks,
    meetings.far_ends,
]


@pytest.mark.parametrize("trouble", TROUBLES, ids=lambda fault: fault.__name__)
def test_an_upgrade_under_trouble(trouble: Callable[[Day], Iterator[float]]) -> None:
    """Controllers are upgraded one by one while jobs run and a fault occurs.

    After the upgrade, jobs with predecessors are submitted, and the limits of the key-value store are lowered.
    """
    day = Day(seed=sum(trouble.__name__.encode()) + 3, machines=9, later=LATER, production_hosts=HOSTS)
    day.run(5)
    for number in range(3):
        day.submit(job(f"run-a{number}", heads=20, trek_s=15.0))
        day.submit(job(f"run-b{number}", heads=8, trek_s=15.0, crew="red", rank="idle", brand=f"img-{number}"))
        day.submit(job(f"run-g{number}", gait="group", heads=2, cpus=4.0, rank="urgent", trek_s=15.0))
    day.run(3)
    not_upgraded = list(HOSTS)
    for number, pause in enumerate(trouble(day)):
        if not_upgraded and number % 2 == 0:
            day.upgrade(not_upgraded.pop(0), timedelta(seconds=day.random.choice((0.3, 1.0, 3.0))))
        day.run(pause)
    for host in not_upgraded:
        day.upgrade(host, SECOND)
        day.run(4)
    day.run(4)
    assert not day.production_hosts
    stages = ["run-p0", "run-p1", "run-p2"]
    for number, ref in enumerate(stages):
        day.submit(job(ref, heads=3, trek_s=4.0, follows=stages[number - 1 : number] + ["run-a0"][: number % 2]))
    day.store.lower(day.settings[HOSTS[0]].params.state)
    for number in range(3):
        day.submit(job(f"run-z{number}", heads=30, trek_s=3.0))
    day.restart(HOSTS[1], SECOND)
    assert day.finish(400) == []
    assert day.store.too_large == [], "no write exceeds the lower size limits, not even the first one after the change"
    assert day.rules.broken == []


# -- Lowered limits of the key-value store


def record_of_old_version(tasks: int, missing: list[int], ranges: list[list[int]], types: list[str] | None) -> dict:
    """Return a stored job record whose list of done tasks is too large for a value under the lower limit."""
    done = ((1 << tasks) - 1) & ~sum(1 << index for index in missing)
    fields = job("run-big", heads=tasks, trek_s=1.0, crew="guests", breeds=types)
    record = records.JobRecord(msgspec.convert(fields, records.Submission), 0.0, ranges).with_done(done)
    return json.loads(bytes(records.write(record)))


@pytest.mark.parametrize("ended", ["done", "withdrawn"])
@pytest.mark.parametrize(
    ("ranges", "types"),
    [
        ([[0, 0, 20000], [1, 20000, 40000], [2, 40000, 60000]], None),
        ([[0, 0, 60000]], None),
        ([[number % 3, 1250 * number, 1250 * (number + 1)] for number in range(48)], None),
        ([[0, 0, 60000]], ["k8", *(f"unknown-type-{number}" for number in range(150))]),
    ],
    ids=["shared", "stolen", "many ranges", "many types"],
)
def test_a_record_that_is_too_large_moves_on(ranges: list[list[int]], types: list[str] | None, ended: str) -> None:
    """A job whose record exceeds the lowered limit is completed or cancelled, without running its done tasks again.

    The record must be split into several smaller values before it can be changed, and no write may exceed the lowered
    limit.
    """
    generator = random.Random(7)
    missing = sorted(generator.sample(range(200, 46000), 240))
    day = Day(seed=61, machines=6, value_kb=16.0, later=LATER)
    value = record_of_old_version(60000, missing, ranges, types)
    assert len(json.dumps(value)) > 5000
    day.store.revision = 1
    day.store.items["b/jobs/run-big"] = (value, 1, None)
    described = job("run-big", heads=60000, trek_s=1.0, crew="guests", breeds=types)
    day.site.jobs["run-big"] = described
    day.site.finished |= {f"run-big/{index}" for index in range(60000) if index not in set(missing)}
    day.accepted.add("run-big")
    day.run(3)
    day.store.lower(day.settings[HOSTS[0]].params.state)
    day.run(10)
    started = day.rules.start_count
    assert started >= 40
    day.restart(HOSTS[0], SECOND)
    if ended == "withdrawn":
        assert day.cancel("run-big") == "withdrawn"
    assert day.finish(240) == []
    assert day.last_conditions["run-big"] == ended
    if ended == "done":
        assert day.rules.start_count <= len(missing) + 60, (
            "no done task runs again, except for some that were running when the controller was restarted"
        )
    assert day.run_until(lambda: not any(key.startswith("b/done/") for key in day.store.items), 150), (
        "the pages of done tasks are deleted"
    )
    assert day.store.too_large == []
    assert day.rules.broken == []


def test_spilling_stops_anywhere_without_losing_a_task() -> None:
    """Moving the list of done tasks from a record to pages must not lose any task.

    Meanwhile, writes fail, get lost or are applied late.
    """
    day = Day(seed=62, machines=0, capacity=0, value_kb=16.0, later=LATER)
    missing = list(range(100, 40000, 400))
    day.store.revision = 1
    day.store.items["b/jobs/run-big"] = (record_of_old_version(40000, missing, [[0, 0, 40000]], None), 1, None)
    day.run(4)
    job_store = day.controllers[HOSTS[0]][0].jobs.store
    done_before = job_store.done_tasks("run-big", job_store.active["run-big"])
    day.store.lower(day.settings[HOSTS[0]].params.state)
    day.store.late_write_probability = 0.4
    for turn in range(60):
        for controller, _ in day.controllers.values():
            day.group.spawn(controller.jobs.pager.page_out("run-big"), "page-out")
        day.run(1)
        if turn == 25:
            day.restart(HOSTS[1], SECOND)
        if turn == 40:
            day.store.late_write_probability = 0.0
        for controller, _ in day.controllers.values():
            record = controller.jobs.store.active.get("run-big")
            assert record is None or controller.jobs.store.done_tasks("run-big", record) == done_before
    assert day.store.items["b/jobs/run-big"][0]["bits"] == ""
    assert day.store.too_large == []


@pytest.mark.parametrize(
    ("write_rps", "refused", "lowered"), [(28.0, 0, False), (28.0, 2, False), (28.0, 3, True), (None, 9, False)]
)
def test_the_lower_rate_counts_once_it_shows(write_rps: float | None, refused: int, lowered: bool) -> None:
    """An announced lower rate is used only after the key-value store has refused three writes."""
    day = Day(seed=63, later=LaterStoreLimits(write_rps=write_rps))
    day.run(3)
    store = day.controllers[HOSTS[0]][0].storage.store
    full_rate = store.rates.change_limiter.rate
    for _ in range(refused):
        store.rates.record_refusal()
    assert (store.rates.change_limiter.rate < full_rate) is lowered


def test_what_is_refused_for_its_size_is_never_sent_again() -> None:
    """If the store refuses a size that the settings allow, the controller lowers its own limits accordingly."""
    day = Day(seed=64, value_kb=16.0, txn_ops=16)
    day.run(4)
    day.store.limits = StoreLimits(100, 40, 1.5, 4)
    store = day.controllers[HOSTS[0]][0].storage.store

    async def write(changes: int) -> None:
        await store.transact([], [put(f"b/x/{number}", "y" * 100) for number in range(changes)], Urgency.COMPLETE)

    with pytest.raises(RequestRefusedError):
        run(day.loop, write(8))
    assert store.max_changes == 4
    run(day.loop, write(store.max_changes))
    for number in range(4):
        day.submit(job(f"run-{number}", heads=12, trek_s=2.0))
    assert day.finish() == []
    assert len(day.store.too_large) <= 12
    assert day.rules.broken == []


def run(loop: Loop, coro: object) -> object:
    """Run a coroutine on the event loop until it ends, and return its result."""
    return loop.run(loop.spawn(coro, "test"))


@pytest.mark.parametrize("type_count", [2, 40])
def test_a_large_catalog_is_kept_in_pieces(type_count: int) -> None:
    """The catalogue of machine types is stored in several values if it is too large for one.

    A controller that is restarted during an outage of the cloud reads the catalogue from the key-value store. The
    version in production can read these values as well.
    """
    day = Day(seed=65, later=LATER)
    for number in range(type_count):
        name = f"kind-{number:03d}"
        day.site.machine_types[name] = MachineType(name, 8.0, 32.0)
    day.run(8)
    stored = [key for key in day.store.items if key.startswith("b/catalog")]
    assert (len(stored) == 1) is (type_count == 2)
    day.site.cloud_down = True
    day.production_hosts = {HOSTS[1]}
    for host in HOSTS[:2]:
        day.restart(host, SECOND)
    day.run(8)
    for host in HOSTS[:2]:
        assert len(day.controllers[host][0].catalog) == type_count + 1
    assert day.store.too_large == []
