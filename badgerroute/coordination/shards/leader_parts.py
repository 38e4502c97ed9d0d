"""Builds the components of a shard's leader, in the order of their dependencies."""

from dataclasses import dataclass
from functools import partial

from badgerroute.coordination.leadership.leadership_state import Leadership
from badgerroute.coordination.shards.failover import Failover
from badgerroute.coordination.shards.fencing import Fencing
from badgerroute.coordination.shards.gang_migration import GangMigration
from badgerroute.coordination.shards.heartbeat_intake import HeartbeatIntake
from badgerroute.coordination.shards.heartbeat_responder import HeartbeatResponder
from badgerroute.coordination.shards.job_sync import JobSync
from badgerroute.coordination.shards.job_transfers import JobTransfers
from badgerroute.coordination.shards.leader_context import LeaderContext
from badgerroute.coordination.shards.leader_status import LeaderStatus
from badgerroute.coordination.shards.machine_commands import MachineCommands
from badgerroute.coordination.shards.machine_expiry import MachineExpiry
from badgerroute.coordination.shards.machine_sync import MachineSync
from badgerroute.coordination.shards.machine_transfers import MachineTransfers
from badgerroute.coordination.shards.member_registry import MemberRegistry
from badgerroute.coordination.shards.progress_batch import ProgressBatch
from badgerroute.coordination.shards.quota_exchange import QuotaExchange
from badgerroute.coordination.shards.scheduling_rounds import SchedulingRounds
from badgerroute.coordination.shards.summary_cache import SummaryCache
from badgerroute.coordination.shards.term_raiser import TermRaiser
from badgerroute.coordination.shards.tombstone_writer import TombstoneWriter
from badgerroute.coordination.shards.urgent_stops import UrgentStops
from badgerroute.coordination.shards.work_stealing import WorkStealing
from badgerroute.scheduling.objectives import Objectives
from badgerroute.scheduling.planner import Planner
from badgerroute.scheduling.shard import Shard
from badgerroute.storage import records
from badgerroute.transport.loop import TaskGroup


@dataclass(frozen=True, slots=True)
class LeaderCore:
    """The objects from which every component of one leader is built. `group` runs the leader's background tasks."""

    context: LeaderContext
    group: TaskGroup
    status: LeaderStatus
    shard: Shard
    planner: Planner


@dataclass(frozen=True, slots=True)
class MachineLink:
    """The components that send commands to the shard's machines and apply the task lists that these machines send."""

    progress: ProgressBatch
    intake: HeartbeatIntake
    term_raiser: TermRaiser
    commands: MachineCommands
    fencing: Fencing


@dataclass(frozen=True, slots=True)
class ShardExchanges:
    """The components that exchange tasks, gangs, machines and quota with the other shards."""

    work_stealing: WorkStealing
    gang_migration: GangMigration
    machine_transfers: MachineTransfers
    quota_exchange: QuotaExchange


def build_core(number: int, leadership: Leadership, context: LeaderContext) -> LeaderCore:
    """Build the planner of a shard, the task group of its leader, and its state, which is empty at first."""
    settings = context.settings
    workers = settings.params.workers
    group = TaskGroup(context.loop, f"{context.group.name}/shard-{number}")
    shard = Shard(
        number,
        leadership.term,
        partial(context.jobs.quota_allocator.usable_quota, number),
        context.loop.now(),
        workers.lease,
        context.jobs.job_store.may_be_released,
        context.guidance(number),
    )
    objectives = Objectives(settings.params.objectives)
    planner = Planner(shard, settings.operator.scheduling, objectives, workers.heartbeat_interval)
    return LeaderCore(context, group, LeaderStatus(number, context.leadership.policy), shard, planner)


def build_machine_link(core: LeaderCore) -> MachineLink:
    """Build the components that send commands, fence machines and apply task lists."""
    context, shard, loop, machines = core.context, core.shard, core.context.loop, core.context.machines
    progress = ProgressBatch(shard=shard, loop=loop, request_flush=context.jobs.request_flush)
    intake = HeartbeatIntake(
        shard=shard, loop=loop, group=core.group, progress=progress, delete_machines=machines.delete_machines
    )
    term_raiser = TermRaiser(shard=shard, loop=loop, election=context.leadership.election)
    commands = MachineCommands(
        shard=shard,
        loop=loop,
        network=machines.network,
        semaphore=machines.semaphore,
        term_raiser=term_raiser,
        intake=intake,
    )
    fencing = Fencing(
        shard=shard,
        loop=loop,
        group=core.group,
        commands=commands,
        policy=context.leadership.policy,
        delete_machines=machines.delete_machines,
    )
    return MachineLink(progress, intake, term_raiser, commands, fencing)


def build_job_sync(core: LeaderCore) -> JobSync:
    """Build the component that applies stored records of jobs to the shard."""
    context = core.context
    window = records.max_tasks_ahead(context.storage.store.max_value_bytes)
    return JobSync(shard=core.shard, loop=context.loop, job_store=context.jobs.job_store, window=window)


def build_job_transfers(core: LeaderCore, job_sync: JobSync) -> JobTransfers:
    """Build the component that transfers tasks to other shards."""
    context, jobs = core.context, core.context.jobs
    return JobTransfers(
        shard=core.shard,
        loop=context.loop,
        group=core.group,
        storage=context.storage,
        leadership_state=context.leadership.state,
        status=core.status,
        job_reader=jobs.job_reader,
        pager=jobs.pager,
        job_sync=job_sync,
    )


def build_exchanges(core: LeaderCore, job_transfers: JobTransfers) -> ShardExchanges:
    """Build the components that decide on transfers of tasks, gangs, machines and quota."""
    context, shard, loop, jobs = core.context, core.shard, core.context.loop, core.context.jobs
    leadership, storage = context.leadership, context.storage
    return ShardExchanges(
        work_stealing=WorkStealing(
            shard=shard,
            planner=core.planner,
            loop=loop,
            store=storage.store,
            job_store=jobs.job_store,
            status=core.status,
            job_transfers=job_transfers,
        ),
        gang_migration=GangMigration(
            shard=shard,
            planner=core.planner,
            loop=loop,
            job_store=jobs.job_store,
            job_transfers=job_transfers,
            request_machines=context.peer_requests.request_machines,
            teams=context.settings.params.teams,
        ),
        machine_transfers=MachineTransfers(
            shard=shard,
            loop=loop,
            group=core.group,
            storage=storage,
            leadership_state=leadership.state,
            status=core.status,
        ),
        quota_exchange=QuotaExchange(
            shard=shard,
            planner=core.planner,
            loop=loop,
            policy=leadership.policy,
            quota_allocator=jobs.quota_allocator,
            request_quota=context.peer_requests.request_quota,
        ),
    )


def build_machine_sync(core: LeaderCore, gang_migration: GangMigration) -> MachineSync:
    """Build the component that applies stored records of machines to the shard."""
    context = core.context
    return MachineSync(
        shard=core.shard, loop=context.loop, catalog=context.machines.catalog, gang_migration=gang_migration
    )


def build_heartbeat_responder(core: LeaderCore, link: MachineLink) -> HeartbeatResponder:
    """Build the component that answers heartbeats and registers each machine at its first heartbeat."""
    context, leadership = core.context, core.context.leadership
    member_registry = MemberRegistry(
        loop=context.loop, group=core.group, leadership_state=leadership.state, storage=context.storage
    )
    return HeartbeatResponder(
        shard=core.shard,
        planner=core.planner,
        loop=context.loop,
        policy=leadership.policy,
        catalog=context.machines.catalog,
        intake=link.intake,
        term_raiser=link.term_raiser,
        fencing=link.fencing,
        member_registry=member_registry,
        planning_time_limit=context.settings.operator.scheduling.round,
    )


def build_scheduling_rounds(
    core: LeaderCore, link: MachineLink, quota_exchange: QuotaExchange, leadership: Leadership
) -> SchedulingRounds:
    """Build the periodic scheduling rounds, with the expiry of machines and the urgent stops."""
    context, shard = core.context, core.shard
    machine_expiry = MachineExpiry(
        settings=context.settings,
        shard=shard,
        planner=core.planner,
        leadership_state=context.leadership.state,
        policy=context.leadership.policy,
        delete_machines=context.machines.delete_machines,
        grace=leadership.grace,
    )
    urgent_stops = UrgentStops(shard=shard, loop=context.loop, group=core.group, commands=link.commands)
    return SchedulingRounds(
        shard=shard,
        planner=core.planner,
        loop=context.loop,
        policy=context.leadership.policy,
        machine_expiry=machine_expiry,
        urgent_stops=urgent_stops,
        quota_exchange=quota_exchange,
        planning_time_limit=context.settings.operator.scheduling.round,
    )


def build_failover(core: LeaderCore, link: MachineLink, job_sync: JobSync, machine_sync: MachineSync) -> Failover:
    """Build the component that runs the failover."""
    context = core.context
    return Failover(
        shard=core.shard,
        loop=context.loop,
        replica=context.storage.replica,
        job_store=context.jobs.job_store,
        catalog=context.machines.catalog,
        status=core.status,
        job_sync=job_sync,
        machine_sync=machine_sync,
        fencing=link.fencing,
    )


def build_tombstone_writer(core: LeaderCore) -> TombstoneWriter:
    """Build the component that removes deleted machines from the shard and writes their tombstones."""
    context = core.context
    return TombstoneWriter(
        shard=core.shard, loop=context.loop, storage=context.storage, leadership_state=context.leadership.state
    )


def build_summary_cache(core: LeaderCore) -> SummaryCache:
    """Build the cache of the shard's summary, which other shards and the rest of the controller read."""
    context = core.context
    return SummaryCache(
        settings=context.settings,
        loop=context.loop,
        shard=core.shard,
        planner=core.planner,
        job_store=context.jobs.job_store,
        catalog=context.machines.catalog,
        resumed_at=context.leadership.resumed_at,
    )
