"""A semaphore: so many tasks at a time."""

import heapq
import itertools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import NamedTuple

from badgerroute.transport.futures import Future


class _Waiter(NamedTuple):
    """Sorted: urgent ones first, then by order of arrival; `number` is unique."""

    not_urgent: bool
    number: int
    admitted: Future


class Semaphore:
    """Lets so many tasks through at a time; the others wait, urgent ones first, then in order."""

    def __init__(self, places: int) -> None:
        self.free = places
        self._waiting: list[_Waiter] = []
        self._numbers = itertools.count()

    @asynccontextmanager
    async def acquire(self, urgent: bool = False) -> AsyncIterator[None]:
        """A context that is entered when there is a place."""
        if self.free > 0:
            self.free -= 1
        else:
            await self._wait_for_place(urgent)
        try:
            yield
        finally:
            self._release()

    async def _wait_for_place(self, urgent: bool) -> None:
        admitted = Future()
        heapq.heappush(self._waiting, _Waiter(not urgent, next(self._numbers), admitted))
        try:
            await admitted
        except BaseException:
            if admitted.done:  # cancelled just as its turn came: the place goes to the next
                self._release()
            else:
                admitted.set()  # `_release` skips a waiter that is done
            raise

    def _release(self) -> None:
        while self._waiting:
            admitted = heapq.heappop(self._waiting).admitted
            if not admitted.done:
                admitted.set()
                return
        self.free += 1
