"""Builds the objects that read and write jobs in the key-value store."""

from collections.abc import Container
from dataclasses import dataclass

from badgerroute.coordination.jobs.cancellation_broadcast import CancellationBroadcast
from badgerroute.coordination.jobs.downstream_cancellation import DownstreamCancellation, ShardLeaderships
from badgerroute.coordination.jobs.job_listeners import JobReleaseListener
from badgerroute.coordination.jobs.job_reader import JobReader
from badgerroute.coordination.jobs.job_store import JobStore
from badgerroute.coordination.jobs.job_writer import JobWriter
from badgerroute.coordination.jobs.page_garbage_collector import GarbageCollectionPermission, PageGarbageCollector
from badgerroute.coordination.jobs.peer_messaging import ChangeBroadcast, PeerMessenger
from badgerroute.coordination.jobs.progress_writer import ProgressWriter
from badgerroute.coordination.jobs.record_paging import RecordPager
from badgerroute.coordination.jobs.upstream_resolver import UpstreamResolver
from badgerroute.settings import Settings
from badgerroute.storage.subsystem import Storage
from badgerroute.transport.loop import Loop


@dataclass(frozen=True, slots=True)
class JobsSubsystem:
    """The objects of this package. `store` is the in-memory index of all jobs."""

    change_broadcast: ChangeBroadcast
    cancellation_broadcast: CancellationBroadcast
    store: JobStore
    reader: JobReader
    pager: RecordPager
    writer: JobWriter
    progress_writer: ProgressWriter
    upstream_resolver: UpstreamResolver
    downstream_cancellation: DownstreamCancellation
    page_garbage_collector: PageGarbageCollector


def build_jobs(
    *,
    settings: Settings,
    loop: Loop,
    storage: Storage,
    messenger: PeerMessenger,
    release_listener: JobReleaseListener,
    leadership_state: ShardLeaderships,
    garbage_collection_permission: GarbageCollectionPermission,
    known_types: Container[str],
) -> JobsSubsystem:
    """Build the subsystem. `known_types` are the names of the machine types in the cloud."""
    replica = storage.replica
    peers = [peer.host_name for peer in settings.platform.peers]
    change_broadcast = ChangeBroadcast(messenger)
    cancellation_broadcast = CancellationBroadcast(
        loop, settings.platform.host_name, peers, messenger, settings.params.workers.max_cancellation_time
    )
    job_store = JobStore(replica, change_broadcast, release_listener, cancellation_broadcast)
    reader = JobReader(loop, storage.store, replica, job_store)
    pager = RecordPager(storage.store, replica, job_store, known_types)
    return JobsSubsystem(
        change_broadcast=change_broadcast,
        cancellation_broadcast=cancellation_broadcast,
        store=job_store,
        reader=reader,
        pager=pager,
        writer=JobWriter(
            loop=loop, store=storage.store, replica=replica, job_store=job_store, reader=reader, pager=pager
        ),
        progress_writer=ProgressWriter(
            loop=loop, store=storage.store, replica=replica, job_store=job_store, reader=reader, pager=pager
        ),
        upstream_resolver=UpstreamResolver(loop, job_store, reader),
        downstream_cancellation=DownstreamCancellation(
            loop=loop,
            store=storage.store,
            replica=replica,
            job_store=job_store,
            leadership_state=leadership_state,
            home_shard=settings.home_shard,
        ),
        page_garbage_collector=PageGarbageCollector(
            loop=loop,
            store=storage.store,
            replica=replica,
            job_store=job_store,
            job_reader=reader,
            permission=garbage_collection_permission,
        ),
    )
