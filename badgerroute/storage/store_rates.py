"""The key-value store's limits on requests and changes per second, divided equally among its clients."""

import logging
from datetime import timedelta
from typing import NamedTuple

from badgerroute.settings import StoreLimits
from badgerroute.storage.rate_limiter import RateLimiter
from badgerroute.transport.loop import Loop

log = logging.getLogger(__name__)
# The clients together use only this portion of the published rate limits. Their clocks differ from the store's, and a
# request that exceeds a limit is wasted, since it gets only status 429 (too many requests).
SAFETY_FACTOR = 0.95
REFUSALS_BEFORE_LOWERING = 3  # this many 429 responses within REFUSAL_WINDOW show that the store has lowered its limits
REFUSAL_WINDOW = timedelta(seconds=5)


class _Rates(NamedTuple):
    """The rate limits for all clients together, per second."""

    requests: float
    changes: float


class StoreRates:
    """One client's portion of the store's rate limits. `clients` is the number of clients that share the limits.

    The settings may announce lower future limits, but not when they take effect. Several 429 responses in quick
    succession show that they have taken effect, and from then on the client observes them.
    """

    def __init__(self, loop: Loop, limits: StoreLimits, clients: int) -> None:
        self._loop = loop
        self._limits = limits
        self._rates = _Rates(limits.rps, limits.write_rps)
        self._clients = clients
        self._refusals: list[timedelta] = []  # times of 429 responses within the last REFUSAL_WINDOW
        share = self._share(self._rates.requests)
        self.request_limiter = RateLimiter(loop, rate=share, burst=share)
        share = self._share(self._rates.changes)
        self.change_limiter = RateLimiter(loop, rate=share, burst=share)

    def divide(self, clients: int) -> None:
        """Divide the limits among this number of clients from now on.

        Controllers that have failed are not counted, so that the others can use their portions.
        """
        self._clients = clients
        share = self._share(self._rates.requests)
        self.request_limiter.set_rate(share, burst=share)
        share = self._share(self._rates.changes)
        self.change_limiter.set_rate(share, burst=share)

    def record_refusal(self) -> None:
        """Record a 429 response. The REFUSALS_BEFORE_LOWERING-th within REFUSAL_WINDOW lowers the rates.

        A single 429 response may occur when the bursts of two controllers coincide. Several show that the store has
        lowered its limits.
        """
        now = self._loop.now()
        self._refusals = [refused_at for refused_at in self._refusals if now - refused_at < REFUSAL_WINDOW]
        self._refusals.append(now)
        if len(self._refusals) >= REFUSALS_BEFORE_LOWERING:
            self._use_lower_rates()

    def _share(self, rate: float) -> float:
        """Return one client's portion of a rate. It is also the burst: a client may save up one second's tokens."""
        return rate * SAFETY_FACTOR / self._clients

    def _use_lower_rates(self) -> None:
        if self._rates == self._limits.lower_rates:
            return
        self._rates = _Rates(*self._limits.lower_rates)
        log.info("event=rate_limits_lowered by=429 rps=%g write_rps=%g", self._rates.requests, self._rates.changes)
        self.divide(self._clients)
