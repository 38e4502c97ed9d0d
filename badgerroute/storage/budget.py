"""Request budgets: a token bucket whose waiters are served by importance, then in order."""

import heapq
import itertools
from datetime import timedelta
from enum import IntEnum

from badgerroute.transport.clock import ZERO
from badgerroute.transport.loop import Future, Loop, Timer


class Urgency(IntEnum):
    """What is served first when there is not enough for all."""

    LEADERSHIP = 0
    CANCEL = 1
    SUBMIT = 2
    COMPLETE = 3
    READ = 4
    PROGRESS = 5


class BudgetExhaustedError(Exception):
    """The budget gives nothing within the time the asker can wait."""


class Budget:
    """A token bucket whose waiters are served by importance, then in order."""

    def __init__(self, loop: Loop, rate: float, burst: float) -> None:
        self._loop = loop
        self._rate, self._burst = rate, max(1.0, burst)
        self._tokens = self._burst
        self._at = loop.now()
        self._waiting: list[tuple[Urgency, int, float, Future]] = []
        self._order = itertools.count()
        self._timer: Timer | None = None

    def limit(self, rate: float, burst: float) -> None:
        """A new rate from now on."""
        if rate != self._rate:
            self._refill()
            self._rate, self._burst = rate, max(1.0, burst)

    def _refill(self) -> None:
        now = self._loop.now()
        self._tokens = min(self._burst, self._tokens + (now - self._at) / timedelta(seconds=1) * self._rate)
        self._at = now

    async def take(self, cost: float, urgency: Urgency, limit: timedelta) -> None:
        """Wait for so many tokens. What costs more than the burst takes all of it, and the rest as a debt."""
        self._refill()
        if not self._waiting and self._tokens >= min(cost, self._burst):
            self._tokens -= cost
            return
        granted = Future()
        heapq.heappush(self._waiting, (urgency, next(self._order), cost, granted))
        self._arm()
        try:
            if not await self._loop.first(granted, limit):
                raise BudgetExhaustedError(f"no budget within {limit.total_seconds():.1f} s")
        finally:
            if not granted.done:
                granted.set()  # whoever looks at it next skips it

    def _arm(self) -> None:
        if self._timer is None and self._waiting:
            missing = max(0.0, min(self._waiting[0][2], self._burst) - self._tokens)
            wait = timedelta(seconds=missing / self._rate) + timedelta(milliseconds=1)
            self._timer = self._loop.later(max(wait, ZERO), self._serve)

    def _serve(self) -> None:
        self._timer = None
        self._refill()
        while self._waiting:
            _, _, cost, granted = self._waiting[0]
            if granted.done:
                heapq.heappop(self._waiting)
            elif self._tokens >= min(cost, self._burst):
                heapq.heappop(self._waiting)
                self._tokens -= cost
                granted.set()
            else:
                break
        self._arm()
