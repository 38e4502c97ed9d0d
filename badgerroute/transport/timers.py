"""Timers, and time limits for the code that a task runs."""

from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

from badgerroute.transport.futures import TimeLimitError
from badgerroute.transport.tasks import CoroutineTask


def do_nothing() -> None:
    """Do nothing. It serves as the action of a cancelled timer and as a placeholder for a waiter."""


class Timer:
    """An action that the event loop runs at a given time, unless the timer is cancelled before that."""

    __slots__ = ("action", "cancelled")

    def __init__(self, action: Callable[[], None]) -> None:
        self.action = action
        self.cancelled = False

    def cancel(self) -> None:
        """Cancel the timer. The action is dropped at once, so that objects that it references can be freed."""
        self.cancelled = True
        self.action = do_nothing


class TimerLoop(Protocol):
    """The part of the event loop that a deadline uses."""

    current: CoroutineTask | None

    def later(self, delay: timedelta, action: Callable[[], None]) -> Timer:
        """Run an action after a delay. Return its timer, which can be cancelled."""


class Deadline:
    """A context manager that raises TimeLimitError in its body when the body exceeds a time limit; see Loop.limit."""

    __slots__ = ("_loop", "_limit", "_timer", "_error")

    def __init__(self, loop: TimerLoop, limit: timedelta) -> None:
        self._loop = loop
        self._limit = limit

    def __enter__(self) -> "Deadline":
        task = self._loop.current
        assert task is not None, "a time limit needs a running task"
        self._error = TimeLimitError(f"no answer within {self._limit.total_seconds():.2f} s")
        self._timer = self._loop.later(self._limit, lambda: task.throw(self._error))
        return self

    def __exit__(self, kind: type | None, value: BaseException | None, trace: object) -> None:
        self._timer.cancel()
        task = self._loop.current
        if task is not None:
            task.discard_error(self._error)  # if the time ran out as the body ended, the body's result counts
