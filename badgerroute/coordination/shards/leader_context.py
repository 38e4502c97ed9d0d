"""Objects that all shard leaders of one controller share, grouped so that each component gets only what it needs."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from badgerroute.coordination.jobs.job_reader import JobReader
from badgerroute.coordination.jobs.job_store import JobStore
from badgerroute.coordination.jobs.record_paging import RecordPager
from badgerroute.coordination.leadership.action_policy import ActionPolicy
from badgerroute.coordination.leadership.leader_election import LeaderElection
from badgerroute.coordination.leadership.leadership_state import LeadershipState
from badgerroute.coordination.quotas.quota_allocator import QuotaAllocator
from badgerroute.coordination.shards.shard_storage import ShardStorage
from badgerroute.protocol.cloud import MachineType
from badgerroute.protocol.mesh import MachineRequest, QuotaRequest
from badgerroute.scheduling.guidance import Guidance
from badgerroute.settings import Settings
from badgerroute.transport.loop import Loop, Semaphore, TaskGroup
from badgerroute.transport.net import Network


@dataclass(frozen=True, slots=True)
class LeadershipAccess:
    """Tells which shards this controller leads, and what it may do for them now."""

    state: LeadershipState
    election: LeaderElection
    policy: ActionPolicy
    resumed_at: Callable[[], timedelta]  # when the process last resumed after a pause


@dataclass(frozen=True, slots=True)
class JobAccess:
    """The jobs that this controller knows of, and the components that read and write them."""

    job_store: JobStore
    job_reader: JobReader
    pager: RecordPager
    quota_allocator: QuotaAllocator
    request_flush: Callable[[], None]  # to be called when there is progress to be written


@dataclass(frozen=True, slots=True)
class MachineAccess:
    """The objects for sending commands to machines and for having them deleted."""

    network: Network
    semaphore: Semaphore  # limits the commands that are in flight to machines
    catalog: dict[str, MachineType]  # by name of the machine type; empty until it has been read
    delete_machines: Callable[[list[str]], None]


@dataclass(frozen=True, slots=True)
class PeerRequests:
    """Sends requests to the leaders of all other shards."""

    request_quota: Callable[[QuotaRequest], None]
    request_machines: Callable[[MachineRequest], None]


@dataclass(frozen=True, slots=True)
class LeaderContext:
    """Everything that all shard leaders of one controller share."""

    settings: Settings
    loop: Loop
    group: TaskGroup  # for background tasks of the controller itself
    storage: ShardStorage
    leadership: LeadershipAccess
    jobs: JobAccess
    machines: MachineAccess
    peer_requests: PeerRequests
    guidance: Callable[[int], Guidance]  # called with a shard's number
