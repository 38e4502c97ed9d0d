"""Tests that the names in messages, stored records and settings files have not changed.

The tables were recorded before classes and attributes in the code were renamed. The label at the start of a row is the
name at that time, and does not change. The class or constant that follows is allowed to be renamed, but the rest of the
row must not change.
"""

from enum import Enum

import pytest
from msgspec import Struct

from badgerroute.connectivity.modes import Mode
from badgerroute.coordination.autoscaling import catalog
from badgerroute.protocol import cloud, key_value, mesh, users, workers
from badgerroute.settings import operator, platform
from badgerroute.storage import keys, records

# Label, class, tag (the type name in a message), whether the class is encoded as an array, field names in order.
STRUCTS: list[tuple[str, type[Struct], str | None, bool, str]] = [
    (
        "protocol.cloud.MachineType",
        cloud.MachineType,
        None,
        False,
        "label cpus accelerators ram_gb local_gb fetch_gb_per_s price low_price startup_s pastures",
    ),
    ("protocol.cloud.Catalog", cloud.Catalog, None, False, "breeds"),
    ("protocol.cloud.RentalRequest", cloud.RentalRequest, None, False, "hire breed pasture strays number"),
    ("protocol.cloud.Rented", cloud.RentalResponse, None, False, "mounts"),
    ("protocol.cloud.Deletion", cloud.DeletionRequest, None, False, "mounts"),
    (
        "protocol.cloud.ListedMachine",
        cloud.ListedMachine,
        None,
        False,
        "ref address breed pasture strays condition held_s",
    ),
    ("protocol.cloud.MachineList", cloud.MachineList, None, False, "mounts more"),
    ("protocol.mesh.FreeCapacity", mesh.FreeCapacity, None, True, "type zone spot cpus accelerators memory_gb count"),
    (
        "protocol.mesh.CrowdedCapacity",
        mesh.CrowdedCapacity,
        None,
        True,
        "type zone spot cpus accelerators memory_gb count list_bytes",
    ),
    (
        "protocol.mesh.PendingDemand",
        mesh.PendingDemand,
        None,
        True,
        "ref team cpus accelerators memory_gb count gang level guaranteed waited_s types zone spot",
    ),
    ("protocol.mesh.ClassWaits", mesh.ClassWaits, None, True, "team job_class waiting oldest_s histogram"),
    ("protocol.mesh.TaskListRoom", mesh.TaskListRoom, None, False, "soon_free_bytes crowded"),
    ("protocol.mesh.PartLoad", mesh.ShardLoad, None, False, "waits machines_by_load"),
    (
        "protocol.mesh.PartSummary",
        mesh.ShardSummary,
        None,
        False,
        "part term settled machines bins images beside soft wants freeing running used silent load task_lists",
    ),
    ("protocol.mesh.Gossip", mesh.Gossip, "gossip", False, "host lease ready proved deaf parts mode hears relays"),
    ("protocol.mesh.Push", mesh.Push, "push", False, "key revision value"),
    ("protocol.mesh.StealRequest", mesh.StealRequest, "steal", False, "victim thief bins images short crowded_bins"),
    (
        "protocol.mesh.ShareRequest",
        mesh.QuotaRequest,
        "lack",
        False,
        "part team cpus accelerators age_s rank used arrived_at",
    ),
    ("protocol.mesh.MachineLoanRequest", mesh.MachineRequest, "borrow", False, "part job count"),
    ("protocol.mesh.MisdirectedReport", mesh.MisroutedHeartbeat, "knock", False, "part machine host"),
    ("protocol.mesh.ForwardedRequest", mesh.ForwardedRequest, "forward", False, "host number method path body"),
    ("protocol.mesh.ForwardedResponse", mesh.ForwardedResponse, "forwarded", False, "host number status body"),
    ("protocol.mesh.CancellationNotice", mesh.CancellationNotice, "withdrawn", False, "host jobs"),
    ("protocol.mesh.CancellationAck", mesh.CancellationAck, "withdrawn_heard", False, "host refs"),
    ("protocol.state.Item", key_value.KeyValueEntry, None, False, "key value mark tether"),
    ("protocol.state.Missing", key_value.KeyMissing, None, False, "ledger"),
    ("protocol.state.Listing", key_value.KeyValuePage, None, False, "rows ledger more"),
    ("protocol.state.Condition", key_value.Compare, None, False, "key mark"),
    ("protocol.state.Put", key_value.Put, None, False, "write value tether"),
    ("protocol.state.Remove", key_value.Remove, None, False, "remove"),
    ("protocol.state.Transaction", key_value.Transaction, None, False, "if apply"),
    ("protocol.state.Applied", key_value.Applied, None, False, "ledger"),
    ("protocol.state.Conflict", key_value.CompareFailed, None, False, "failed ledger"),
    ("protocol.state.Lease", key_value.Lease, None, False, "tether"),
    ("protocol.state.Change", key_value.Change, None, False, "mark write remove value"),
    ("protocol.state.Changes", key_value.Changes, None, False, "ledger log"),
    ("protocol.state.Refusal", key_value.Refusal, None, False, "error"),
    (
        "protocol.users.Submission",
        users.Submission,
        None,
        False,
        "ref herd crew gait rank heads cpus accelerators ram_gb brand image_gb together spread strays trek_s"
        " waypoint_s pen_s breeds pasture market_s follows",
    ),
    ("protocol.users.JobView", users.JobView, None, False, "ref condition done running"),
    ("protocol.workers.TaskReport", workers.TaskStatus, None, False, "head try condition cause kept"),
    (
        "protocol.workers.Report",
        workers.Heartbeat,
        None,
        False,
        "mount address breed pasture strays ride tally crook recall_s heads",
    ),
    ("protocol.workers.Command", workers.Command, None, False, "call head try settle_s"),
    ("protocol.workers.ReportAnswer", workers.HeartbeatResponse, None, False, "crook calls"),
    ("protocol.workers.DirectCommands", workers.DirectCommands, None, False, "crook ride calls"),
    ("protocol.workers.Redirect", workers.Redirect, None, False, "trail_boss"),
    ("storage.records.PartClaim", records.ShardLeaderRecord, None, False, "owner until handed"),
    ("storage.records.FleetClaim", records.AutoscalerLeaderRecord, None, False, "owner"),
    ("storage.records.MachineRecord", records.MachineRecord, None, False, "part address type zone spot"),
    ("storage.records.DeletedMachinesRecord", records.TombstoneRecord, None, False, "names"),
    ("storage.records.DrainRecord", records.DrainRecord, None, False, "deadline delete"),
    ("storage.records.ShareRecord", records.QuotaRecord, None, False, "shares"),
    ("storage.records.FinalStateRecord", records.FinalStateRecord, None, False, "state tasks at"),
    ("storage.records.DonePage", records.DonePage, None, False, "bits"),
    ("storage.records.PredecessorsPage", records.PredecessorsPage, None, False, "refs"),
    ("storage.records.JobRecord", records.JobRecord, None, False, "job accepted ranges base bits pages planned"),
    ("settings.platform.Sibling", platform.PeerAddress, None, False, "host_name zone endpoint"),
    ("settings.platform.Endpoints", platform.Endpoints, None, False, "cloud state"),
    ("settings.platform.Team", platform.Team, None, False, "name cpus cpus_max gpus gpus_max"),
    ("settings.platform.Objective", platform.Objective, None, False, "kind share class within_s times"),
    (
        "settings.platform.WorkerLimits",
        platform.WorkerLimits,
        None,
        False,
        "report_s lease_s gang_wait_s gang_peer_s cancel_s",
    ),
    ("settings.platform.NextLimits", platform.LaterStoreLimits, None, False, "rps write_rps value_kb txn_ops"),
    ("settings.platform.StateLimits", platform.StoreLimits, None, False, "rps write_rps value_kb txn_ops next"),
    ("settings.platform.CloudLimits", platform.CloudLimits, None, False, "rps list_lag_s"),
    ("settings.platform.Resources", platform.HostLimits, None, False, "cpu mem_mb fd_limit"),
    (
        "settings.platform.Params",
        platform.Params,
        None,
        False,
        "size zones workers state cloud resources teams objectives time_bound_ms",
    ),
    (
        "settings.platform.PlatformSettings",
        platform.PlatformSettings,
        None,
        False,
        "host_name zone public_addr mesh_addr endpoints params siblings",
    ),
    ("settings.operator.Scheduling", operator.Scheduling, None, False, "tau delta rho period_s wait_cap_s round_ms"),
    ("settings.operator.Fleet", operator.FleetSettings, None, False, "return_idle idle_s most_machines"),
    ("settings.operator.Claims", operator.ElectionSettings, None, False, "ttl_s"),
    (
        "settings.operator.Rebalancing",
        operator.Rebalancing,
        None,
        False,
        "window_s stale_s max_wait_ratio moves_per_period move_period_s move_gain move_rest_s",
    ),
    (
        "settings.operator.Connectivity",
        operator.Connectivity,
        None,
        False,
        "relay relay_s relays_at_once settle_s longest_settle_s penalty_half_life_s",
    ),
    (
        "settings.operator.OperatorSettings",
        operator.OperatorSettings,
        None,
        False,
        "rebalancing scheduling fleet claims connectivity",
    ),
    ("catalog.CatalogRecord", catalog.CatalogRecord, None, False, "types"),
]

# Label, enum, values of the enum in their order.
VALUES: list[tuple[str, type[Enum], str]] = [
    ("connectivity.modes.Mode", Mode, "serving recovering outage unrecorded unheard isolated"),
    ("storage.records.JobState", records.JobState, "active done withdrawn"),
    ("protocol.users.Priority", users.Priority, "prod urgent normal idle"),
]

# Label, constant, its value: a key or a prefix of keys in the key-value store.
KEYS = [
    ("PREFIX", keys.PREFIX, "b/"),
    ("PARTS", keys.SHARD_LEADERS, "b/parts/"),
    ("FLEET", keys.AUTOSCALER_LEADER, "b/fleet"),
    ("JOBS", keys.JOBS, "b/jobs/"),
    ("FINAL_STATES", keys.FINAL_STATES, "b/past/"),
    ("MACHINES", keys.MACHINES, "b/machines/"),
    ("SHARES", keys.QUOTA_ALLOCATIONS, "b/shares/"),
    ("CATALOG", keys.CATALOG, "b/catalog"),
    ("DELETED", keys.TOMBSTONES, "b/gone/"),
    ("DONE", keys.DONE, "b/done/"),
    ("PREDECESSORS", keys.PREDECESSORS, "b/before/"),
    ("DRAINS", keys.DRAINS, "b/drains/"),
]


@pytest.mark.parametrize(
    ("label", "struct", "tag", "is_array", "field_names"), STRUCTS, ids=[row[0] for row in STRUCTS]
)
def test_names_of_a_struct_are_written_as_before(
    label: str, struct: type[Struct], tag: str | None, is_array: bool, field_names: str
) -> None:
    assert struct.__struct_config__.tag == tag
    assert struct.__struct_config__.array_like is is_array
    assert list(struct.__struct_encode_fields__) == field_names.split()


@pytest.mark.parametrize(("label", "enum", "expected_values"), VALUES, ids=[row[0] for row in VALUES])
def test_values_of_an_enum_are_written_as_before(label: str, enum: type[Enum], expected_values: str) -> None:
    assert [value.value for value in enum] == expected_values.split()


@pytest.mark.parametrize(("label", "constant", "expected_value"), KEYS, ids=[row[0] for row in KEYS])
def test_keys_of_the_store_are_written_as_before(label: str, constant: str, expected_value: str) -> None:
    assert constant == expected_value


def test_every_struct_of_the_edges_is_in_the_table() -> None:
    modules = (cloud, mesh, key_value, users, workers, records, platform, operator, catalog)
    structs = {
        value
        for module in modules
        for value in vars(module).values()
        if isinstance(value, type) and issubclass(value, Struct) and value.__module__ == module.__name__
    }
    assert structs == {struct for _, struct, *_ in STRUCTS}
