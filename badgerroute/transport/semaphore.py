"""A semaphore that grants permits to urgent waiters first."""

import heapq
import itertools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import NamedTuple

from badgerroute.transport.futures import Future


class _Waiter(NamedTuple):
    """A task that waits for a permit. Waiters sort by urgency, then by `number`, which increases with each arrival."""

    not_urgent: bool
    number: int
    admitted: Future


class Semaphore:
    """Grants a limited number of permits, to urgent waiters first, and otherwise in order of arrival."""

    def __init__(self, permits: int) -> None:
        self.available_permits = permits
        self._waiting: list[_Waiter] = []
        self._numbers = itertools.count()

    @asynccontextmanager
    async def acquire(self, urgent: bool = False) -> AsyncIterator[None]:
        """Return a context manager that waits for a permit and releases it at the end."""
        if self.available_permits > 0:
            self.available_permits -= 1
        else:
            await self._wait_for_permit(urgent)
        try:
            yield
        finally:
            self._release()

    async def _wait_for_permit(self, urgent: bool) -> None:
        admitted = Future()
        heapq.heappush(self._waiting, _Waiter(not urgent, next(self._numbers), admitted))
        try:
            await admitted
        except BaseException:
            if admitted.done:  # this task was cancelled after it got a permit: pass the permit on
                self._release()
            else:
                admitted.set()  # so that `_release` skips this waiter
            raise

    def _release(self) -> None:
        while self._waiting:
            admitted = heapq.heappop(self._waiting).admitted
            if not admitted.done:
                admitted.set()
                return
        self.available_permits += 1
