"""Limits how long a scheduling round may take, since it blocks the event loop of the process."""

from collections.abc import Callable
from datetime import timedelta

from badgerroute.transport.loop import Loop


def deadline_check(loop: Loop, deadline: timedelta) -> Callable[[], bool]:
    """Return a function that tells whether a deadline on the event loop's clock has passed."""

    def has_passed() -> bool:
        return loop.now() > deadline

    return has_passed
