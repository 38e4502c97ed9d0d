"""Keeps this controller's lease at the key-value store."""

import logging
from datetime import timedelta

from badgerroute.coordination.leadership.leadership_state import LeadershipState
from badgerroute.settings import Settings
from badgerroute.storage.key_value_client import KeyValueClient
from badgerroute.transport.loop import Loop

log = logging.getLogger(__name__)
MAX_RENEWAL_TIMEOUT = timedelta(seconds=1.5)  # for one renewal, or half the time to live if that is shorter
RENEWALS_PER_TTL = 5


class LeaseKeeper:
    """Has the lease granted and renewed, and records when it was last confirmed."""

    def __init__(
        self, settings: Settings, loop: Loop, store: KeyValueClient, leadership_state: LeadershipState
    ) -> None:
        self._loop, self._store, self._state = loop, store, leadership_state
        self._ttl = settings.operator.election.ttl

    async def renew(self) -> None:
        """Have the lease granted if there is none, else renewed if that is due.

        Raises LeaseExpiredError (the caller calls `expired`), StoreUnavailableError or OutcomeUnknownError (the caller
        retries).
        """
        sent_at = self._loop.now()
        if self._state.lease is None:
            self._state.lease = await self._store.grant(self._ttl)
            log.info("event=lease_granted lease=%d", self._state.lease)
        else:
            if sent_at - self._state.lease_confirmed_at < self._ttl / RENEWALS_PER_TTL:
                return
            await self._store.touch(self._state.lease, min(self._ttl / 2, MAX_RENEWAL_TIMEOUT))
        # The lease counts from when the store received the request, which is not before it was sent.
        self._state.lease_confirmed_at = sent_at

    def drop_expired_lease(self) -> None:
        """The lease has ended, and with it everything that this controller led."""
        log.warning("event=lease_expired shards=%s", sorted(self._state.leaderships))
        self._state.clear_lease()
