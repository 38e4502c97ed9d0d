"""Futures, and the errors that end a wait early."""

from collections.abc import Callable, Generator
from typing import Any


class CancelledError(BaseException):
    """Raised in a task that is cancelled. It is not an `Exception`, so that `except Exception` does not catch it."""


class TimeLimitError(Exception):
    """An operation timed out. The caller may try again."""


class Future:
    """A result or an error that is not available yet; any number of tasks and callbacks can wait for it."""

    __slots__ = ("done", "result", "error", "waiters")

    def __init__(self) -> None:
        self.done = False
        self.result: Any = None
        self.error: BaseException | None = None
        self.waiters: list[Callable[[], None]] = []

    def set(self, result: Any = None) -> None:
        """Set the result and wake all waiters. Do nothing if the future is already done."""
        if not self.done:
            self.done = True
            self.result = result
            self._wake()

    def fail(self, error: BaseException) -> None:
        """Set an error, which is raised wherever the future is awaited. Do nothing if the future is already done."""
        if not self.done:
            self.done = True
            self.error = error
            self._wake()

    def _wake(self) -> None:
        waiters, self.waiters = self.waiters, []
        for waiter in waiters:
            waiter()

    def __await__(self) -> Generator["Future", None, Any]:
        if not self.done:
            yield self
        if self.error is not None:
            raise self.error
        return self.result
