"""Backoff for rental requests to machine pools that lack capacity."""

from datetime import timedelta
from typing import NamedTuple

from badgerroute.scheduling.scale_out_planning import MachinePool
from badgerroute.transport.clock import ZERO
from badgerroute.transport.loop import Loop

MIN_PAUSE = timedelta(seconds=10)
MAX_PAUSE = timedelta(seconds=60)


class _Backoff(NamedTuple):
    """No request before `until`, which is when the latest `pause` ends."""

    until: timedelta
    pause: timedelta


NO_BACKOFF = _Backoff(ZERO, MIN_PAUSE / 2)


class RentalBackoff:
    """Decides which pools may be asked for machines. A pool's pause doubles with each request that yields none."""

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._backoffs: dict[MachinePool, _Backoff] = {}

    def allows(self, pool: MachinePool) -> bool:
        """Return whether machines of a pool may be requested now."""
        return self._loop.now() >= self._backoffs.get(pool, NO_BACKOFF).until

    def record(self, pool: MachinePool, requested: int, rented: int) -> None:
        """Record the outcome of a request: how many of the requested machines were rented."""
        if rented >= requested:
            self._backoffs.pop(pool, None)
            return
        pause = MIN_PAUSE
        if not rented:
            pause = min(2 * self._backoffs.get(pool, NO_BACKOFF).pause, MAX_PAUSE)
        self._backoffs[pool] = _Backoff(self._loop.now() + pause, pause)
