"""One controller: its background tasks, and who answers what."""

import logging
import random
from collections.abc import Callable
from datetime import timedelta

from badgerroute.connectivity.modes import Action, Permission
from badgerroute.coordination.autoscaling.autoscaler import Autoscaler
from badgerroute.coordination.autoscaling.catalog import MachineCatalog
from badgerroute.coordination.autoscaling.machine_tombstones import MachineTombstones
from badgerroute.coordination.autoscaling.scale_in import ScaleIn
from badgerroute.coordination.jobs.cancellation_broadcast import CancellationBroadcast
from badgerroute.coordination.jobs.dependency_resolver import DependencyResolver
from badgerroute.coordination.jobs.job_reader import JobReader
from badgerroute.coordination.jobs.job_store import JobStore
from badgerroute.coordination.jobs.job_writer import JobWriter
from badgerroute.coordination.jobs.record_paging import RecordPager
from badgerroute.coordination.leadership.action_policy import ActionPolicy
from badgerroute.coordination.leadership.leader_election import LeaderElection, Leadership
from badgerroute.coordination.membership.connectivity_monitor import ConnectivityMonitor
from badgerroute.coordination.membership.forwarding import FIRST_NUMBERS, RequestForwarder
from badgerroute.coordination.membership.leadership_transfer import LeadershipTransfer
from badgerroute.coordination.membership.mesh import Mesh
from badgerroute.coordination.membership.peers import Peers
from badgerroute.coordination.quotas.quota_allocator import QuotaAllocator
from badgerroute.coordination.requests.heartbeat_handler import HeartbeatHandler
from badgerroute.coordination.requests.http_api import HttpApi
from badgerroute.coordination.requests.job_request_handler import JobRequestHandler
from badgerroute.coordination.requests.job_service import JobService
from badgerroute.coordination.requests.mesh_dispatcher import MeshDispatcher
from badgerroute.coordination.requests.shard_requests import ShardRequests
from badgerroute.coordination.shards.forecast import JobForecast
from badgerroute.coordination.shards.leader_context import (
    JobAccess,
    LeaderContext,
    LeadershipAccess,
    MachineAccess,
    PeerRequests,
)
from badgerroute.coordination.shards.progress_flusher import ProgressFlusher
from badgerroute.coordination.shards.shard_leaders import LeaderLifecycle, ShardLeaders
from badgerroute.coordination.shards.shard_storage import ShardStorage
from badgerroute.protocol import mesh as mesh_wire
from badgerroute.protocol.key_value import Compare
from badgerroute.scheduling.guidance import NEUTRAL, Guidance
from badgerroute.settings import Settings
from badgerroute.storage import records
from badgerroute.storage.cloud_client import CloudClient
from badgerroute.storage.key_value_client import KeyValueClient
from badgerroute.storage.replica import DONE, JOBS, MACHINES, TOMBSTONES, Replica
from badgerroute.transport.http import Server
from badgerroute.transport.loop import Future, Loop, Semaphore, TaskGroup
from badgerroute.transport.net import Network

log = logging.getLogger(__name__)
GOSSIP = timedelta(milliseconds=500)
SLICE_PAUSE = timedelta(milliseconds=25)  # between two slices of what takes more than a round
RESERVED_SOCKETS = 48  # for the key-value store, the cloud and the mesh
MAX_DIRECT_COMMANDS = 128  # commands on their way to workers, each with a connection of its own
SOCKETS_PER_DIRECT_COMMAND = 32  # where there are sockets for thousands of machines, more go out at once


class Controller:
    """One controller process: its subsystems are built here, and running until it is killed."""

    def __init__(
        self,
        settings: Settings,
        loop: Loop,
        network: Network,
        group: TaskGroup,
        guidance: Callable[[int], Guidance] = lambda shard: NEUTRAL,
    ) -> None:
        self.settings, self._loop, self._network, self._group = settings, loop, network, group
        params = settings.params
        self.store = KeyValueClient(loop, network, settings.platform.endpoints.state, params.state, params.size)
        self.cloud = CloudClient(loop, network, settings.platform.endpoints.cloud, params.cloud, params.size)
        self.replica = Replica(loop, self.store)
        self.mesh = Mesh(settings, loop, network, group, lambda message: self.mesh_dispatcher.receive(message))
        self.election = LeaderElection(
            settings, loop, self.store, self.replica, self._on_elected, self._on_deposed, self._campaign_permission
        )
        self.policy = ActionPolicy(self.election, lambda: self.monitor.mode)
        hosts = [peer.host_name for peer in settings.platform.peers]
        self.cancellation_broadcast = CancellationBroadcast(
            loop, settings.platform.host_name, hosts, self.mesh.send, params.workers.cancel
        )
        self.machine_catalog = MachineCatalog(loop, self.cloud, self.store, self.replica, self.election)
        self.catalog = self.machine_catalog.types
        self.leaders = ShardLeaders(group)
        self.peers = Peers(settings, loop, self.election, self.leaders)
        self.monitor = ConnectivityMonitor(
            settings=settings,
            loop=loop,
            network=network,
            replica=self.replica,
            election=self.election,
            peers=self.peers,
            leaders=self.leaders,
            sample=random.Random(settings.platform.host_name).sample,
        )
        self.forwarder = RequestForwarder(
            loop=loop,
            group=group,
            host=settings.platform.host_name,
            most=settings.operator.connectivity.relays_at_once,
            first_number=random.SystemRandom().randrange(FIRST_NUMBERS),
            send=self.mesh.send,
            handle=lambda request, relay: self.api.handle_forwarded(request, relay),
        )
        self.requests = ShardRequests(
            loop=loop,
            group=group,
            election=self.election,
            policy=self.policy,
            peers=self.peers,
            mesh=self.mesh,
            leaders=self.leaders,
        )
        self.leadership_transfer = LeadershipTransfer(
            settings=settings,
            loop=loop,
            election=self.election,
            policy=self.policy,
            peers=self.peers,
            monitor=self.monitor,
            leaders=self.leaders,
        )
        self.job_store = JobStore(
            self.replica, self._push, self.leaders.job_changed, self.cancellation_broadcast.learned
        )
        self.job_reader = JobReader(loop, self.store, self.replica, self.job_store)
        self.pager = RecordPager(self.store, self.replica, self.job_store, self.catalog)
        self.job_writer = JobWriter(loop, self.store, self.replica, self.job_store, self.job_reader, self.pager)
        self.quota_allocator = QuotaAllocator(
            settings, loop, self.store, self.replica, self._push, self._leadership_condition
        )
        self.dependency_resolver = DependencyResolver(
            loop=loop,
            store=self.store,
            replica=self.replica,
            job_store=self.job_store,
            job_reader=self.job_reader,
            owned=lambda shard: shard in self.election.leaderships,
            tidies=lambda: self.election.autoscaler_term is not None and self.policy.allows(Action.CLEAN_UP),
            turn=settings.home,
        )
        self.autoscaler = Autoscaler(
            settings=settings,
            loop=loop,
            group=group,
            cloud=self.cloud,
            election=self.election,
            policy=self.policy,
            replica=self.replica,
            catalog=self.catalog,
            summaries=self.peers.summaries,
            on_deleted=self._on_machines_deleted,
        )
        self.forecast = JobForecast(
            settings=settings,
            loop=loop,
            job_store=self.job_store,
            replica=self.replica,
            catalog=self.catalog,
            leaders=self.leaders,
            summaries=self.peers.summaries,
        )
        self.progress_flusher = ProgressFlusher(
            loop=loop,
            leaders=self.leaders,
            job_store=self.job_store,
            job_writer=self.job_writer,
            forecast=self.forecast,
            leadership_check=self._leadership_condition,
        )
        self.scale_in = ScaleIn(
            settings, loop, self.policy, self.job_store, self.catalog, self.leaders, self.autoscaler.delete
        )
        self.job_service = JobService(
            params=params,
            job_store=self.job_store,
            job_reader=self.job_reader,
            job_writer=self.job_writer,
            pager=self.pager,
            replica=self.replica,
            catalog=self.catalog,
            summaries=self.peers.summaries,
            running=self.peers.running,
        )
        self.tombstones = MachineTombstones(settings.operator.fleet.most_machines)
        self.heartbeat_handler = HeartbeatHandler(
            settings=settings,
            loop=loop,
            replica=self.replica,
            policy=self.policy,
            leaders=self.leaders,
            peers=self.peers,
            mesh=self.mesh,
            monitor=self.monitor,
            forwarder=self.forwarder,
            tombstones=self.tombstones,
        )
        self.mesh_dispatcher = MeshDispatcher(
            settings=settings,
            group=group,
            replica=self.replica,
            election=self.election,
            peers=self.peers,
            requests=self.requests,
            leadership_transfer=self.leadership_transfer,
            forwarder=self.forwarder,
            job_store=self.job_store,
            cancellation_broadcast=self.cancellation_broadcast,
            mesh=self.mesh,
        )
        job_request_handler = JobRequestHandler(
            settings=settings,
            policy=self.policy,
            store=self.store,
            peers=self.peers,
            job_service=self.job_service,
            forwarder=self.forwarder,
        )
        self.api = HttpApi(self.replica, self.monitor, self.heartbeat_handler, job_request_handler)
        sockets = params.resources.fd_limit
        direct = min(max(MAX_DIRECT_COMMANDS, sockets // SOCKETS_PER_DIRECT_COMMAND), max(4, sockets // 8))
        self._semaphore = Semaphore(direct)
        self._server = Server(
            loop, group, self.api.handle, max(16, sockets - direct - RESERVED_SOCKETS - 8 * params.size)
        )
        context = LeaderContext(
            settings=settings,
            loop=loop,
            group=group,
            storage=ShardStorage(self.store, self.replica, self._push),
            leadership=LeadershipAccess(self.election, self.policy, self.monitor.resumed_at),
            jobs=JobAccess(
                job_store=self.job_store,
                job_reader=self.job_reader,
                pager=self.pager,
                quota_allocator=self.quota_allocator,
                progressed=self.progress_flusher.progressed,
            ),
            machines=MachineAccess(
                network=network,
                semaphore=self._semaphore,
                catalog=self.catalog,
                delete_machines=self.autoscaler.delete,
            ),
            peer_requests=PeerRequests(self.requests.request_quota, self.requests.request_machines),
            guidance=guidance,
        )
        self._leader_lifecycle = LeaderLifecycle(self.leaders, context, self.autoscaler.cancel_deletion)
        self.replica.listen(DONE, self.leaders.done_page_changed)
        self.replica.listen(JOBS, self.leaders.job_record_changed)
        self.replica.listen(MACHINES, self.leaders.machine_record_changed)
        self.replica.listen(TOMBSTONES, self._tombstones_changed)

    # -- life

    async def run(self) -> None:
        """Listen, start every background task, and run until it is cancelled."""
        log.info("event=controller_started host=%s home_shard=%d", self.settings.platform.host_name, self.settings.home)
        listener = self._network.listen(self.settings.platform.public_addr)
        self._group.spawn(self._server.serve(listener), "serve")
        self.mesh.start()
        second = timedelta(seconds=1)
        for make, name in (
            (self.replica.run, "replica"),
            (self.replica.answer_readers, "reads"),
            (self.election.run, "claims"),
            (self.machine_catalog.run, "catalog"),
            (self._run_gossip, "gossip"),
            (self.progress_flusher.run, "flush"),
            (self._run_forecast, "forecast"),
            (self.requests.run_stealing, "steal"),
            (self.leadership_transfer.run, "hand-over"),
            (self.autoscaler.run_scale_out, "rent"),
            (self.autoscaler.run_deletion, "delete"),
            (self.scale_in.run, "idle"),
            (self.monitor.run, "connectivity"),
            (self.monitor.probe, "probe"),
            (self.dependency_resolver.resolve, "resolve"),
            (self.dependency_resolver.cancel_downstream, "withdraw"),
            (self.dependency_resolver.tidy, "tidy"),
        ):
            self._group.run_forever(make, name, second)
        await Future()

    def _on_elected(self, shard: int, leadership: Leadership) -> None:
        self._leader_lifecycle.elected(shard, leadership)

    def _on_deposed(self, shard: int) -> None:
        self._leader_lifecycle.deposed(shard)

    def _leadership_condition(self, shard: int) -> Compare | None:
        return self.election.condition(shard) if shard in self.election.leaderships else None

    # -- what the watch says

    def _tombstones_changed(self, key: str, value: bytes | None, revision: int) -> None:
        if value is not None:
            self.tombstones.add(records.read(value, records.TombstoneRecord).names)

    def _on_machines_deleted(self, names: list[str]) -> None:
        self.tombstones.add(names)
        self.leaders.machines_deleted(names)

    # -- background tasks

    async def _run_gossip(self) -> None:
        while True:
            await self._loop.sleep(GOSSIP)
            self.store.divide_rates(self.peers.in_use())
            if self.election.lease is not None:
                self.mesh.broadcast(self._gossip())
            self.cancellation_broadcast.repeat()

    def _gossip(self) -> mesh_wire.Gossip:
        shards = [leader.summary() for leader in self.leaders.values() if leader.ready]
        return mesh_wire.Gossip(
            self.settings.platform.host_name,
            self.election.lease or 0,
            bool(self.catalog) and self.replica.ready.done,
            self.monitor.reaches_store(),
            not self.policy.allows(Action.RECEIVE_SHARD),
            shards,
            self.monitor.mode.value,
            list(self.peers.heard()),
            self.settings.operator.connectivity.relay,
        )

    async def _run_forecast(self) -> None:
        turns_left = 0
        while True:
            await self._loop.sleep(GOSSIP)
            if turns_left == 0:
                turns_left = await self._inherit()
            turns_left -= 1
            self.forecast.update()

    async def _inherit(self) -> int:
        """Work out what jobs take over from their dependents. The slices it took: as many turns until the next pass."""
        slices = 1
        while not self.forecast.inherit(self._round_over()):
            slices += 1
            await self._loop.sleep(SLICE_PAUSE)
        return slices

    def _round_over(self) -> Callable[[], bool]:
        """Tells when the time for a round of decisions that begins now is over."""
        deadline = self._loop.now() + self.settings.operator.scheduling.round
        return lambda: self._loop.now() > deadline

    def _campaign_permission(self) -> Permission:
        return self.policy.permission(Action.CAMPAIGN)

    # -- mesh

    def _push(self, key: str, value: bytes | None, revision: int) -> None:
        self.mesh.broadcast(mesh_wire.Push(key, revision, value))
