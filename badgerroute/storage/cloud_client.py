"""Client of the cloud, within a budget of calls."""

import logging
from datetime import timedelta
from typing import Any

import msgspec

from badgerroute.protocol import cloud as wire
from badgerroute.protocol.common import MalformedError, decode, encode
from badgerroute.settings import CloudLimits
from badgerroute.storage.budget import Budget, BudgetExhaustedError, Urgency
from badgerroute.transport.http import Client, NoAnswerError, Response
from badgerroute.transport.loop import Loop
from badgerroute.transport.net import Network

log = logging.getLogger(__name__)
LIMIT = timedelta(seconds=6)
MAX_MACHINES_PER_RENTAL = 50
MAX_MACHINES_PER_DELETION = 100
PAGE = 500


class CloudUnavailableError(Exception):
    """No usable answer; the request may have been carried out, or may yet be."""


class NoCapacityError(Exception):
    """None to be had of this type, in this zone, of this kind."""


class CloudClient:
    """Client of the cloud, within its share of the rate."""

    def __init__(self, loop: Loop, network: Network, address: str, limits: CloudLimits, size: int) -> None:
        self._client = Client(loop, network, address)
        self._calls_per_second = limits.rps * 0.9 / size
        self._budget = Budget(loop, self._calls_per_second, max(1.0, limits.rps / size))

    async def _call(self, method: str, target: str, body: bytes, urgency: Urgency) -> Response:
        try:
            await self._budget.take(1, urgency, LIMIT)
            response = await self._client.request(method, target, body, LIMIT)
        except (BudgetExhaustedError, NoAnswerError) as error:
            raise CloudUnavailableError(str(error)) from None
        if response.status == 503 and b"no capacity" in response.body:
            raise NoCapacityError
        if response.status != 200:
            raise CloudUnavailableError(f"status {response.status}")
        return response

    @staticmethod
    def _decoded(response: Response, decoder: msgspec.json.Decoder) -> Any:
        try:
            return decode(response.body, decoder)
        except MalformedError as error:
            raise CloudUnavailableError(f"nonsense from the cloud: {error}") from None

    async def catalog(self) -> list[wire.MachineType]:
        """The machine types there are."""
        return self._decoded(await self._call("GET", "/catalog", b"", Urgency.READ), wire.catalog_decoder).types

    async def rent(self, request: str, kind: str, zone: str, spot: bool, count: int) -> list[str]:
        """Rent up to `count` machines; their names. A request's name is never used for another."""
        body = encode(wire.RentalRequest(request, kind, zone, spot, min(count, MAX_MACHINES_PER_RENTAL)))
        response = await self._call("POST", "/rentals", body, Urgency.COMPLETE)
        return self._decoded(response, wire.rented_decoder).machines

    async def delete(self, names: list[str]) -> None:
        """When this returns, the machines and everything on them are gone."""
        body = encode(wire.Deletion(names[:MAX_MACHINES_PER_DELETION]))
        await self._call("POST", "/rentals/delete", body, Urgency.LEADERSHIP)

    def listing_time(self, machines: int) -> timedelta:
        """How long it takes to list so many machines at the rate that this controller may use."""
        pages = -(-machines // PAGE)
        return timedelta(seconds=pages / self._calls_per_second)

    async def machines(self) -> list[wire.ListedMachine]:
        """All machines, as the cloud's list, which lags, has them."""
        machines: list[wire.ListedMachine] = []
        since = ""
        while True:
            target = f"/rentals?limit={PAGE}" + (f"&since={since}" if since else "")
            page = self._decoded(await self._call("GET", target, b"", Urgency.READ), wire.list_decoder)
            machines.extend(page.machines)
            if not page.more or not page.machines:
                return machines
            since = page.machines[-1].name
