"""Waiting for sockets of the real system, or for the virtual clock."""

import selectors
from collections.abc import Iterable
from datetime import timedelta
from typing import Protocol

from badgerroute.transport.clock import VirtualClock
from badgerroute.transport.futures import Future


class Poller(Protocol):
    """Waits for sockets, or for a time."""

    def poll(self, limit: timedelta | None) -> None:
        """Wait up to `limit` (None: no limit) and wake whoever's descriptor became ready."""


def _mask(events: Iterable[int]) -> int:
    mask = 0
    for event in events:
        mask |= event
    return mask


class SelectorPoller:
    """Descriptors of the real system."""

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        self._interest: dict[int, dict[int, Future]] = {}  # descriptor -> event -> who waits for it

    def wait(self, fileno: int, event: int) -> Future:
        """A future that is set once a file descriptor is ready (`selectors.EVENT_READ` or `EVENT_WRITE`)."""
        future = Future()
        waiting = self._interest.setdefault(fileno, {})
        registered = bool(waiting)
        waiting[event] = future
        if registered:
            self._selector.modify(fileno, _mask(waiting))
        else:
            self._selector.register(fileno, _mask(waiting))
        return future

    def forget(self, fileno: int) -> None:
        """Stop waiting for a file descriptor that is about to be closed; waiters get ConnectionError."""
        waiting = self._interest.pop(fileno, None)
        if waiting:
            self._selector.unregister(fileno)
            for future in waiting.values():
                future.fail(ConnectionError("closed here"))

    def poll(self, limit: timedelta | None) -> None:
        """Wait for descriptors to become ready, for so long at most; None: for as long as it takes."""
        timeout = None if limit is None else max(0.0, limit.total_seconds())
        for key, mask in self._selector.select(timeout):
            self._wake(key.fd, mask)

    def _wake(self, fileno: int, mask: int) -> None:
        waiting = self._interest.get(fileno)
        if not waiting:
            return
        for event in (selectors.EVENT_READ, selectors.EVENT_WRITE):
            if mask & event and event in waiting:
                waiting.pop(event).set()
        if waiting:
            self._selector.modify(fileno, _mask(waiting))
        else:
            del self._interest[fileno]
            self._selector.unregister(fileno)


class VirtualPoller:
    """No descriptors at all: waiting only moves the virtual clock."""

    def __init__(self, clock: VirtualClock) -> None:
        self._clock = clock

    def poll(self, limit: timedelta | None) -> None:
        """Let the virtual clock jump to the end of the wait."""
        if limit is None:
            raise RuntimeError("every task waits and no timer is set")
        self._clock.advance(self._clock.now() + limit)
