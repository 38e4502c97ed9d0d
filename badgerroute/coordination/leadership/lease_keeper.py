"""Obtains and renews this controller's lease in the key-value store."""

import logging
from datetime import timedelta

from badgerroute.coordination.leadership.leadership_state import LeadershipState
from badgerroute.settings import Settings
from badgerroute.storage.key_value_client import KeyValueClient
from badgerroute.transport.loop import Loop

log = logging.getLogger(__name__)
MAX_RENEWAL_TIMEOUT = timedelta(seconds=1.5)  # at most half the lease's time to live
RENEWALS_PER_TTL = 5


class LeaseKeeper:
    """Requests and renews the lease, and records when it was last confirmed."""

    def __init__(
        self, settings: Settings, loop: Loop, store: KeyValueClient, leadership_state: LeadershipState
    ) -> None:
        self._loop, self._store, self._state = loop, store, leadership_state
        self._ttl = settings.operator.election.ttl

    async def renew(self) -> None:
        """Request a lease if there is none; otherwise renew it if a renewal is due.

        Raises LeaseExpiredError (the caller must call `drop_expired_lease`), StoreUnavailableError or
        OutcomeUnknownError (the caller may retry).
        """
        sent_at = self._loop.now()
        if self._state.lease is None:
            self._state.lease = await self._store.grant_lease(self._ttl)
            log.info("event=lease_granted lease=%d", self._state.lease)
        else:
            if sent_at - self._state.lease_confirmed_at < self._ttl / RENEWALS_PER_TTL:
                return
            await self._store.renew_lease(self._state.lease, min(self._ttl / 2, MAX_RENEWAL_TIMEOUT))
        # The time to live starts when the store receives the request, so it is safe to count it from the time of
        # sending.
        self._state.lease_confirmed_at = sent_at

    def drop_expired_lease(self) -> None:
        """Forget a lease that has expired, and stop leading all shards."""
        log.warning("event=lease_expired shards=%s", sorted(self._state.leaderships))
        self._state.clear_lease()
