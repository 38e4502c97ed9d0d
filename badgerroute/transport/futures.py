"""Results that are to come, and the errors that end waiting for them."""

from collections.abc import Callable, Generator
from typing import Any


class CancelledError(BaseException):
    """Thrown into a task that is being cancelled; not an `Exception`, so that nobody swallows it."""


class TimeLimitError(Exception):
    """What a task was waiting for did not come within its limit. The caller may try again."""


class Future:
    """A result that is to come, for any number of waiters."""

    __slots__ = ("done", "result", "error", "waiters")

    def __init__(self) -> None:
        self.done = False
        self.result: Any = None
        self.error: BaseException | None = None
        self.waiters: list[Callable[[], None]] = []

    def set(self, result: Any = None) -> None:
        """Give the result and wake all waiters. Only the first call of `set` or `fail` counts."""
        if not self.done:
            self.done = True
            self.result = result
            self._wake()

    def fail(self, error: BaseException) -> None:
        """Give an error in place of the result: it is raised where the future is awaited."""
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
