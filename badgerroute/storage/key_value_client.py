"""Client of the key-value store. Its errors tell whether a transaction was not applied or its outcome is unknown."""

import logging
from collections.abc import Iterable, Sequence
from datetime import timedelta
from typing import NamedTuple
from urllib.parse import quote

from badgerroute.protocol import key_value as wire
from badgerroute.protocol.common import encode
from badgerroute.settings import StoreLimits
from badgerroute.storage.errors import (
    CompareFailedError,
    LeaseExpiredError,
    OutcomeUnknownError,
    RequestRefusedError,
    StoreUnavailableError,
    WatchExpiredError,
)
from badgerroute.storage.rate_limiter import RateLimitExceededError, Urgency
from badgerroute.storage.service_caller import ErrorTypes, ServiceCaller, ServiceRequest
from badgerroute.storage.size_limits import SizeLimits, TransactionSize
from badgerroute.storage.store_rates import StoreRates
from badgerroute.transport.http import Client, Response
from badgerroute.transport.loop import Loop
from badgerroute.transport.net import Network

log = logging.getLogger(__name__)
RESPONSE_TIMEOUT = timedelta(milliseconds=1500)
WATCH_MARGIN = timedelta(seconds=3)  # a watch times out this long after the time for which the store may hold it open
KEYS_PER_PAGE = 500
MAX_CONDITIONS_PER_CHANGE = 4  # a transaction may have at most max_changes * this many conditions
LOGGED_BODY_BYTES = 120
RATE_LIMITED_STATUS = 429
NOT_EXECUTED_STATUSES = (RATE_LIMITED_STATUS, 503)
READ_ERRORS = ErrorTypes(StoreUnavailableError, StoreUnavailableError)  # reads have no effect, so they can be repeated
WRITE_ERRORS = ErrorTypes(StoreUnavailableError, OutcomeUnknownError)


class KeyList(NamedTuple):
    """All keys under a prefix with their values, and the lowest revision at which a page of the list was read."""

    items: list[wire.KeyValueEntry]
    revision: int


def _milliseconds(duration: timedelta) -> int:
    return int(duration / timedelta(milliseconds=1))


def _require_ok(response: Response, accepted: tuple[int, ...] = (200,)) -> None:
    if response.status not in accepted:
        raise StoreUnavailableError(f"status {response.status}")


class KeyValueClient:
    """Client of the key-value store, whose limits are divided equally among `size` controllers.

    Every request may raise StoreUnavailableError, and a write may also raise OutcomeUnknownError. The watch and the
    lease requests have connections of their own, so that they don't wait behind other requests.
    """

    def __init__(self, loop: Loop, network: Network, address: str, limits: StoreLimits, size: int) -> None:
        self._loop = loop
        self._client = Client(loop, network, address, most_idle=6)
        self._watch_client = Client(loop, network, address, most_idle=1)
        self._leadership_client = Client(loop, network, address, most_idle=1)
        self._limits = limits
        self._sizes = SizeLimits.of_store(limits)
        self.rates = StoreRates(loop, limits, size)
        self._caller = ServiceCaller(loop, self.rates.request_limiter, "key-value store")

    @property
    def requests(self) -> int:
        """The number of requests sent since the client was created."""
        return self._caller.request_count

    def divide_rates(self, size: int) -> None:
        """Divide the rate limits among this number of controllers."""
        self.rates.divide(size)

    def failed_recently(self) -> bool:
        """Return whether a request got no response, or status 503, within the last few seconds."""
        return self._caller.failed_recently()

    @property
    def max_changes(self) -> int:
        """The maximum number of changes in a transaction: the store's current or announced limit, whichever is lower.

        It may be lower still for some time after a refused transaction.
        """
        self._sizes.recover(self._loop.now())
        return self._sizes.changes.current

    @property
    def max_value_bytes(self) -> int:
        """The maximum size of a value in bytes: slightly below the store's current or announced limit.

        The lower of the two limits counts. The maximum may be lower still for some time after a refused transaction.
        """
        self._sizes.recover(self._loop.now())
        return self._sizes.value_bytes.current

    @property
    def announced_value_bytes(self) -> int:
        """The maximum size of a value in bytes according to the settings. Refused transactions do not lower it."""
        return self._sizes.value_bytes.maximum

    @property
    def max_conditions(self) -> int:
        """The maximum number of conditions in a transaction. It follows from the settings and does not change."""
        return MAX_CONDITIONS_PER_CHANGE * self._limits.max_changes

    async def get(self, key: str, urgency: Urgency = Urgency.READ) -> wire.KeyValueEntry | None:
        """Return a key's value and revision, or None if the key does not exist."""
        response = await self._read("/kv/" + quote(key, safe="/"), urgency)
        if response.status == 404:
            return None
        _require_ok(response)
        return self._caller.decode(response, wire.entry_decoder, READ_ERRORS)

    async def revision(self, nonexistent_key: str, urgency: Urgency = Urgency.READ) -> int:
        """Return the latest revision that the store has applied. It is part of the response for a nonexistent key."""
        response = await self._read("/kv/" + quote(nonexistent_key, safe="/"), urgency)
        _require_ok(response, accepted=(404,))
        return self._caller.decode(response, wire.missing_decoder, READ_ERRORS).revision

    async def page(self, prefix: str, after_key: str, limit: int, urgency: Urgency) -> wire.KeyValuePage:
        """Return the first `limit` keys, in sorted order, under a prefix.

        If `after_key` is not empty, only keys that sort after it are returned.
        """
        target = f"/kv?under={quote(prefix, safe='/')}&limit={limit}"
        if after_key:
            target += f"&since={quote(after_key, safe='/')}"
        response = await self._read(target, urgency)
        _require_ok(response)
        return self._caller.decode(response, wire.page_decoder, READ_ERRORS)

    async def list(self, prefix: str) -> KeyList:
        """Read all keys under a prefix, page by page; the store may change between two pages."""
        page = await self.page(prefix, "", KEYS_PER_PAGE, Urgency.LEADERSHIP)
        items, revision = page.items, page.revision
        while page.more and page.items:
            page = await self.page(prefix, page.items[-1].key, KEYS_PER_PAGE, Urgency.LEADERSHIP)
            revision = min(revision, page.revision)
            items.extend(page.items)
        return KeyList(items, revision)

    async def transact(
        self,
        conditions: Iterable[wire.Compare],
        changes: Sequence[wire.Put | wire.Remove],
        urgency: Urgency,
        timeout: timedelta = RESPONSE_TIMEOUT,
    ) -> int:
        """Apply the changes atomically if all conditions hold. Return the revision at which they were applied.

        Raises CompareFailedError, LeaseExpiredError, RequestRefusedError, OutcomeUnknownError, StoreUnavailableError.
        """
        try:
            await self.rates.change_limiter.take(max(1, len(changes)), urgency, timeout)
        except RateLimitExceededError as error:
            raise StoreUnavailableError(str(error)) from None
        transaction = wire.Transaction([*conditions], [*changes])
        body = encode(transaction)
        response = await self._call(ServiceRequest("POST", "/txn", urgency, timeout, body), self._client, WRITE_ERRORS)
        if response.status == 409:
            raise CompareFailedError(self._caller.decode(response, wire.conflict_decoder, WRITE_ERRORS).failed)
        if response.status == 400 and wire.names_ended_lease(response.body):
            raise LeaseExpiredError("no such lease")
        if response.status == 400:
            lowered = self._lower_sizes(transaction, body)
            # Users see this text: JobWriter.accept puts it into the body of a 422 response, so it must not change.
            raise RequestRefusedError(f"refused: {response.body[:100]!r}", lowered)
        _require_ok(response)
        return self._caller.decode(response, wire.applied_decoder, WRITE_ERRORS).revision

    async def grant_lease(self, ttl: timedelta) -> int:
        """Create a lease and return its id. The lease ends when it has not been renewed for `ttl`."""
        body = encode({"ttl_ms": _milliseconds(ttl)})
        response = await self._write_lease("/grants", RESPONSE_TIMEOUT, body)
        _require_ok(response, accepted=(200, 201))
        return self._caller.decode(response, wire.lease_decoder, WRITE_ERRORS).lease

    async def renew_lease(self, lease: int, timeout: timedelta) -> None:
        """Renew a lease. Raise LeaseExpiredError if it has ended."""
        response = await self._write_lease(f"/grants/{lease}/touch", timeout)
        if response.status == 404:
            raise LeaseExpiredError(f"lease {lease} has ended")
        _require_ok(response)

    async def watch(self, prefix: str, after_revision: int, block: timedelta) -> wire.Changes:
        """Return the changes under a prefix after a revision. If there are none yet, wait up to `block` for them.

        Raise WatchExpiredError if the store no longer holds all changes after that revision.
        """
        target = f"/follow?under={quote(prefix, safe='/')}&since={after_revision}&block_ms={_milliseconds(block)}"
        request = ServiceRequest("GET", target, Urgency.LEADERSHIP, block + WATCH_MARGIN)
        response = await self._call(request, self._watch_client, READ_ERRORS)
        if response.status == 410:
            raise WatchExpiredError
        _require_ok(response)
        return self._caller.decode(response, wire.changes_decoder, READ_ERRORS)

    async def _read(self, target: str, urgency: Urgency) -> Response:
        return await self._call(ServiceRequest("GET", target, urgency, RESPONSE_TIMEOUT), self._client, READ_ERRORS)

    async def _write_lease(self, target: str, timeout: timedelta, body: bytes = b"") -> Response:
        request = ServiceRequest("POST", target, Urgency.LEADERSHIP, timeout, body)
        return await self._call(request, self._leadership_client, WRITE_ERRORS)

    async def _call(self, request: ServiceRequest, client: Client, errors: ErrorTypes) -> Response:
        response = await self._caller.send(client, request, errors)
        if response.status == RATE_LIMITED_STATUS:
            self.rates.record_refusal()
        if response.status in NOT_EXECUTED_STATUSES:
            raise StoreUnavailableError(f"status {response.status}")
        return response

    def _lower_sizes(self, transaction: wire.Transaction, body: bytes) -> bool:
        """Lower the size limits after a refused transaction. Return whether its size may have been the reason."""
        changes = transaction.changes
        values = (len(encode(change.value)) for change in changes if isinstance(change, wire.Put))
        size = TransactionSize(len(changes), max(values, default=0))
        lowered = self._sizes.lower_after_refusal(size, self._loop.now())
        log.warning(
            "event=transaction_refused changes=%d conditions=%d bytes=%d largest=%d lowered=%s body=%s",
            size.changes,
            len(transaction.conditions),
            len(body),
            size.value_bytes,
            lowered,
            body[:LOGGED_BODY_BYTES],
        )
        return lowered
