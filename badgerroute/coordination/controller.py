"""One controller: its background tasks, and who answers what."""

import logging
import random
from collections.abc import Callable
from datetime import timedelta

from badgerroute.connectivity.damping import FlapDamping
from badgerroute.connectivity.mode_machine import ModeMachine
from badgerroute.connectivity.modes import Action
from badgerroute.coordination.autoscaling.autoscaler_authority import AutoscalerAuthority
from badgerroute.coordination.autoscaling.catalog import MachineCatalog
from badgerroute.coordination.autoscaling.deletion_recorder import DeletionRecorder
from badgerroute.coordination.autoscaling.machine_deletion import MachineDeletionQueue
from badgerroute.coordination.autoscaling.machine_inventory import MachineInventory, max_list_age
from badgerroute.coordination.autoscaling.machine_ownership import MachineOwnership
from badgerroute.coordination.autoscaling.machine_tombstones import MachineTombstones
from badgerroute.coordination.autoscaling.pending_machines import PendingMachines
from badgerroute.coordination.autoscaling.scale_in import ScaleIn
from badgerroute.coordination.autoscaling.scale_out import ScaleOut
from badgerroute.coordination.jobs.cancellation_broadcast import CancellationBroadcast
from badgerroute.coordination.jobs.downstream_cancellation import DownstreamCancellation
from badgerroute.coordination.jobs.job_listeners import JobChangeNotifier
from badgerroute.coordination.jobs.job_reader import JobReader
from badgerroute.coordination.jobs.job_store import JobStore
from badgerroute.coordination.jobs.job_writer import JobWriter
from badgerroute.coordination.jobs.page_garbage_collector import PageGarbageCollector
from badgerroute.coordination.jobs.peer_messaging import ChangeBroadcast
from badgerroute.coordination.jobs.progress_writer import ProgressWriter
from badgerroute.coordination.jobs.record_paging import RecordPager
from badgerroute.coordination.jobs.upstream_resolver import UpstreamResolver
from badgerroute.coordination.leadership.action_policy import ActionPolicy
from badgerroute.coordination.leadership.autoscaler_election import AutoscalerElection
from badgerroute.coordination.leadership.leader_election import LeaderElection
from badgerroute.coordination.leadership.leader_records import LeaderRecords
from badgerroute.coordination.leadership.leadership_state import Leadership, LeadershipState
from badgerroute.coordination.leadership.lease_keeper import LeaseKeeper
from badgerroute.coordination.leadership.shard_transfer import ShardTransfer
from badgerroute.coordination.membership.connectivity_monitor import ConnectivityMonitor
from badgerroute.coordination.membership.forwarding import FIRST_NUMBER_RANGE, RequestForwarder
from badgerroute.coordination.membership.leadership_transfer import LeadershipTransfer
from badgerroute.coordination.membership.mesh import Mesh
from badgerroute.coordination.membership.peers import Peers
from badgerroute.coordination.membership.worker_prober import WorkerProber
from badgerroute.coordination.quotas.quota_allocator import QuotaAllocator
from badgerroute.coordination.quotas.quota_store import QuotaStore
from badgerroute.coordination.requests.admission import AdmissionControl
from badgerroute.coordination.requests.heartbeat_handler import HeartbeatHandler
from badgerroute.coordination.requests.http_api import HttpApi
from badgerroute.coordination.requests.job_request_handler import JobRequestHandler
from badgerroute.coordination.requests.job_service import JobService
from badgerroute.coordination.requests.mesh_dispatcher import MeshDispatcher
from badgerroute.coordination.requests.shard_requests import ShardRequests
from badgerroute.coordination.shards.forecast import JobForecast
from badgerroute.coordination.shards.leader_context import LeaderContext
from badgerroute.coordination.shards.progress_flusher import ProgressFlusher
from badgerroute.coordination.shards.shard_leader import ShardLeader
from badgerroute.protocol import mesh as mesh_wire
from badgerroute.protocol.key_value import Compare
from badgerroute.scheduling.guidance import NEUTRAL, Guidance
from badgerroute.settings import Settings
from badgerroute.storage import records
from badgerroute.storage.cloud_client import CloudClient
from badgerroute.storage.key_value_client import KeyValueClient
from badgerroute.storage.keys import DONE, JOBS, MACHINES, TOMBSTONES
from badgerroute.storage.replica import Replica
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
        self.mesh = Mesh(settings, loop, network, group)
        self.leadership_state = LeadershipState(settings, loop, self.replica)
        self.leadership_state.register(self)
        self.leader_records = LeaderRecords(self.store, self.replica)
        self.mode_machine = ModeMachine(FlapDamping.from_settings(settings.operator.connectivity))
        self.policy = ActionPolicy(self.leadership_state, self.mode_machine)
        self.election = LeaderElection(
            settings=settings,
            loop=loop,
            replica=self.replica,
            leadership_state=self.leadership_state,
            leader_records=self.leader_records,
            lease_keeper=LeaseKeeper(settings, loop, self.store, self.leadership_state),
            autoscaler_election=AutoscalerElection(
                self.store, self.replica, self.leadership_state, settings.platform.host_name
            ),
            policy=self.policy,
        )
        self.shard_transfer = ShardTransfer(self.leadership_state, self.leader_records)
        hosts = [peer.host_name for peer in settings.platform.peers]
        self.cancellation_broadcast = CancellationBroadcast(
            loop, settings.platform.host_name, hosts, self.mesh, params.workers.cancel
        )
        self.machine_catalog = MachineCatalog(loop, self.cloud, self.store, self.replica, self.leadership_state)
        self.catalog = self.machine_catalog.types
        self.leaders: dict[int, ShardLeader] = {}
        self.peers = Peers(settings, loop, self.leader_records, self.leaders)
        self.monitor = ConnectivityMonitor(
            settings=settings,
            loop=loop,
            leadership_state=self.leadership_state,
            mode_machine=self.mode_machine,
            peers=self.peers,
            leaders=self.leaders,
        )
        self.worker_prober = WorkerProber(
            loop=loop,
            network=network,
            replica=self.replica,
            worker_link=self.monitor.worker_link,
            damping=self.mode_machine.damping,
            sample=random.Random(settings.platform.host_name).sample,
        )
        self.forwarder = RequestForwarder(
            loop=loop,
            group=group,
            host=settings.platform.host_name,
            max_concurrent=settings.operator.connectivity.relays_at_once,
            first_number=random.SystemRandom().randrange(FIRST_NUMBER_RANGE),
            send=self.mesh.send,
        )
        self.requests = ShardRequests(
            loop=loop,
            group=group,
            leader_records=self.leader_records,
            policy=self.policy,
            peers=self.peers,
            mesh=self.mesh,
            leaders=self.leaders,
        )
        self.leadership_transfer = LeadershipTransfer(
            settings=settings,
            loop=loop,
            leadership_state=self.leadership_state,
            shard_transfer=self.shard_transfer,
            policy=self.policy,
            peers=self.peers,
            monitor=self.monitor,
            leaders=self.leaders,
        )
        self.change_broadcast = ChangeBroadcast(self.mesh)
        self.job_store = JobStore(
            self.replica, self.change_broadcast, JobChangeNotifier(self.leaders), self.cancellation_broadcast
        )
        self.job_reader = JobReader(loop, self.store, self.replica, self.job_store)
        self.pager = RecordPager(self.store, self.replica, self.job_store, self.catalog)
        self.job_writer = JobWriter(
            loop=loop,
            store=self.store,
            replica=self.replica,
            job_store=self.job_store,
            reader=self.job_reader,
            pager=self.pager,
        )
        self.progress_writer = ProgressWriter(
            loop=loop,
            store=self.store,
            replica=self.replica,
            job_store=self.job_store,
            reader=self.job_reader,
            pager=self.pager,
        )
        quota_store = QuotaStore(loop, self.store, self.replica, self.change_broadcast)
        self.quota_allocator = QuotaAllocator(settings, loop, quota_store, self.leadership_state)
        self.upstream_resolver = UpstreamResolver(loop, self.job_store, self.job_reader)
        self.downstream_cancellation = DownstreamCancellation(
            loop=loop,
            store=self.store,
            replica=self.replica,
            job_store=self.job_store,
            leadership_state=self.leadership_state,
            home_shard=settings.home,
        )
        self.autoscaler_authority = AutoscalerAuthority(self.leadership_state, self.policy)
        self.page_garbage_collector = PageGarbageCollector(
            loop=loop,
            store=self.store,
            replica=self.replica,
            job_store=self.job_store,
            job_reader=self.job_reader,
            permission=self.autoscaler_authority,
        )
        self.tombstones = MachineTombstones(settings.operator.fleet.most_machines)
        machine_ownership = MachineOwnership(self.replica, self.leadership_state)
        pending_machines = PendingMachines(loop, self.catalog, max_list_age(settings))
        self.deletion_queue = MachineDeletionQueue(
            loop=loop,
            cloud=self.cloud,
            policy=self.policy,
            ownership=machine_ownership,
            listeners=[pending_machines, DeletionRecorder(self.tombstones, self.leaders, group)],
        )
        self.scale_out = ScaleOut(
            settings=settings,
            loop=loop,
            cloud=self.cloud,
            leadership_state=self.leadership_state,
            authority=self.autoscaler_authority,
            ownership=machine_ownership,
            catalog=self.catalog,
            summary_source=self.peers,
            pending=pending_machines,
            inventory=MachineInventory(
                settings=settings,
                loop=loop,
                cloud=self.cloud,
                ownership=machine_ownership,
                pending=pending_machines,
                deletion_queue=self.deletion_queue,
            ),
        )
        self.forecast = JobForecast(
            settings, loop, self.job_store, self.replica, self.catalog, self.leaders, self.peers.summaries
        )
        self.progress_flusher = ProgressFlusher(
            loop, self.leaders, self.job_store, self.progress_writer, self.forecast, self._leadership_condition
        )
        self.scale_in = ScaleIn(
            settings=settings,
            loop=loop,
            policy=self.policy,
            job_store=self.job_store,
            catalog=self.catalog,
            leaders=self.leaders,
            deletion_queue=self.deletion_queue,
        )
        admission = AdmissionControl(params.teams, self.catalog, self.pager)
        self.job_service = JobService(
            shard_count=params.size,
            job_store=self.job_store,
            job_reader=self.job_reader,
            job_writer=self.job_writer,
            admission=admission,
            replica=self.replica,
            catalog=self.catalog,
            summaries=self.peers.summaries,
            running=self.peers.running,
        )
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
        job_request_handler = JobRequestHandler(
            settings=settings,
            policy=self.policy,
            store=self.store,
            peers=self.peers,
            job_service=self.job_service,
            forwarder=self.forwarder,
        )
        self.api = HttpApi(self.replica, self.monitor, self.heartbeat_handler, job_request_handler)
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
            api=self.api,
        )
        sockets = params.resources.fd_limit
        direct = min(max(MAX_DIRECT_COMMANDS, sockets // SOCKETS_PER_DIRECT_COMMAND), max(4, sockets // 8))
        self._semaphore = Semaphore(direct)
        self._server = Server(
            loop, group, self.api.handle, max(16, sockets - direct - RESERVED_SOCKETS - 8 * params.size)
        )
        self._context = LeaderContext(
            settings=settings,
            loop=loop,
            network=network,
            group=group,
            semaphore=self._semaphore,
            store=self.store,
            replica=self.replica,
            leadership_state=self.leadership_state,
            election=self.election,
            policy=self.policy,
            resumed_at=self.monitor.resumed_at,
            job_store=self.job_store,
            job_reader=self.job_reader,
            pager=self.pager,
            quota_allocator=self.quota_allocator,
            catalog=self.catalog,
            publish=self._push,
            guidance=guidance,
            progressed=self.progress_flusher.progressed,
            delete_machines=self.deletion_queue.delete,
            request_quota=self.requests.request_quota,
            request_machines=self.requests.request_machines,
        )
        self.replica.listen(DONE, self._page_changed)
        self.replica.listen(JOBS, self._job_changed)
        self.replica.listen(MACHINES, self._machine_changed)
        self.replica.listen(TOMBSTONES, self._tombstones_changed)

    # -- life

    async def run(self) -> None:
        """Listen, start every background task, and run until it is cancelled."""
        log.info("event=controller_started host=%s home_shard=%d", self.settings.platform.host_name, self.settings.home)
        listener = self._network.listen(self.settings.platform.public_addr)
        self._group.spawn(self._server.serve(listener), "serve")
        self.mesh.start(self.mesh_dispatcher.receive)
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
            (self.scale_out.run, "rent"),
            (self.deletion_queue.run, "delete"),
            (self.scale_in.run, "idle"),
            (self.monitor.run, "connectivity"),
            (self.worker_prober.run, "probe"),
            (self.upstream_resolver.run, "resolve"),
            (self.downstream_cancellation.run, "withdraw"),
            (self.page_garbage_collector.run, "tidy"),
        ):
            self._group.run_forever(make, name, second)
        await Future()

    def elected(self, shard: int, leadership: Leadership) -> None:
        """Start acting for a shard."""
        leader = ShardLeader(shard, leadership, self._context)
        self.leaders[shard] = leader
        leader.start()

    def deposed(self, shard: int) -> None:
        """Stop acting for a shard."""
        leader = self.leaders.pop(shard, None)
        if leader is not None:
            log.info("event=shard_released shard=%d", shard)
            self.deletion_queue.cancel(leader.shard.machines)
            leader.close()

    def _leadership_condition(self, shard: int) -> Compare | None:
        return self.leadership_state.condition(shard) if shard in self.leadership_state.leaderships else None

    # -- what the watch says

    def _job_changed(self, key: str, value: bytes | None, revision: int) -> None:
        self._notify_leaders(key.removeprefix(JOBS))

    def _page_changed(self, key: str, value: bytes | None, revision: int) -> None:
        self._notify_leaders(key.removeprefix(DONE).rpartition("/")[0])

    def _notify_leaders(self, ref: str) -> None:
        for leader in self.leaders.values():
            if leader.ready:
                leader.job_changed(ref)

    def _machine_changed(self, key: str, value: bytes | None, revision: int) -> None:
        for leader in self.leaders.values():
            if leader.ready:
                leader.machine_changed(key.removeprefix(MACHINES), value)

    def _tombstones_changed(self, key: str, value: bytes | None, revision: int) -> None:
        if value is not None:
            self.tombstones.add(records.read(value, records.TombstoneRecord).names)

    # -- background tasks

    async def _run_gossip(self) -> None:
        while True:
            await self._loop.sleep(GOSSIP)
            self.store.divide_rates(self.peers.store_clients())
            if self.leadership_state.lease is not None:
                self.mesh.broadcast(self._gossip())
            self.cancellation_broadcast.resend()

    def _gossip(self) -> mesh_wire.Gossip:
        shards = [leader.summary() for leader in self.leaders.values() if leader.ready]
        return mesh_wire.Gossip(
            self.settings.platform.host_name,
            self.leadership_state.lease or 0,
            bool(self.catalog) and self.replica.ready.done,
            self.monitor.reaches_store(),
            not self.policy.allows(Action.RECEIVE_SHARD),
            shards,
            self.monitor.mode.value,
            list(self.peers.reachable()),
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

    # -- mesh

    def _push(self, key: str, value: bytes | None, revision: int) -> None:
        self.mesh.broadcast(mesh_wire.Push(key, revision, value))
