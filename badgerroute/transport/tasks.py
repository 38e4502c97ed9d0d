"""Tasks: coroutines that are run by an event loop."""

import logging
from collections import deque
from collections.abc import Coroutine
from typing import Protocol

from badgerroute.transport.futures import CancelledError, Future

log = logging.getLogger(__name__)


class TaskRunner(Protocol):
    """The part of the event loop that tasks use: the queue of ready tasks, and the task that is running."""

    ready: "deque[CoroutineTask]"
    current: "CoroutineTask | None"


class CoroutineTask(Future):
    """A coroutine run by an event loop. It is a future of the coroutine's result.

    A task always waits for exactly one `Future`, so that it can be cancelled in the same way wherever it waits.
    """

    __slots__ = ("loop", "coro", "name", "_pending_error", "_awaited", "_scheduled")

    def __init__(self, loop: TaskRunner, coro: Coroutine, name: str) -> None:
        super().__init__()
        self.loop = loop
        self.coro = coro
        self.name = name
        self._pending_error: BaseException | None = None  # to be raised in the coroutine at its next step
        self._awaited: Future | None = None
        self._scheduled = False

    def cancel(self) -> None:
        """Raise CancelledError in the task at its next step."""
        self.throw(CancelledError())

    def throw(self, error: BaseException) -> None:
        """Raise an error in the task at its next step. CancelledError replaces any other pending error."""
        if self.done:
            return
        if self._pending_error is None or isinstance(error, CancelledError):
            self._pending_error = error
        self.schedule()

    def discard_error(self, error: BaseException) -> None:
        """Drop a pending error that was passed to `throw` and has not been raised yet."""
        if self._pending_error is error:
            self._pending_error = None

    def schedule(self) -> None:
        """Queue the task for its next step."""
        if not self._scheduled and not self.done:
            self._scheduled = True
            self.loop.ready.append(self)

    def step(self) -> None:
        """Run the coroutine until it waits for a future or ends."""
        self._scheduled = False
        if self.done:
            return
        awaited = self._awaited
        if awaited is not None and not awaited.done:
            if self._pending_error is None:
                return  # spurious wake-up: the awaited future is not done
            if self.schedule in awaited.waiters:
                awaited.waiters.remove(self.schedule)
        self._awaited = None
        self.loop.current = self
        try:
            if self._pending_error is not None:
                error, self._pending_error = self._pending_error, None
                next_awaited = self.coro.throw(error)
            else:
                next_awaited = self.coro.send(None)
        except StopIteration as stop:
            self.set(stop.value)
        except CancelledError as error:
            self.fail(error)
        except Exception as error:
            self._fail_and_log(error)
        else:
            self._awaited = next_awaited
            if next_awaited.done or self._pending_error is not None:
                self.schedule()
            else:
                next_awaited.waiters.append(self.schedule)
        finally:
            self.loop.current = None

    def _fail_and_log(self, error: Exception) -> None:
        """Fail with an error, and log it if nothing waits for the task."""
        has_waiters = bool(self.waiters)
        self.fail(error)
        if not has_waiters:
            log.error("event=task_failed task=%s error=%r", self.name, error, exc_info=error)
