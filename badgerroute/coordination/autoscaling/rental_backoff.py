"""Backoff for rental requests to machine pools (a machine type in a zone, spot or not) that lack capacity."""

from datetime import timedelta
from typing import NamedTuple

from badgerroute.scheduling.scale_out_planning import MachinePool
from badgerroute.transport.clock import ZERO
from badgerroute.transport.loop import Loop

MIN_PAUSE = timedelta(seconds=10)
MAX_PAUSE = timedelta(seconds=60)


class _Backoff(NamedTuple):
    """The latest pause of a pool: its length, and the time `until` which no machines are requested."""

    until: timedelta
    pause: timedelta


NO_BACKOFF = _Backoff(ZERO, MIN_PAUSE / 2)


class RentalBackoff:
    """Decides from which pools machines may be requested.

    After a request that yields too few machines, the pool is not used for a pause. The pause is MIN_PAUSE if some
    machines were rented. If none were, it is twice the previous pause, from MIN_PAUSE up to MAX_PAUSE.
    """

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
