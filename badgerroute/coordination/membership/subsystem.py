"""Builds the components that connect this controller to its peers and transfer shards to them."""

import random
from dataclasses import dataclass

from badgerroute.coordination.leadership.subsystem import LeadershipSubsystem
from badgerroute.coordination.membership.connectivity_monitor import ConnectivityMonitor
from badgerroute.coordination.membership.forwarding import FIRST_REQUEST_NUMBER_RANGE, RequestForwarder
from badgerroute.coordination.membership.leadership_transfer import LeadershipTransfer
from badgerroute.coordination.membership.mesh import Mesh
from badgerroute.coordination.membership.peers import Peers
from badgerroute.coordination.membership.worker_prober import WorkerProber
from badgerroute.coordination.shards.shard_leaders import ShardLeaders
from badgerroute.settings import Settings
from badgerroute.storage.replica import Replica
from badgerroute.transport.loop import Loop, TaskGroup
from badgerroute.transport.net import Network


@dataclass(frozen=True, slots=True)
class MembershipSubsystem:
    """The mesh, the peers, the connectivity monitor, request forwarding, and leadership transfer."""

    mesh: Mesh
    peers: Peers
    monitor: ConnectivityMonitor
    worker_prober: WorkerProber
    forwarder: RequestForwarder
    leadership_transfer: LeadershipTransfer


def build_membership(
    *,
    settings: Settings,
    loop: Loop,
    network: Network,
    group: TaskGroup,
    replica: Replica,
    leadership: LeadershipSubsystem,
    leaders: ShardLeaders,
) -> MembershipSubsystem:
    """Build the components. Nothing is sent or received before `Mesh.start`."""
    host = settings.platform.host_name
    mesh = Mesh(settings, loop, network, group)
    peers = Peers(settings, loop, leadership.records, leaders)
    monitor = ConnectivityMonitor(
        settings=settings,
        loop=loop,
        leadership_state=leadership.state,
        mode_machine=leadership.mode_machine,
        peers=peers,
        leaders=leaders,
    )
    worker_prober = WorkerProber(
        loop=loop,
        network=network,
        replica=replica,
        worker_link=monitor.worker_link,
        damping=leadership.mode_machine.damping,
        sample=random.Random(host).sample,
    )
    forwarder = RequestForwarder(
        loop=loop,
        group=group,
        host=host,
        max_concurrent=settings.operator.connectivity.relays_at_once,
        first_request_number=random.SystemRandom().randrange(FIRST_REQUEST_NUMBER_RANGE),
        send=mesh.send,
    )
    leadership_transfer = LeadershipTransfer(
        settings=settings,
        loop=loop,
        leadership_state=leadership.state,
        shard_transfer=leadership.shard_transfer,
        policy=leadership.policy,
        peers=peers,
        monitor=monitor,
        leaders=leaders,
    )
    return MembershipSubsystem(mesh, peers, monitor, worker_prober, forwarder, leadership_transfer)
