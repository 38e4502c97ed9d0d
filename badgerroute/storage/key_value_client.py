"""Client of the key-value store. Says plainly whether a transaction applied, did not, or may have."""

import logging
from collections.abc import Iterable, Sequence
from datetime import timedelta
from typing import Any
from urllib.parse import quote

import msgspec

from badgerroute.protocol import key_value as wire
from badgerroute.protocol.common import MalformedError, decode, encode
from badgerroute.settings import LaterStoreLimits, StoreLimits
from badgerroute.storage.budget import Budget, BudgetExhaustedError, Urgency
from badgerroute.storage.size_limits import SizeLimits, TransactionSize
from badgerroute.transport.http import Client, NoAnswerError, Response
from badgerroute.transport.loop import Loop
from badgerroute.transport.net import Network

log = logging.getLogger(__name__)
ANSWER_LIMIT = timedelta(milliseconds=1500)
OVER = 3  # answers of 429 so close together show that the service has lowered its limits
OVER_WITHIN = timedelta(seconds=5)
LIST_PAGE = 500
TROUBLE_KEPT = timedelta(seconds=3)
CONDITIONS_PER_CHANGE = 4  # that a transaction may have
SLACK = 0.95  # budgets stay a little below the published limits: clocks differ, and a 429 helps nobody


class StoreUnavailableError(Exception):
    """Nothing was done, and nothing will be done later."""


class OutcomeUnknownError(Exception):
    """The transaction may have been applied, or may yet be: read back before going on."""


class CompareFailedError(Exception):
    """Conditions did not hold, so nothing was applied."""

    def __init__(self, failed: list[str]) -> None:
        super().__init__(f"conditions failed: {failed}")
        self.failed = failed


class RequestRefusedError(StoreUnavailableError):
    """The service calls the transaction malformed or too large: as it is, it must not be sent again.

    `by_size`: its size may have been the reason, so that what is sent from now on is smaller.
    """

    def __init__(self, text: str, by_size: bool) -> None:
        super().__init__(text)
        self.by_size = by_size


class LeaseExpiredError(Exception):
    """The lease has ended, and the keys attached to it are gone."""


class WatchExpiredError(Exception):
    """A watch began before what the service still remembers."""


def compare(key: str, revision: int) -> wire.Compare:
    """A condition of a transaction."""
    return wire.Compare(key, revision)


def put(key: str, value: Any, lease: int | None = None) -> wire.Put:
    """A change that writes a key."""
    return wire.Put(key, value) if lease is None else wire.Put(key, value, lease)


def remove(key: str) -> wire.Remove:
    """A change that removes a key."""
    return wire.Remove(key)


class KeyValueClient:
    """Client of the key-value store, within its share of the limits."""

    def __init__(self, loop: Loop, network: Network, address: str, limits: StoreLimits, size: int) -> None:
        self._client = Client(loop, network, address, most_idle=6)
        self._watch_client = Client(loop, network, address, most_idle=1)
        self._leadership_client = Client(loop, network, address, most_idle=1)
        self._rps, self._write_rps, self._size = limits.rps, limits.write_rps, size
        self._reads = Budget(loop, *self._rates(self._rps, size))
        self._writes = Budget(loop, *self._rates(self._write_rps, size))
        self._loop = loop
        self._limits = limits
        self._over: list[timedelta] = []  # when the service lately said that we are over its limits
        # Kept to from the first write on, though the service may still take more: nobody says when it no longer does.
        later = limits.next or LaterStoreLimits()
        self._sizes = SizeLimits(
            limits.max_changes,
            int(limits.max_value_bytes * SLACK),
            later.txn_ops is not None,
            later.value_kb is not None,
        )
        self.requests = 0
        self.conflicts = 0
        self._troubled: timedelta | None = None  # when a request last got no answer, or was refused as in an outage

    @staticmethod
    def _rates(limit: float, size: int) -> tuple[float, float]:
        return limit * SLACK / size, limit * SLACK / size

    def divide_rates(self, size: int) -> None:
        """Divide the limits among so many: what a dead controller can't use serves the others."""
        self._size = size
        self._reads.limit(*self._rates(self._rps, size))
        self._writes.limit(*self._rates(self._write_rps, size))

    def _lower(self, why: str) -> None:
        """The service has lowered its limits, as the settings announce."""
        if (self._rps, self._write_rps) != self._limits.lower_rates:
            self._rps, self._write_rps = self._limits.lower_rates
            log.info("event=rate_limits_lowered by=%s rps=%g write_rps=%g", why, self._rps, self._write_rps)
            self.divide_rates(self._size)

    def _over_limit(self) -> None:
        """Now and then two controllers' bursts meet; again and again means that less is allowed than was."""
        now = self._loop.now()
        self._over = [at for at in self._over if now - at < OVER_WITHIN] + [now]
        if len(self._over) >= OVER:
            self._lower("429")

    def troubled(self) -> bool:
        """Whether a request went unanswered or was refused within the last seconds."""
        return self._troubled is not None and self._loop.now() - self._troubled < TROUBLE_KEPT

    @property
    def max_changes(self) -> int:
        """In one transaction, now and later: nobody says when a lower limit comes."""
        self._sizes.recover(self._loop.now())
        return self._sizes.changes.current

    @property
    def max_value_bytes(self) -> int:
        """Of one value, now and later."""
        self._sizes.recover(self._loop.now())
        return self._sizes.value_bytes.current

    @property
    def announced_value_bytes(self) -> int:
        """The largest value by the settings, whatever the service lately refused."""
        return int(self._limits.max_value_bytes * SLACK)

    @property
    def max_conditions(self) -> int:
        """Of one transaction, by the settings."""
        return CONDITIONS_PER_CHANGE * self._limits.max_changes

    def _refused(self, transaction: wire.Transaction, body: bytes) -> bool:
        """What was refused for its size must not come again as it was."""
        changes = transaction.changes
        values = (len(encode(change.value)) for change in changes if isinstance(change, wire.Put))
        size = TransactionSize(len(changes), max(values, default=0))
        lowered = self._sizes.refused(size, self._loop.now())
        log.warning(
            "event=transaction_refused changes=%d conditions=%d bytes=%d largest=%d lowered=%s body=%s",
            size.changes,
            len(transaction.conditions),
            len(body),
            size.value_bytes,
            lowered,
            body[:120],
        )
        return lowered

    async def _call(
        self,
        method: str,
        target: str,
        body: bytes,
        urgency: Urgency,
        limit: timedelta = ANSWER_LIMIT,
        client: Client | None = None,
    ) -> Response:
        try:
            await self._reads.take(1, urgency, limit)
        except BudgetExhaustedError as error:
            raise StoreUnavailableError(str(error)) from None
        self.requests += 1
        try:
            response = await (client or self._client).request(method, target, body, limit)
        except NoAnswerError as error:
            self._troubled = self._loop.now()
            if error.sent:
                raise OutcomeUnknownError(str(error)) from None
            raise StoreUnavailableError(str(error)) from None
        if response.status == 503:
            self._troubled = self._loop.now()
        if response.status == 429:
            self._over_limit()
        if response.status in (429, 503):
            raise StoreUnavailableError(f"status {response.status}")
        return response

    @staticmethod
    def _decoded(response: Response, decoder: msgspec.json.Decoder) -> Any:
        try:
            return decode(response.body, decoder)
        except MalformedError as error:
            raise OutcomeUnknownError(f"nonsense from the state service: {error}") from None

    async def get(self, key: str, urgency: Urgency = Urgency.READ) -> wire.KeyValueEntry | None:
        """Read a key."""
        try:
            response = await self._call("GET", "/kv/" + quote(key, safe="/"), b"", urgency)
        except OutcomeUnknownError as error:  # a read changes nothing, so whether it happened does not matter
            raise StoreUnavailableError(str(error)) from None
        if response.status == 404:
            return None
        if response.status != 200:
            raise StoreUnavailableError(f"status {response.status}")
        try:
            return self._decoded(response, wire.entry_decoder)
        except OutcomeUnknownError as error:
            raise StoreUnavailableError(str(error)) from None

    async def revision(self, absent: str, urgency: Urgency = Urgency.READ) -> int:
        """What the service has applied by now: it says so when asked for a key that is not there."""
        try:
            response = await self._call("GET", "/kv/" + quote(absent, safe="/"), b"", urgency)
            if response.status != 404:
                raise StoreUnavailableError(f"status {response.status}")
            return self._decoded(response, wire.missing_decoder).revision
        except OutcomeUnknownError as error:
            raise StoreUnavailableError(str(error)) from None

    async def page(self, prefix: str, since: str, limit: int, urgency: Urgency) -> wire.KeyValuePage:
        """The first items under a prefix whose keys come after `since`, in the order of their keys."""
        target = f"/kv?under={quote(prefix, safe='/')}&limit={limit}"
        if since:
            target += f"&since={quote(since, safe='/')}"
        try:
            response = await self._call("GET", target, b"", urgency)
            if response.status != 200:
                raise StoreUnavailableError(f"status {response.status}")
            return self._decoded(response, wire.page_decoder)
        except OutcomeUnknownError as error:  # a read changes nothing, so whether it happened does not matter
            raise StoreUnavailableError(str(error)) from None

    async def list(self, prefix: str) -> tuple[list[wire.KeyValueEntry], int]:
        """All items under a prefix, and a revision that none of the pages is older than."""
        items: list[wire.KeyValueEntry] = []
        since, revision = "", None
        while True:
            page = await self.page(prefix, since, LIST_PAGE, Urgency.LEADERSHIP)
            revision = page.revision if revision is None else min(revision, page.revision)
            items.extend(page.items)
            if not page.more or not page.items:
                return items, revision
            since = page.items[-1].key

    async def transact(
        self,
        conditions: Iterable[wire.Compare],
        changes: Sequence[wire.Put | wire.Remove],
        urgency: Urgency,
        limit: timedelta = ANSWER_LIMIT,
    ) -> int:
        """The revision at which the changes were applied. Raises one of this module's errors otherwise."""
        try:
            await self._writes.take(max(1, len(changes)), urgency, limit)
        except BudgetExhaustedError as error:
            raise StoreUnavailableError(str(error)) from None
        transaction = wire.Transaction(list(conditions), list(changes))
        body = encode(transaction)
        response = await self._call("POST", "/txn", body, urgency, limit)
        if response.status == 200:
            return self._decoded(response, wire.applied_decoder).revision
        if response.status == 409:
            self.conflicts += 1
            raise CompareFailedError(self._decoded(response, wire.conflict_decoder).failed)
        if response.status == 400 and wire.names_ended_lease(response.body):
            raise LeaseExpiredError("no such lease")
        if response.status == 400:
            by_size = self._refused(transaction, body)
            raise RequestRefusedError(f"refused: {response.body[:100]!r}", by_size)
        raise StoreUnavailableError(f"status {response.status}")

    async def grant(self, ttl: timedelta) -> int:
        """A new lease."""
        body = encode({"ttl_ms": int(ttl / timedelta(milliseconds=1))})
        response = await self._call("POST", "/grants", body, Urgency.LEADERSHIP, client=self._leadership_client)
        if response.status not in (200, 201):
            raise StoreUnavailableError(f"status {response.status}")
        return self._decoded(response, wire.lease_decoder).lease

    async def touch(self, lease: int, limit: timedelta) -> None:
        """Renew a lease; LeaseExpiredError if it has ended."""
        target = f"/grants/{lease}/touch"
        response = await self._call("POST", target, b"", Urgency.LEADERSHIP, limit, client=self._leadership_client)
        if response.status == 404:
            raise LeaseExpiredError("lease ended")
        if response.status != 200:
            raise StoreUnavailableError(f"status {response.status}")

    async def follow(self, prefix: str, since: int, block: timedelta) -> wire.Changes:
        """Wait for changes under a prefix after a revision; WatchExpiredError if that is too old."""
        target = (
            f"/follow?under={quote(prefix, safe='/')}&since={since}&block_ms={int(block / timedelta(milliseconds=1))}"
        )
        try:
            response = await self._call(
                "GET", target, b"", Urgency.LEADERSHIP, block + timedelta(seconds=3), client=self._watch_client
            )
            if response.status == 410:
                raise WatchExpiredError
            if response.status != 200:
                raise StoreUnavailableError(f"status {response.status}")
            return self._decoded(response, wire.changes_decoder)
        except OutcomeUnknownError as error:
            raise StoreUnavailableError(str(error)) from None
