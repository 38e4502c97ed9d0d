"""Builds the objects that handle requests of users, workers, the load balancer and other controllers."""

from dataclasses import dataclass

from badgerroute.coordination.autoscaling.machine_tombstones import MachineTombstones
from badgerroute.coordination.jobs.subsystem import JobsSubsystem
from badgerroute.coordination.leadership.subsystem import LeadershipSubsystem
from badgerroute.coordination.membership.subsystem import MembershipSubsystem
from badgerroute.coordination.requests.admission import AdmissionControl
from badgerroute.coordination.requests.heartbeat_handler import HeartbeatHandler
from badgerroute.coordination.requests.http_api import HttpApi
from badgerroute.coordination.requests.job_request_handler import JobRequestHandler
from badgerroute.coordination.requests.job_service import JobService
from badgerroute.coordination.requests.mesh_dispatcher import MeshDispatcher
from badgerroute.coordination.requests.shard_requests import ShardRequests
from badgerroute.coordination.shards.shard_leaders import ShardLeaders
from badgerroute.protocol.cloud import MachineType
from badgerroute.settings import Settings
from badgerroute.storage.subsystem import Storage
from badgerroute.transport.loop import Loop, TaskGroup


@dataclass(frozen=True, slots=True)
class RequestsSubsystem:
    """The objects of this package. `api` serves the public address; `mesh_dispatcher` handles messages from peers."""

    shard_requests: ShardRequests
    job_service: JobService
    heartbeat_handler: HeartbeatHandler
    api: HttpApi
    mesh_dispatcher: MeshDispatcher


def build_shard_requests(
    loop: Loop,
    group: TaskGroup,
    leadership: LeadershipSubsystem,
    membership: MembershipSubsystem,
    leaders: ShardLeaders,
) -> ShardRequests:
    """Build `ShardRequests`. It is built before the shard leaders, which use it to send requests to other shards."""
    return ShardRequests(
        loop=loop,
        group=group,
        leader_records=leadership.records,
        policy=leadership.policy,
        peers=membership.peers,
        mesh=membership.mesh,
        leaders=leaders,
    )


def build_requests(
    *,
    settings: Settings,
    loop: Loop,
    group: TaskGroup,
    storage: Storage,
    leadership: LeadershipSubsystem,
    membership: MembershipSubsystem,
    jobs: JobsSubsystem,
    shard_requests: ShardRequests,
    leaders: ShardLeaders,
    catalog: dict[str, MachineType],
    tombstones: MachineTombstones,
) -> RequestsSubsystem:
    """Build the subsystem. It handles no request until the HTTP server and the mesh are started with its objects."""
    job_service = JobService(
        shard_count=settings.params.size,
        job_store=jobs.store,
        job_reader=jobs.reader,
        job_writer=jobs.writer,
        admission=AdmissionControl(settings.params.teams, catalog, jobs.pager),
        replica=storage.replica,
        catalog=catalog,
        summaries=membership.peers.summaries,
        running=membership.peers.running_task_count,
    )
    heartbeat_handler = HeartbeatHandler(
        settings=settings,
        loop=loop,
        replica=storage.replica,
        policy=leadership.policy,
        leaders=leaders,
        peers=membership.peers,
        mesh=membership.mesh,
        monitor=membership.monitor,
        forwarder=membership.forwarder,
        tombstones=tombstones,
    )
    job_request_handler = JobRequestHandler(
        settings=settings,
        policy=leadership.policy,
        store=storage.store,
        peers=membership.peers,
        job_service=job_service,
        forwarder=membership.forwarder,
    )
    api = HttpApi(storage.replica, membership.monitor, heartbeat_handler, job_request_handler)
    mesh_dispatcher = MeshDispatcher(
        settings=settings,
        group=group,
        replica=storage.replica,
        election=leadership.election,
        peers=membership.peers,
        shard_requests=shard_requests,
        leadership_transfer=membership.leadership_transfer,
        forwarder=membership.forwarder,
        job_store=jobs.store,
        cancellation_broadcast=jobs.cancellation_broadcast,
        mesh=membership.mesh,
        api=api,
    )
    return RequestsSubsystem(shard_requests, job_service, heartbeat_handler, api, mesh_dispatcher)
