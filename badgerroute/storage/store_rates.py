"""The key-value store's rate limits, divided among the controllers that use it."""

import logging
from datetime import timedelta
from typing import NamedTuple

from badgerroute.settings import StoreLimits
from badgerroute.storage.rate_limiter import RateLimiter
from badgerroute.transport.loop import Loop

log = logging.getLogger(__name__)
SAFETY_FACTOR = 0.95  # of the published limits: clocks differ, and an answer of 429 helps nobody
REFUSALS_THAT_LOWER = 3  # answers of 429 so close together show that the store has lowered its limits
REFUSAL_WINDOW = timedelta(seconds=5)


class _Rates(NamedTuple):
    """The rates of all controllers together, per second."""

    requests: float
    changes: float


class StoreRates:
    """One controller's portion of the store's rate limits.

    The settings may announce lower limits that the store will have from some moment on. Nobody says when that is:
    answers of 429 in quick succession show it, and the lower limits are kept to from then on.
    """

    def __init__(self, loop: Loop, limits: StoreLimits, clients: int) -> None:
        self._loop = loop
        self._limits = limits
        self._rates = _Rates(limits.rps, limits.write_rps)
        self._clients = clients
        self._refusals: list[timedelta] = []  # when the store answered 429 within the last REFUSAL_WINDOW
        share = self._share(self._rates.requests)
        self.requests = RateLimiter(loop, rate=share, burst=share)
        share = self._share(self._rates.changes)
        self.changes = RateLimiter(loop, rate=share, burst=share)

    def divide(self, clients: int) -> None:
        """Divide the limits among so many clients: what a dead controller can't use serves the others."""
        self._clients = clients
        share = self._share(self._rates.requests)
        self.requests.set_rate(share, burst=share)
        share = self._share(self._rates.changes)
        self.changes.set_rate(share, burst=share)

    def count_refusal(self) -> None:
        """The store answered 429. Once in a while two controllers' bursts meet; often means that it takes less now."""
        now = self._loop.now()
        self._refusals = [at for at in self._refusals if now - at < REFUSAL_WINDOW]
        self._refusals.append(now)
        if len(self._refusals) >= REFUSALS_THAT_LOWER:
            self._lower()

    def _share(self, rate: float) -> float:
        """One client's portion of a rate; its burst is what it may use in one second."""
        return rate * SAFETY_FACTOR / self._clients

    def _lower(self) -> None:
        if self._rates == self._limits.lower_rates:
            return
        self._rates = _Rates(*self._limits.lower_rates)
        log.info("event=rate_limits_lowered by=429 rps=%g write_rps=%g", self._rates.requests, self._rates.changes)
        self.divide(self._clients)
