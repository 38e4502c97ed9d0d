"""Who answers what: the paths that users, workers and the load balancer ask for."""

import zlib
from collections.abc import Callable

from badgerroute.coordination.membership.mesh import Mesh
from badgerroute.coordination.membership.reachability import WorkerReachability
from badgerroute.coordination.membership.siblings import Siblings
from badgerroute.coordination.ownership.claims import Claims
from badgerroute.coordination.parts.owner import Owner
from badgerroute.coordination.requests.users import Users, answer, come_back, error
from badgerroute.protocol import mesh as mesh_wire
from badgerroute.protocol.common import MalformedError
from badgerroute.protocol.workers import Redirect, parse_report
from badgerroute.settings import Settings
from badgerroute.storage import records
from badgerroute.storage.replica import MACHINES, Replica
from badgerroute.transport.http import Request, Response


class HttpApi:
    """`is_deleted` tells of machines whose reports can only be late copies."""

    def __init__(
        self,
        settings: Settings,
        replica: Replica,
        claims: Claims,
        owners: dict[int, Owner],
        siblings: Siblings,
        users: Users,
        mesh: Mesh,
        reachability: WorkerReachability,
        is_deleted: Callable[[str], bool],
    ) -> None:
        self._settings, self._replica, self._claims, self._owners = settings, replica, claims, owners
        self._siblings, self._users, self._mesh = siblings, users, mesh
        self._reachability, self._is_deleted = reachability, is_deleted

    async def handle(self, request: Request) -> Response:
        """Answer one request."""
        path, method = request.path, request.method
        if path == "/checkin":
            return await self._checkin(request) if method == "POST" else error(405, "method not allowed")
        if path == "/up":
            return self._up() if method == "GET" else error(405, "method not allowed")
        if path == "/v1/jobs":
            return await self._users.submit(request) if method == "POST" else error(405, "method not allowed")
        if path.startswith("/v1/jobs/"):
            ref, slash, action = path.removeprefix("/v1/jobs/").partition("/")
            if not slash:
                return await self._users.poll(ref) if method == "GET" else error(405, "method not allowed")
            if action == "cancel":
                return await self._users.cancel(ref) if method == "POST" else error(405, "method not allowed")
        return error(404, "no such path")

    def _up(self) -> Response:
        """Whether users should be sent here.

        In an outage that all controllers see, none could serve them better, and being taken out of the load balancer
        would only last longer than the outage: also one of more than G, after which users once found no node at all for
        many seconds. One that is cut off alone must say so at once.
        """
        if not self._replica.ready.done:
            return come_back("not ready")
        if self._siblings.cut_off():
            return come_back("cut off from the state service")
        return answer(200, {"state": "up"})

    async def _checkin(self, request: Request) -> Response:
        try:
            report = parse_report(request.body)
        except MalformedError as problem:
            return error(400, str(problem))
        self._reachability.heard()
        if self._is_deleted(report.machine):
            return come_back("this machine was deleted")  # a late copy, whatever it says
        part = self._part_of(report.machine)
        owner = self._owners.get(part)
        if owner is None:
            host = self._claims.owner(part)
            if host is None or host == self._settings.platform.host_name:
                return answer(421, Redirect())
            if self._silent(part):
                # Sent back there, it would wait in vain once more, and by then its lease is over.
                self._mesh.send(
                    host, mesh_wire.MisdirectedReport(part, report.machine, self._settings.platform.host_name)
                )
                return come_back("its owner does not hear its workers")
            return answer(421, Redirect(host))
        if not owner.ready or not self._claims.acting(part):
            return come_back("not acting for this machine now")
        result = await owner.checkin(report)
        return come_back("can't act on this report now") if result is None else answer(200, result)

    def _silent(self, part: int) -> bool:
        return any(one.part == part and one.silent for one in self._siblings.summaries())

    def _part_of(self, name: str) -> int:
        value = self._replica.value(MACHINES + name)
        if value is not None:
            return records.read(value, records.MachineRecord).part
        # Not a member yet: names in a row go to different parts, so each gets its mix of types and zones.
        digits = name[len(name.rstrip("0123456789")) :]
        number = int(digits) if digits else zlib.crc32(name.encode())
        return number % self._settings.params.size
