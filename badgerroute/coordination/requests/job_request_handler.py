"""Answers users' requests if this controller reaches the key-value store, else forwards them to a peer that does."""

from dataclasses import dataclass
from datetime import timedelta

from badgerroute.connectivity.modes import Action, Permission
from badgerroute.coordination.leadership.action_policy import ActionPolicy
from badgerroute.coordination.membership.forwarding import RequestForwarder
from badgerroute.coordination.membership.peers import Peers
from badgerroute.coordination.requests.job_service import JobService
from badgerroute.coordination.requests.responses import method_not_allowed, store_unreachable
from badgerroute.settings import Settings
from badgerroute.storage.key_value_client import KeyValueClient
from badgerroute.transport.http import Request, Response

JOBS_PATH = "/v1/jobs"
HTTP_SERVICE_UNAVAILABLE = 503
# A user's poll times out after 2 s. If the peer has not responded to a forwarded request after this shorter time, this
# controller can still answer the user itself.
FORWARD_TIMEOUT = timedelta(milliseconds=1200)


@dataclass(frozen=True, slots=True)
class Operation:
    """The HTTP method that a path requires, and the action for which the request needs permission."""

    method: str
    action: Action


class JobRequestHandler:
    """Answers or forwards users' requests. A request that a peer forwarded is never forwarded again."""

    def __init__(
        self,
        settings: Settings,
        policy: ActionPolicy,
        store: KeyValueClient,
        peers: Peers,
        job_service: JobService,
        forwarder: RequestForwarder,
    ) -> None:
        self._policy, self._store, self._peers = policy, store, peers
        self._job_service, self._forwarder = job_service, forwarder
        self._host = settings.platform.host_name
        self._forwarding_enabled = settings.operator.connectivity.relay

    async def handle(self, request: Request, relay: str | None = None) -> Response:
        """Answer a submission, a poll or a cancellation.

        `relay` is the peer that forwarded the request, or None if it came directly from a user.
        """
        ref, _, verb = request.path.removeprefix(JOBS_PATH).strip("/").partition("/")
        operation = self._operation(ref, verb)
        if request.method != operation.method:
            return method_not_allowed()
        action = operation.action
        permission = self._policy.permission(action)
        if permission is Permission.ALLOWED:
            response = await self._answer(request, ref, action)
            if response.status == HTTP_SERVICE_UNAVAILABLE and self._store.failed_recently() and relay is None:
                return await self._forward(request) or response
            return response
        if permission is Permission.FROM_MEMORY:
            response_from_memory = self._job_service.poll_from_memory(ref)
            if response_from_memory is not None:
                return response_from_memory
        forwarded = await self._forward(request) if relay is None else None
        return forwarded or store_unreachable()

    @staticmethod
    def _operation(ref: str, verb: str) -> Operation:
        if not ref:
            return Operation("POST", Action.ACCEPT)
        return Operation("POST", Action.CANCEL) if verb else Operation("GET", Action.ANSWER_POLL)

    async def _answer(self, request: Request, ref: str, action: Action) -> Response:
        match action:
            case Action.ACCEPT:
                return await self._job_service.submit(request)
            case Action.CANCEL:
                return await self._job_service.cancel(ref)
        return await self._job_service.poll(ref)

    async def _forward(self, request: Request) -> Response | None:
        """Forward a request to a peer that reaches the key-value store, and return the response.

        Returns None if there is no such peer, or if the peer did not respond or could not decide the request either.
        """
        if not self._forwarding_enabled:
            return None
        candidates = [
            peer
            for peer in self._peers.reachable().values()
            if peer.gossip.ready and peer.gossip.store_reachable and peer.accepts_forwarded_from(self._host)
        ]
        if not candidates:
            return None
        target = min(candidates, key=lambda peer: (peer.gossip.isolated, len(peer.gossip.shards)))
        response = await self._forwarder.forward(target.gossip.host, request, FORWARD_TIMEOUT)
        return response if response is not None and response.status != HTTP_SERVICE_UNAVAILABLE else None
