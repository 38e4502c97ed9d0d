"""A rate limiter: a token bucket that serves waiters by urgency, and in order of arrival within an urgency."""

import heapq
import itertools
from datetime import timedelta
from enum import IntEnum
from typing import NamedTuple

from badgerroute.transport.clock import ZERO
from badgerroute.transport.loop import Future, Loop, Timer

TIMER_MARGIN = timedelta(milliseconds=1)  # so that rounding does not fire the timer just before there are enough tokens
MIN_BURST = 1.0


class Urgency(IntEnum):
    """The order in which requests are served when tokens are scarce: lower values first."""

    LEADERSHIP = 0
    CANCEL = 1
    SUBMIT = 2
    COMPLETE = 3
    READ = 4
    PROGRESS = 5


class RateLimitExceededError(Exception):
    """The tokens did not become available within the caller's timeout. None were taken, so the caller may retry."""


class _Waiter(NamedTuple):
    """A caller that waits for tokens. Sorted by urgency, then by `number`, which is unique and follows arrival."""

    urgency: Urgency
    number: int
    cost: float
    granted: Future


class RateLimiter:
    """A token bucket. `rate` is in tokens per second. `burst` is the bucket's capacity; it is raised to 1 if lower."""

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
        """The refill rate, in tokens per second."""
        return self._rate

    def set_rate(self, rate: float, burst: float) -> None:
        """Change the rate and the burst. If the rate is the current one, the burst is not changed either."""
        if rate != self._rate:
            self._refill()
            self._rate = rate
            self._burst = max(MIN_BURST, burst)

    async def take(self, cost: float, urgency: Urgency, timeout: timedelta) -> None:
        """Take `cost` tokens. Raise RateLimitExceededError if they don't become available within `timeout`.

        If `cost` exceeds the burst, the caller waits for a full bucket, and the number of tokens becomes negative.
        """
        self._refill()
        if not self._waiting and self._tokens >= min(cost, self._burst):
            self._tokens -= cost
            return
        granted = Future()
        heapq.heappush(self._waiting, _Waiter(urgency, next(self._numbers), cost, granted))
        self._arm_timer()
        try:
            if not await self._loop.first(granted, timeout):
                raise RateLimitExceededError(f"rate limit exceeded: no tokens within {timeout.total_seconds():.1f} s")
        finally:
            if not granted.done:
                granted.set()  # timed out or cancelled: `_serve` skips this waiter

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
            first_waiter = self._waiting[0]
            if first_waiter.granted.done:
                heapq.heappop(self._waiting)
            elif self._tokens >= min(first_waiter.cost, self._burst):
                heapq.heappop(self._waiting)
                self._tokens -= first_waiter.cost
                first_waiter.granted.set()
            else:
                break
        self._arm_timer()
