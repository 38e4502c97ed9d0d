"""Builds the subsystems of a controller in the order of their dependencies, and runs its background tasks."""

import logging
from collections.abc import Callable
from datetime import timedelta

from badgerroute.coordination.autoscaling.autoscaler_authority import AutoscalerAuthority
from badgerroute.coordination.autoscaling.catalog import MachineCatalog
from badgerroute.coordination.autoscaling.subsystem import build_autoscaling
from badgerroute.coordination.gossip import GossipTask
from badgerroute.coordination.jobs.subsystem import build_jobs
from badgerroute.coordination.leadership.leadership_state import LeadershipState
from badgerroute.coordination.leadership.subsystem import build_leadership
from badgerroute.coordination.membership.subsystem import build_membership
from badgerroute.coordination.quotas.quota_allocator import QuotaAllocator
from badgerroute.coordination.quotas.quota_store import QuotaStore
from badgerroute.coordination.requests.subsystem import build_requests, build_shard_requests
from badgerroute.coordination.shards.leader_context import LeadershipAccess, MachineAccess, PeerRequests
from badgerroute.coordination.shards.shard_leaders import ShardLeaders
from badgerroute.coordination.shards.subsystem import build_shards
from badgerroute.coordination.socket_budget import divide_sockets
from badgerroute.protocol.cloud import MachineType
from badgerroute.scheduling.guidance import NEUTRAL, Guidance
from badgerroute.settings import Settings
from badgerroute.storage.keys import TOMBSTONES
from badgerroute.storage.subsystem import build_storage
from badgerroute.transport.http import Server
from badgerroute.transport.loop import Future, Loop, Semaphore, TaskGroup
from badgerroute.transport.net import Network

log = logging.getLogger(__name__)
RESTART_PAUSE = timedelta(seconds=1)  # before a background task that failed is restarted


class Controller:
    """One controller. Each subsystem depends only on subsystems that are built before it; `run` starts all of them."""

    def __init__(
        self,
        settings: Settings,
        loop: Loop,
        network: Network,
        group: TaskGroup,
        guidance: Callable[[int], Guidance] = lambda shard: NEUTRAL,
    ) -> None:
        """Build all subsystems. `guidance` is called with each shard that this controller is elected to lead."""
        self.settings, self._loop, self._network, self._group = settings, loop, network, group
        sockets = divide_sockets(settings.params)
        self.leaders = ShardLeaders(group)  # empty until the first election
        self.storage = build_storage(settings, loop, network)
        self.leadership = build_leadership(settings, loop, self.storage)
        self.membership = build_membership(
            settings=settings,
            loop=loop,
            network=network,
            group=group,
            replica=self.storage.replica,
            leadership=self.leadership,
            leaders=self.leaders,
        )
        autoscaler_authority = AutoscalerAuthority(self.leadership.state, self.leadership.policy)
        self.machine_catalog = MachineCatalog(
            loop, self.storage.cloud, self.storage.store, self.storage.replica, self.leadership.state
        )
        self.jobs = build_jobs(
            settings=settings,
            loop=loop,
            storage=self.storage,
            messenger=self.membership.mesh,
            release_listener=self.leaders,
            leadership_state=self.leadership.state,
            garbage_collection_permission=autoscaler_authority,
            known_types=self.machine_catalog.types,
        )
        quota_store = QuotaStore(loop, self.storage.store, self.storage.replica, self.jobs.change_broadcast)
        self.quota_allocator = QuotaAllocator(settings, loop, quota_store, self.leadership.state)
        self.autoscaling = build_autoscaling(
            settings=settings,
            loop=loop,
            storage=self.storage,
            leadership=self.leadership,
            authority=autoscaler_authority,
            leaders=self.leaders,
            job_store=self.jobs.store,
            catalog=self.machine_catalog.types,
            summary_source=self.membership.peers,
        )
        self.storage.replica.listen(TOMBSTONES, self.autoscaling.tombstones.record_changed)
        shard_requests = build_shard_requests(loop, group, self.leadership, self.membership, self.leaders)
        self.shards = build_shards(
            settings=settings,
            loop=loop,
            group=group,
            storage=self.storage,
            leadership=self.leadership,
            leadership_access=LeadershipAccess(
                self.leadership.state,
                self.leadership.election,
                self.leadership.policy,
                self.membership.monitor.resumed_at,
            ),
            jobs=self.jobs,
            quota_allocator=self.quota_allocator,
            machines=MachineAccess(
                network=network,
                semaphore=Semaphore(sockets.direct_commands),
                catalog=self.machine_catalog.types,
                delete_machines=self.autoscaling.deletion_queue.delete,
            ),
            deletion=self.autoscaling.deletion_queue,
            peer_requests=PeerRequests(shard_requests.request_quota, shard_requests.request_machines),
            summaries=self.membership.peers.summaries,
            guidance=guidance,
            leaders=self.leaders,
        )
        self.requests = build_requests(
            settings=settings,
            loop=loop,
            group=group,
            storage=self.storage,
            leadership=self.leadership,
            membership=self.membership,
            jobs=self.jobs,
            shard_requests=shard_requests,
            leaders=self.leaders,
            catalog=self.machine_catalog.types,
            tombstones=self.autoscaling.tombstones,
        )
        self._gossip_task = GossipTask(
            settings=settings,
            loop=loop,
            storage=self.storage,
            leadership=self.leadership,
            membership=self.membership,
            leaders=self.leaders,
            catalog=self.machine_catalog.types,
            cancellation_broadcast=self.jobs.cancellation_broadcast,
        )
        self._server = Server(loop, group, self.requests.api.handle, sockets.connections)

    @property
    def leadership_state(self) -> LeadershipState:
        """The shards that this controller leads."""
        return self.leadership.state

    @property
    def catalog(self) -> dict[str, MachineType]:
        """The machine types known so far, by name."""
        return self.machine_catalog.types

    async def run(self) -> None:
        """Listen, start every background task, and run until it is cancelled."""
        log.info(
            "event=controller_started host=%s home_shard=%d", self.settings.platform.host_name, self.settings.home_shard
        )
        listener = self._network.listen(self.settings.platform.public_addr)
        self._group.spawn(self._server.serve(listener), "serve")
        self.membership.mesh.start(self.requests.mesh_dispatcher.receive)
        for run, name in (
            (self.storage.replica.run, "replica"),
            (self.storage.replica.serve_readers, "reads"),
            (self.leadership.election.run, "election"),
            (self.machine_catalog.run, "catalog"),
            (self._gossip_task.run, "gossip"),
            (self.shards.progress_flusher.run, "progress"),
            (self.shards.forecast_task.run, "forecast"),
            (self.requests.shard_requests.run_stealing, "stealing"),
            (self.membership.leadership_transfer.run, "leadership-transfer"),
            (self.autoscaling.scale_out.run, "scale-out"),
            (self.autoscaling.deletion_queue.run, "machine-deletion"),
            (self.autoscaling.scale_in.run, "scale-in"),
            (self.membership.monitor.run, "connectivity"),
            (self.membership.worker_prober.run, "worker-probes"),
            (self.jobs.upstream_resolver.run, "upstream-lookups"),
            (self.jobs.downstream_cancellation.run, "downstream-cancellation"),
            (self.jobs.page_garbage_collector.run, "page-garbage-collection"),
        ):
            self._group.run_forever(run, name, RESTART_PAUSE)
        await Future()
