"""Client of the cloud API, which rents out machines, lists them and deletes them."""

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

RESPONSE_TIMEOUT = timedelta(seconds=6)
MAX_MACHINES_PER_RENTAL = 50
MAX_MACHINES_PER_DELETION = 100
MACHINES_PER_PAGE = 500
# The controllers together use only this portion of the published rate limit. Their clocks differ from the cloud's, and
# a request that exceeds the limit is wasted, since it gets only status 429 (too many requests).
SAFETY_FACTOR = 0.9
# All requests are idempotent (a rental because of its request name). A caller may therefore repeat a failed request
# whether or not it was executed, so both cases raise the same error.
ERRORS = ErrorTypes(not_executed=CloudUnavailableError, outcome_unknown=CloudUnavailableError)


class CloudClient:
    """Client of the cloud API, whose rate limit is divided equally among `size` controllers.

    Every request raises NoCapacityError if the cloud responds that it has no capacity. It raises CloudUnavailableError
    if no response arrives, if the response has any other status than 200, or if it is malformed.
    """

    def __init__(self, loop: Loop, network: Network, address: str, limits: CloudLimits, size: int) -> None:
        self._client = Client(loop, network, address)
        self._calls_per_second = limits.rps * SAFETY_FACTOR / size
        limiter = RateLimiter(loop, rate=self._calls_per_second, burst=limits.rps / size)
        self._caller = ServiceCaller(loop, limiter, "cloud")

    async def _call(self, method: str, target: str, urgency: Urgency, body: bytes = b"") -> Response:
        request = ServiceRequest(method, target, urgency, RESPONSE_TIMEOUT, body)
        response = await self._caller.send(self._client, request, ERRORS)
        if response.status == 503 and b"no capacity" in response.body:
            raise NoCapacityError
        if response.status != 200:
            raise CloudUnavailableError(f"status {response.status}")
        return response

    async def fetch_catalog(self) -> list[wire.MachineType]:
        """Return the machine types that can be rented."""
        response = await self._call("GET", "/catalog", Urgency.READ)
        return self._caller.decode(response, wire.catalog_decoder, ERRORS).types

    async def rent(self, request_name: str, machine_type: str, zone: str, spot: bool, count: int) -> list[str]:
        """Rent up to `count` machines (at most MAX_MACHINES_PER_RENTAL) and return their names.

        Raises NoCapacityError if none are available. `request_name` makes the rental idempotent: a repeated request
        with the same name rents no further machines. Every rental therefore needs a name of its own.
        """
        body = encode(wire.RentalRequest(request_name, machine_type, zone, spot, min(count, MAX_MACHINES_PER_RENTAL)))
        response = await self._call("POST", "/rentals", Urgency.COMPLETE, body)
        return self._caller.decode(response, wire.rented_decoder, ERRORS).machines

    async def delete(self, names: list[str]) -> None:
        """Delete the first MAX_MACHINES_PER_DELETION of the named machines.

        When this returns, these machines and all tasks on them have ended.
        """
        body = encode(wire.DeletionRequest(names[:MAX_MACHINES_PER_DELETION]))
        await self._call("POST", "/rentals/delete", Urgency.LEADERSHIP, body)

    def listing_time(self, machine_count: int) -> timedelta:
        """Return how long a listing of this many machines takes at the request rate that this controller may use."""
        pages = -(-machine_count // MACHINES_PER_PAGE)
        return timedelta(seconds=pages / self._calls_per_second)

    async def list_machines(self) -> list[wire.ListedMachine]:
        """Return all machines in the cloud's list, which shows rentals and deletions only after a delay."""
        machines: list[wire.ListedMachine] = []
        last_name = ""
        while True:
            target = f"/rentals?limit={MACHINES_PER_PAGE}" + (f"&since={last_name}" if last_name else "")
            response = await self._call("GET", target, Urgency.READ)
            page = self._caller.decode(response, wire.list_decoder, ERRORS)
            machines.extend(page.machines)
            if not page.more or not page.machines:
                return machines
            last_name = page.machines[-1].name
