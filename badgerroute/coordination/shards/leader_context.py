"""What the shards of one controller share: its clients, its view of the world, and whom they tell of what."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from badgerroute.coordination.jobs.job_reader import JobReader
from badgerroute.coordination.jobs.job_store import JobStore
from badgerroute.coordination.jobs.peer_messaging import Publish
from badgerroute.coordination.jobs.record_paging import RecordPager
from badgerroute.coordination.leadership.action_policy import ActionPolicy
from badgerroute.coordination.leadership.leader_election import LeaderElection
from badgerroute.coordination.leadership.leadership_state import LeadershipState
from badgerroute.coordination.quotas.quota_allocator import QuotaAllocator
from badgerroute.protocol.cloud import MachineType
from badgerroute.protocol.mesh import MachineRequest, QuotaRequest
from badgerroute.scheduling.guidance import Guidance
from badgerroute.settings import Settings
from badgerroute.storage.key_value_client import KeyValueClient
from badgerroute.storage.replica import Replica
from badgerroute.transport.loop import Loop, Semaphore, TaskGroup
from badgerroute.transport.net import Network


@dataclass(frozen=True, slots=True)
class LeaderContext:
    """Collaborators of every leader."""

    settings: Settings
    loop: Loop
    network: Network
    group: TaskGroup
    semaphore: Semaphore  # how many commands may be on their way to machines at once
    store: KeyValueClient
    replica: Replica
    leadership_state: LeadershipState
    election: LeaderElection
    policy: ActionPolicy
    resumed_at: Callable[[], timedelta]  # the end of this process's last pause
    job_store: JobStore
    job_reader: JobReader
    pager: RecordPager
    quota_allocator: QuotaAllocator
    catalog: dict[str, MachineType]
    publish: Publish  # tells the peers of a change of ours
    progressed: Callable[[], None]  # there is progress to be written down
    delete_machines: Callable[[list[str]], None]
    guidance: Callable[[int], Guidance]  # for a shard, by its number
    request_quota: Callable[[QuotaRequest], None]
    request_machines: Callable[[MachineRequest], None]
