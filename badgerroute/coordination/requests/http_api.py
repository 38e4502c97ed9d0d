"""Routes the HTTP requests of users, workers and the load balancer to their handlers, by path."""

from badgerroute.coordination.membership.connectivity_monitor import ConnectivityMonitor
from badgerroute.coordination.requests.heartbeat_handler import HeartbeatHandler
from badgerroute.coordination.requests.job_request_handler import JOBS_PATH, JobRequestHandler
from badgerroute.coordination.requests.responses import answer, error, method_not_allowed, retry_later
from badgerroute.storage.replica import Replica
from badgerroute.transport.http import Request, Response


class HttpApi:
    """Serves the HTTP paths of the controller's public address."""

    def __init__(
        self,
        replica: Replica,
        monitor: ConnectivityMonitor,
        heartbeat_handler: HeartbeatHandler,
        job_request_handler: JobRequestHandler,
    ) -> None:
        self._replica, self._monitor = replica, monitor
        self._heartbeat_handler, self._job_request_handler = heartbeat_handler, job_request_handler

    async def handle(self, request: Request) -> Response:
        """Answer a request that came directly from a user, a worker or the load balancer."""
        if request.path == "/up":
            return self._load_balancer_status() if request.method == "GET" else method_not_allowed()
        return await self._handle(request, None)

    async def handle_forwarded(self, request: Request, relay: str) -> Response:
        """Answer a request that a peer forwarded; `relay` is the peer."""
        return await self._handle(request, relay)

    async def _handle(self, request: Request, relay: str | None) -> Response:
        if request.path == "/checkin":
            if request.method != "POST":
                return method_not_allowed()
            return await self._heartbeat_handler.handle(request, relay)
        if request.path == JOBS_PATH or self._is_job(request.path):
            return await self._job_request_handler.handle(request, relay)
        return error(404, "no such path")

    @staticmethod
    def _is_job(path: str) -> bool:
        ref, slash, action = path.removeprefix(JOBS_PATH + "/").partition("/")
        return path.startswith(JOBS_PATH + "/") and (not slash or action == "cancel")

    def _load_balancer_status(self) -> Response:
        """Tell the load balancer whether to send requests to this controller.

        If no controller reaches the key-value store, this controller reports that it is up: no other controller could
        serve users better, and the load balancer would exclude it for longer than the outage lasts. This also applies
        to an outage longer than the grace period: when controllers reported being down in such an outage, users reached
        no controller at all for many seconds afterwards. If only this controller cannot reach the store, it reports at
        once that it is down.
        """
        if not self._replica.ready.done:
            return retry_later("not ready")
        if self._monitor.lacks_store_alone():
            return retry_later("cut off from the state service")
        return answer(200, {"state": "up"})
