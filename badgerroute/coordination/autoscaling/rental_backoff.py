"""Backoff for machine pools that have no capacity."""

from datetime import timedelta
from typing import NamedTuple

from badgerroute.scheduling.scale_out_planning import MachinePool
from badgerroute.transport.clock import ZERO
from badgerroute.transport.loop import Loop

MIN_PAUSE = timedelta(seconds=10)
MAX_PAUSE = timedelta(seconds=60)


class _Backoff(NamedTuple):
    """No request before `until`; the `pause` led to that."""

    until: timedelta
    pause: timedelta


NO_BACKOFF = _Backoff(ZERO, MIN_PAUSE / 2)


class RentalBackoff:
    """Which pools may be asked for machines. The pause of a pool doubles with every request that it refuses."""

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._backoffs: dict[MachinePool, _Backoff] = {}

    def allows(self, pool: MachinePool) -> bool:
        """Whether a pool may be asked now."""
        return self._loop.now() >= self._backoffs.get(pool, NO_BACKOFF).until

    def record(self, pool: MachinePool, asked: int, rented: int) -> None:
        """A pool had so many of the machines that it was asked for."""
        if rented >= asked:
            self._backoffs.pop(pool, None)
            return
        pause = MIN_PAUSE
        if not rented:
            pause = min(2 * self._backoffs.get(pool, NO_BACKOFF).pause, MAX_PAUSE)
        self._backoffs[pool] = _Backoff(self._loop.now() + pause, pause)
