"""Actions at a time, and time limits for what a task does."""

from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

from badgerroute.transport.futures import TimeLimitError
from badgerroute.transport.tasks import CoroutineTask


def do_nothing() -> None:
    """The action of a cancelled timer, or of a waiter that only has to be there."""


class Timer:
    """An action at a time, unless it is cancelled before."""

    __slots__ = ("action", "cancelled")

    def __init__(self, action: Callable[[], None]) -> None:
        self.action = action
        self.cancelled = False

    def cancel(self) -> None:
        """Don't run the action. What it refers to is let go of at once."""
        self.cancelled = True
        self.action = do_nothing


class TimerLoop(Protocol):
    """What a deadline needs of its loop."""

    current: CoroutineTask | None

    def later(self, delta: timedelta, action: Callable[[], None]) -> Timer:
        """Run an action after so long."""


class Deadline:
    """`with loop.limit(delta):` raises TimeLimitError in the body when the time is over."""

    __slots__ = ("_loop", "_delta", "_timer", "_error")

    def __init__(self, loop: TimerLoop, delta: timedelta) -> None:
        self._loop = loop
        self._delta = delta

    def __enter__(self) -> "Deadline":
        task = self._loop.current
        assert task is not None, "a time limit is for a task"
        self._error = TimeLimitError(f"no answer within {self._delta.total_seconds():.2f} s")
        self._timer = self._loop.later(self._delta, lambda: task.throw(self._error))
        return self

    def __exit__(self, kind: type | None, value: BaseException | None, trace: object) -> None:
        self._timer.cancel()
        task = self._loop.current
        if task is not None:
            task.withdraw(self._error)  # it ran out just as the body ended: the body's result stands
