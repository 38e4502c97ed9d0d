"""Client of the cloud, which rents machines and deletes them."""

from datetime import timedelta

from badgerroute.protocol import cloud as wire
from badgerroute.protocol.common import encode
from badgerroute.settings import CloudLimits
from badgerroute.storage.errors import CloudUnavailableError, NoCapacityError
from badgerroute.storage.rate_limiter import RateLimiter, Urgency
from badgerroute.storage.service_caller import ErrorTypes, ServiceCaller, ServiceRequest
from badgerroute.transport.http import Client, Response
from badgerroute.transport.loop import Loop
from badgerroute.transport.net import Network

ANSWER_LIMIT = timedelta(seconds=6)
MAX_MACHINES_PER_RENTAL = 50
MAX_MACHINES_PER_DELETION = 100
MACHINES_PER_PAGE = 500
SAFETY_FACTOR = 0.9  # of the published rate: clocks differ, and an answer of 429 helps nobody
# All requests may be repeated (a rental by its name), so it makes no difference whether one was done.
ERRORS = ErrorTypes(not_done=CloudUnavailableError, unknown=CloudUnavailableError)


class CloudClient:
    """Client of the cloud, whose rate limit is divided equally among `size` controllers.

    All requests raise CloudUnavailableError if there is no usable answer.
    """

    def __init__(self, loop: Loop, network: Network, address: str, limits: CloudLimits, size: int) -> None:
        self._client = Client(loop, network, address)
        self._calls_per_second = limits.rps * SAFETY_FACTOR / size
        limiter = RateLimiter(loop, rate=self._calls_per_second, burst=limits.rps / size)
        self._caller = ServiceCaller(loop, limiter, "cloud")

    async def _call(self, method: str, target: str, urgency: Urgency, body: bytes = b"") -> Response:
        request = ServiceRequest(method, target, urgency, ANSWER_LIMIT, body)
        response = await self._caller.send(self._client, request, ERRORS)
        if response.status == 503 and b"no capacity" in response.body:
            raise NoCapacityError
        if response.status != 200:
            raise CloudUnavailableError(f"status {response.status}")
        return response

    async def catalog(self) -> list[wire.MachineType]:
        """The machine types that can be rented."""
        response = await self._call("GET", "/catalog", Urgency.READ)
        return self._caller.decode(response, wire.catalog_decoder, ERRORS).types

    async def rent(self, request: str, kind: str, zone: str, spot: bool, count: int) -> list[str]:
        """Rent up to `count` machines of the type `kind`; their names. NoCapacityError if there are none to be had.

        `request` names the rental: sent again under the same name it rents nothing more, so a name is never used for
        another rental.
        """
        body = encode(wire.RentalRequest(request, kind, zone, spot, min(count, MAX_MACHINES_PER_RENTAL)))
        response = await self._call("POST", "/rentals", Urgency.COMPLETE, body)
        return self._caller.decode(response, wire.rented_decoder, ERRORS).machines

    async def delete(self, names: list[str]) -> None:
        """Delete the first MAX_MACHINES_PER_DELETION of these; when this returns they and all on them are gone."""
        body = encode(wire.Deletion(names[:MAX_MACHINES_PER_DELETION]))
        await self._call("POST", "/rentals/delete", Urgency.LEADERSHIP, body)

    def listing_time(self, machines: int) -> timedelta:
        """How long it takes to list so many machines at the rate that this controller may use."""
        pages = -(-machines // MACHINES_PER_PAGE)
        return timedelta(seconds=pages / self._calls_per_second)

    async def machines(self) -> list[wire.ListedMachine]:
        """All machines, as the cloud's list has them, which lags behind what was rented and deleted."""
        machines: list[wire.ListedMachine] = []
        since = ""
        while True:
            target = f"/rentals?limit={MACHINES_PER_PAGE}" + (f"&since={since}" if since else "")
            response = await self._call("GET", target, Urgency.READ)
            page = self._caller.decode(response, wire.list_decoder, ERRORS)
            machines.extend(page.machines)
            if not page.more or not page.machines:
                return machines
            since = page.machines[-1].name
