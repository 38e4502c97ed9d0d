"""Builds the components of this controller that lead shards."""

from collections.abc import Callable
from dataclasses import dataclass

from badgerroute.coordination.jobs.subsystem import JobsSubsystem
from badgerroute.coordination.leadership.subsystem import LeadershipSubsystem
from badgerroute.coordination.quotas.quota_allocator import QuotaAllocator
from badgerroute.coordination.shards.forecast import JobForecast
from badgerroute.coordination.shards.forecast_task import ForecastTask
from badgerroute.coordination.shards.leader_context import (
    JobAccess,
    LeaderContext,
    LeadershipAccess,
    MachineAccess,
    PeerRequests,
)
from badgerroute.coordination.shards.progress_flusher import ProgressFlusher
from badgerroute.coordination.shards.shard_leaders import LeaderLifecycle, MachineDeletion, ShardLeaders
from badgerroute.coordination.shards.shard_storage import ShardStorage
from badgerroute.protocol.mesh import ShardSummary
from badgerroute.scheduling.guidance import Guidance
from badgerroute.settings import Settings
from badgerroute.storage.keys import DONE, JOBS, MACHINES
from badgerroute.storage.subsystem import Storage
from badgerroute.transport.loop import Loop, TaskGroup


@dataclass(frozen=True, slots=True)
class ShardsSubsystem:
    """The leaders of this controller's shards, and the components that serve all of these leaders."""

    leaders: ShardLeaders
    forecast_task: ForecastTask
    progress_flusher: ProgressFlusher


def build_shards(
    *,
    settings: Settings,
    loop: Loop,
    group: TaskGroup,
    storage: Storage,
    leadership: LeadershipSubsystem,
    leadership_access: LeadershipAccess,
    jobs: JobsSubsystem,
    quota_allocator: QuotaAllocator,
    machines: MachineAccess,
    deletion: MachineDeletion,
    peer_requests: PeerRequests,
    summaries: Callable[[], list[ShardSummary]],
    guidance: Callable[[int], Guidance],
    leaders: ShardLeaders,
) -> ShardsSubsystem:
    """Build the components. `leaders` is empty at first and changes as this controller wins and loses shards."""
    forecast = JobForecast(
        settings=settings,
        loop=loop,
        job_store=jobs.store,
        replica=storage.replica,
        catalog=machines.catalog,
        leaders=leaders,
        summaries=summaries,
    )
    progress_flusher = ProgressFlusher(
        loop=loop,
        leaders=leaders,
        job_store=jobs.store,
        progress_writer=jobs.progress_writer,
        forecast=forecast,
        leadership_condition=leadership.state.leadership_condition_if_led,
    )
    context = LeaderContext(
        settings=settings,
        loop=loop,
        group=group,
        storage=ShardStorage(storage.store, storage.replica, jobs.change_broadcast),
        leadership=leadership_access,
        jobs=JobAccess(
            job_store=jobs.store,
            job_reader=jobs.reader,
            pager=jobs.pager,
            quota_allocator=quota_allocator,
            request_flush=progress_flusher.request_flush,
        ),
        machines=machines,
        peer_requests=peer_requests,
        guidance=guidance,
    )
    leadership.state.register(LeaderLifecycle(leaders, context, deletion))
    # The job store's listeners were registered earlier and must run first, because leaders look up jobs in the job
    # store.
    storage.replica.listen(DONE, leaders.done_page_changed)
    storage.replica.listen(JOBS, leaders.job_record_changed)
    storage.replica.listen(MACHINES, leaders.machine_record_changed)
    return ShardsSubsystem(leaders, ForecastTask(settings, loop, forecast), progress_flusher)
