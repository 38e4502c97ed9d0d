"""Handles heartbeats of workers.

A heartbeat is answered if this controller leads the machine's shard. Otherwise it is relayed to the leader, or the
worker is redirected to the leader.
"""

import zlib
from datetime import timedelta

from badgerroute.connectivity.modes import Action, Mode
from badgerroute.connectivity.relay_routes import RelayRoutes, Route
from badgerroute.coordination.autoscaling.machine_tombstones import MachineTombstones
from badgerroute.coordination.leadership.action_policy import ActionPolicy
from badgerroute.coordination.membership.connectivity_monitor import ConnectivityMonitor
from badgerroute.coordination.membership.forwarding import RequestForwarder
from badgerroute.coordination.membership.mesh import Mesh
from badgerroute.coordination.membership.peers import Peer, Peers
from badgerroute.coordination.requests.responses import answer, error, retry_later
from badgerroute.coordination.shards.heartbeat_responder import HeartbeatRefusal
from badgerroute.coordination.shards.shard_leader import ShardLeader
from badgerroute.protocol.common import MalformedError
from badgerroute.protocol.mesh import MisroutedHeartbeat
from badgerroute.protocol.workers import Heartbeat, Redirect, parse_heartbeat
from badgerroute.settings import Settings
from badgerroute.storage import records
from badgerroute.storage.keys import MACHINES
from badgerroute.storage.replica import Replica
from badgerroute.transport.http import Request, Response
from badgerroute.transport.loop import Loop

HTTP_OK = 200
# A worker waits 4 s for a response and ignores later ones. If the leader has not responded to a relayed heartbeat after
# this shorter time, this controller can still answer the worker itself.
RELAY_TIMEOUT = timedelta(milliseconds=1500)


class HeartbeatHandler:
    """Answers, relays or redirects heartbeats.

    `tombstones` contains the deleted machines, whose heartbeats can only be delayed duplicates.
    """

    def __init__(
        self,
        settings: Settings,
        loop: Loop,
        replica: Replica,
        policy: ActionPolicy,
        leaders: dict[int, ShardLeader],
        peers: Peers,
        mesh: Mesh,
        monitor: ConnectivityMonitor,
        forwarder: RequestForwarder,
        tombstones: MachineTombstones,
    ) -> None:
        self._settings, self._loop, self._replica, self._policy = settings, loop, replica, policy
        self._leaders, self._peers, self._mesh = leaders, peers, mesh
        self._monitor, self._worker_link, self._forwarder = monitor, monitor.worker_link, forwarder
        self._tombstones = tombstones
        self._host = settings.platform.host_name
        self._relaying_enabled = settings.operator.connectivity.relay
        self.relay_routes = RelayRoutes()
        self.relayed_heartbeats = 0  # number of heartbeats answered with a response that was relayed from the leader

    async def handle(self, request: Request, relay: str | None = None) -> Response:
        """Answer a heartbeat. `relay` is the peer that forwarded it, or None if it came directly from the worker."""
        try:
            heartbeat = parse_heartbeat(request.body)
        except MalformedError as problem:
            return error(400, str(problem))
        if relay is None and not self._leaders:
            self._worker_link.record_machine_reached(self._loop.now())
        if heartbeat.machine in self._tombstones:
            return retry_later("this machine was deleted")  # a delayed duplicate, so its content is ignored
        shard = self._shard_of(heartbeat.machine)
        leader = self._leaders.get(shard)
        if leader is not None:
            return await self._answer(leader, heartbeat, relay)
        if relay is not None:
            return retry_later("not the owner")  # a heartbeat that a peer forwarded is not forwarded again
        return await self._answer_for_other_shard(request, heartbeat, shard)

    async def _answer(self, leader: ShardLeader, heartbeat: Heartbeat, relay: str | None) -> Response:
        if not leader.ready or not self._policy.allows_for(leader.number, Action.ANSWER_HEARTBEAT):
            return retry_later("not acting for this machine now")
        if relay is not None and leader.heartbeat_overdue(heartbeat.machine):
            self._worker_link.record_peer_heartbeat(
                leader.number, heartbeat.machine, relay, self._loop.now(), relayed=True
            )
        result = await leader.answer_heartbeat(heartbeat, relay is not None)
        if isinstance(result, HeartbeatRefusal):
            return retry_later("can't act on this report now")
        return answer(200, result)

    async def _answer_for_other_shard(self, request: Request, heartbeat: Heartbeat, shard: int) -> Response:
        host = self._peers.leader_host(shard)
        if host is None or host == self._host:
            return answer(421, Redirect())
        peer = self._peers.reachable_peer(host)
        leader_lacks_workers = self._leader_lacks_workers(peer, shard)
        relayed_response = await self._relay(request, heartbeat, peer, leader_lacks_workers)
        if relayed_response is not None:
            return relayed_response
        if leader_lacks_workers:
            # If the worker were redirected to the leader, its request would time out again, and its lease could expire
            # meanwhile.
            self._mesh.send(host, MisroutedHeartbeat(shard, heartbeat.machine, self._host))
            return retry_later("its owner does not hear its workers")
        return answer(421, Redirect(host))

    async def _relay(
        self, request: Request, heartbeat: Heartbeat, peer: Peer | None, leader_lacks_workers: bool
    ) -> Response | None:
        """Relay a heartbeat to the leader of the machine's shard and return the leader's response.

        Returns None if the heartbeat is not to be relayed, or the leader did not answer it. Relaying is safe, because
        the leader itself chooses the commands in its response, which carries the leader's term as the fencing token.
        The worker accepts the response only while it waits for the response to this heartbeat; see docs/safety.md.
        """
        if not self._relaying_enabled or peer is None or not peer.accepts_forwarded_from(self._host):
            return None
        host, has_tasks = peer.gossip.host, bool(heartbeat.tasks)
        route = self.relay_routes.decide(heartbeat.machine, host, leader_lacks_workers, has_tasks, self._loop.now())
        if route is not Route.RELAY:
            return None
        response = await self._forwarder.forward(host, request, RELAY_TIMEOUT)
        if response is None or response.status != HTTP_OK:
            return None
        self.relayed_heartbeats += 1
        return response

    def _leader_lacks_workers(self, peer: Peer | None, shard: int) -> bool:
        """Return whether a leader's mode, or else its shard's summary, says that the shard's workers cannot reach it.

        The modes WORKERS_UNREACHABLE and RECOVERING take precedence over the summary, which may still report silent
        workers for a while after the leader has recovered.
        """
        mode = None if peer is None else peer.mode
        if mode in (Mode.WORKERS_UNREACHABLE, Mode.RECOVERING):
            return mode is Mode.WORKERS_UNREACHABLE
        return any(summary.shard == shard and summary.workers_silent for summary in self._peers.summaries())

    def _shard_of(self, machine: str) -> int:
        value = self._replica.value(MACHINES + machine)
        if value is not None:
            return records.read(value, records.MachineRecord).shard
        # The machine is not a member yet. Consecutive numbers map to different shards, so that each shard gets a mix of
        # machine types and zones.
        digits = machine[len(machine.rstrip("0123456789")) :]
        number = int(digits) if digits else zlib.crc32(machine.encode())
        return number % self._settings.params.size
