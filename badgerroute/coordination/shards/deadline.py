"""How long a round of decisions may take, since nothing else of the process runs meanwhile."""

from collections.abc import Callable
from datetime import timedelta

from badgerroute.transport.loop import Loop


def deadline_check(loop: Loop, deadline: timedelta) -> Callable[[], bool]:
    """Tells when a deadline on the loop's clock has passed."""

    def is_over() -> bool:
        return loop.now() > deadline

    return is_over
