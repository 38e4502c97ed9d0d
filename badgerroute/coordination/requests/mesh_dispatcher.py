"""Dispatches each message from a peer, by its type, to the object that handles it."""

from badgerroute.coordination.jobs.cancellation_broadcast import CancellationBroadcast
from badgerroute.coordination.jobs.job_store import JobStore
from badgerroute.coordination.leadership.leader_election import LeaderElection
from badgerroute.coordination.membership.forwarding import RequestForwarder
from badgerroute.coordination.membership.leadership_transfer import LeadershipTransfer
from badgerroute.coordination.membership.mesh import Mesh
from badgerroute.coordination.membership.peers import Peers
from badgerroute.coordination.requests.http_api import HttpApi
from badgerroute.coordination.requests.shard_requests import ShardRequests
from badgerroute.protocol import mesh as wire
from badgerroute.settings import Settings
from badgerroute.storage.replica import Replica
from badgerroute.transport.loop import TaskGroup


class MeshDispatcher:
    """Handles each message synchronously, or starts a background task for it."""

    def __init__(
        self,
        *,
        settings: Settings,
        group: TaskGroup,
        replica: Replica,
        election: LeaderElection,
        peers: Peers,
        shard_requests: ShardRequests,
        leadership_transfer: LeadershipTransfer,
        forwarder: RequestForwarder,
        job_store: JobStore,
        cancellation_broadcast: CancellationBroadcast,
        mesh: Mesh,
        api: HttpApi,
    ) -> None:
        self._host, self._group, self._mesh, self._api = settings.platform.host_name, group, mesh, api
        self._replica, self._election, self._peers = replica, election, peers
        self._shard_requests, self._leadership_transfer, self._forwarder = (
            shard_requests,
            leadership_transfer,
            forwarder,
        )
        self._job_store, self._cancellation_broadcast = job_store, cancellation_broadcast

    def receive(self, message: wire.Message) -> None:
        """Handle one message from a peer."""
        match message:
            case wire.Gossip():
                self._on_gossip(message)
            case wire.Push():
                self._on_push(message)
            case wire.StealRequest():
                self._shard_requests.on_steal(message)
            case wire.QuotaRequest():
                self._shard_requests.grant_quota(message)
            case wire.MachineRequest():
                self._shard_requests.transfer_machines(message)
            case wire.MisroutedHeartbeat():
                self._group.spawn(self._leadership_transfer.on_misrouted_heartbeat(message), "misdirected")
            case wire.ForwardedRequest():
                self._forwarder.on_request(message, self._api.handle_forwarded)
            case wire.ForwardedResponse():
                self._forwarder.on_response(message)
            case wire.CancellationNotice():
                self._on_cancellation(message)
            case wire.CancellationAck():
                self._cancellation_broadcast.acknowledged(message.host, message.refs)

    def _on_gossip(self, message: wire.Gossip) -> None:
        self._peers.receive_gossip(message)
        for summary in message.shards:
            self._election.step_down_if_outranked(summary.shard, summary.term)

    def _on_push(self, message: wire.Push) -> None:
        if self._replica.ready.done:
            self._replica.apply_early(message.key, message.value, message.revision)

    def _on_cancellation(self, message: wire.CancellationNotice) -> None:
        """Apply cancellations synchronously, even if the key-value store is unreachable, and then acknowledge them."""
        refs = [ref for ref, _ in message.jobs]
        self._cancellation_broadcast.acknowledged(message.host, refs)
        if not self._replica.ready.done:
            return  # the peer gets no acknowledgement, so it resends the notice
        for ref, revision in message.jobs:
            self._job_store.learn_cancelled(ref, revision)
        self._cancellation_broadcast.acknowledged(message.host, refs)
        self._mesh.send(message.host, wire.CancellationAck(self._host, refs))
