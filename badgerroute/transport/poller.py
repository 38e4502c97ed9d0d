"""Pollers, which block the event loop until a socket is ready or a time limit has passed."""

import selectors
from collections.abc import Iterable
from datetime import timedelta
from typing import Protocol

from badgerroute.transport.clock import VirtualClock
from badgerroute.transport.futures import Future


class Poller(Protocol):
    """Waits until a file descriptor is ready or a time limit has passed."""

    def poll(self, limit: timedelta | None) -> None:
        """Wait for at most `limit` (None: without limit), and wake the waiters of the descriptors that became ready."""


def _combine_events(events: Iterable[int]) -> int:
    mask = 0
    for event in events:
        mask |= event
    return mask


class SelectorPoller:
    """Waits for file descriptors with the selectors of the operating system."""

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        self._waiters: dict[int, dict[int, Future]] = {}  # descriptor -> event -> future of its waiter

    def wait(self, fileno: int, event: int) -> Future:
        """Return a future that is set once a descriptor is ready for `selectors.EVENT_READ` or `EVENT_WRITE`."""
        future = Future()
        futures_by_event = self._waiters.setdefault(fileno, {})
        registered = bool(futures_by_event)
        futures_by_event[event] = future
        if registered:
            self._selector.modify(fileno, _combine_events(futures_by_event))
        else:
            self._selector.register(fileno, _combine_events(futures_by_event))
        return future

    def cancel_waits(self, fileno: int) -> None:
        """End all waits for a descriptor that is about to be closed: ConnectionError is raised in the waiting tasks."""
        futures_by_event = self._waiters.pop(fileno, None)
        if futures_by_event:
            self._selector.unregister(fileno)
            for future in futures_by_event.values():
                future.fail(ConnectionError("connection closed locally"))

    def poll(self, limit: timedelta | None) -> None:
        """Wait for at most `limit` (None: without limit), and set the futures of the descriptors that became ready."""
        timeout = None if limit is None else max(0.0, limit.total_seconds())
        for key, mask in self._selector.select(timeout):
            self._wake(key.fd, mask)

    def _wake(self, fileno: int, mask: int) -> None:
        futures_by_event = self._waiters.get(fileno)
        if not futures_by_event:
            return
        for event in (selectors.EVENT_READ, selectors.EVENT_WRITE):
            if mask & event and event in futures_by_event:
                futures_by_event.pop(event).set()
        if futures_by_event:
            self._selector.modify(fileno, _combine_events(futures_by_event))
        else:
            del self._waiters[fileno]
            self._selector.unregister(fileno)


class VirtualPoller:
    """A poller for tests. It polls no descriptors, and advances a virtual clock instead of waiting."""

    def __init__(self, clock: VirtualClock) -> None:
        self._clock = clock

    def poll(self, limit: timedelta | None) -> None:
        """Advance the virtual clock by `limit`, as if the whole time had passed."""
        if limit is None:
            raise RuntimeError("deadlock: all tasks are waiting and no timer is set")
        self._clock.advance(self._clock.now() + limit)
