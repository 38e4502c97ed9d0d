"""A rate limiter: a token bucket whose waiters are served by urgency, and within one urgency in order of arrival."""

import heapq
import itertools
from datetime import timedelta
from enum import IntEnum
from typing import NamedTuple

from badgerroute.transport.clock import ZERO
from badgerroute.transport.loop import Future, Loop, Timer

TIMER_MARGIN = timedelta(milliseconds=1)  # so that rounding does not wake the timer just before there is enough
MIN_BURST = 1.0


class Urgency(IntEnum):
    """Who is served first when there is not enough for all: lower values come first."""

    LEADERSHIP = 0
    CANCEL = 1
    SUBMIT = 2
    COMPLETE = 3
    READ = 4
    PROGRESS = 5


class RateLimitExceededError(Exception):
    """The rate limit leaves no room within the time that the caller can wait. Nothing was taken; it may try later."""


class _Waiter(NamedTuple):
    """A caller that waits for tokens. Sorted by urgency, then by order of arrival; `number` is unique."""

    urgency: Urgency
    number: int
    cost: float
    granted: Future


class RateLimiter:
    """A token bucket. `rate` is in tokens per second, `burst` the most tokens that are saved up (at least one)."""

    def __init__(self, loop: Loop, rate: float, burst: float) -> None:
        self._loop = loop
        self._rate = rate
        self._burst = max(MIN_BURST, burst)
        self._tokens = self._burst
        self._refilled_at = loop.now()
        self._waiting: list[_Waiter] = []
        self._numbers = itertools.count()
        self._timer: Timer | None = None

    @property
    def rate(self) -> float:
        """Tokens per second."""
        return self._rate

    def set_rate(self, rate: float, burst: float) -> None:
        """Use another rate and burst from now on. Has no effect, also not on the burst, if the rate is the same."""
        if rate != self._rate:
            self._refill()
            self._rate = rate
            self._burst = max(MIN_BURST, burst)

    async def take(self, cost: float, urgency: Urgency, limit: timedelta) -> None:
        """Wait for `cost` tokens, at most for `limit`; RateLimitExceededError if they don't come in that time.

        What costs more than the burst waits for a full bucket and leaves the rest as a debt.
        """
        self._refill()
        if not self._waiting and self._tokens >= min(cost, self._burst):
            self._tokens -= cost
            return
        granted = Future()
        heapq.heappush(self._waiting, _Waiter(urgency, next(self._numbers), cost, granted))
        self._arm_timer()
        try:
            if not await self._loop.first(granted, limit):
                raise RateLimitExceededError(f"no room in the rate limit within {limit.total_seconds():.1f} s")
        finally:
            if not granted.done:
                granted.set()  # a waiter that is done without tokens is skipped by `_serve`

    def _refill(self) -> None:
        now = self._loop.now()
        gained = (now - self._refilled_at) / timedelta(seconds=1) * self._rate
        self._tokens = min(self._burst, self._tokens + gained)
        self._refilled_at = now

    def _arm_timer(self) -> None:
        if self._timer is None and self._waiting:
            missing = max(0.0, min(self._waiting[0].cost, self._burst) - self._tokens)
            wait = timedelta(seconds=missing / self._rate) + TIMER_MARGIN
            self._timer = self._loop.later(max(wait, ZERO), self._serve)

    def _serve(self) -> None:
        self._timer = None
        self._refill()
        while self._waiting:
            first = self._waiting[0]
            if first.granted.done:
                heapq.heappop(self._waiting)
            elif self._tokens >= min(first.cost, self._burst):
                heapq.heappop(self._waiting)
                self._tokens -= first.cost
                first.granted.set()
            else:
                break
        self._arm_timer()
