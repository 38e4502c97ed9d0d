"""Tasks: coroutines that a loop runs step by step."""

import logging
from collections import deque
from collections.abc import Coroutine
from typing import Protocol

from badgerroute.transport.futures import CancelledError, Future

log = logging.getLogger(__name__)


class TaskRunner(Protocol):
    """What a task needs of its loop: the queue of tasks to be stepped, and the task that is stepped now."""

    ready: "deque[CoroutineTask]"
    current: "CoroutineTask | None"


class CoroutineTask(Future):
    """A running coroutine; awaiting it gives its result.

    It waits for one `Future` at a time, so each of its suspension points can be cancelled in the same way.
    """

    __slots__ = ("loop", "coro", "name", "_thrown", "_waiting", "_scheduled")

    def __init__(self, loop: TaskRunner, coro: Coroutine, name: str) -> None:
        super().__init__()
        self.loop = loop
        self.coro = coro
        self.name = name
        self._thrown: BaseException | None = None  # to be raised in the coroutine at its next step
        self._waiting: Future | None = None
        self._scheduled = False

    def cancel(self) -> None:
        """End the task at its next step by CancelledError."""
        self.throw(CancelledError())

    def throw(self, error: BaseException) -> None:
        """Raise `error` at the point where the task waits. Cancellation outranks a time limit."""
        if self.done:
            return
        if self._thrown is None or isinstance(error, CancelledError):
            self._thrown = error
        self.schedule()

    def withdraw(self, error: BaseException) -> None:
        """Don't raise `error` after all, if it was thrown and the task was not stepped since."""
        if self._thrown is error:
            self._thrown = None

    def schedule(self) -> None:
        """Step the task in the loop's next round."""
        if not self._scheduled and not self.done:
            self._scheduled = True
            self.loop.ready.append(self)

    def step(self) -> None:
        """Run the task until it waits for something."""
        self._scheduled = False
        if self.done:
            return
        waiting = self._waiting
        if waiting is not None and not waiting.done:
            if self._thrown is None:
                return  # woken for nothing: it waits on
            if self.schedule in waiting.waiters:
                waiting.waiters.remove(self.schedule)
        self._waiting = None
        self.loop.current = self
        try:
            if self._thrown is not None:
                error, self._thrown = self._thrown, None
                target = self.coro.throw(error)
            else:
                target = self.coro.send(None)
        except StopIteration as stop:
            self.set(stop.value)
        except CancelledError as error:
            self.fail(error)
        except Exception as error:
            self._fail_visibly(error)
        else:
            self._waiting = target
            if target.done or self._thrown is not None:
                self.schedule()
            else:
                target.waiters.append(self.schedule)
        finally:
            self.loop.current = None

    def _fail_visibly(self, error: Exception) -> None:
        """Fail; the error is logged if nobody waits for the task."""
        watched = bool(self.waiters)
        self.fail(error)
        if not watched:
            log.error("event=task_failed task=%s error=%r", self.name, error, exc_info=error)
