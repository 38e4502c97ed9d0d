"""The background task that keeps the job forecast up to date, in slices with time for heartbeats in between."""

from collections.abc import Callable
from datetime import timedelta

from badgerroute.coordination.shards.forecast import JobForecast
from badgerroute.settings import Settings
from badgerroute.transport.loop import Loop

UPDATE_INTERVAL = timedelta(milliseconds=500)
# Pause between the slices of a pass over the dependency graph that takes longer than one slice.
SLICE_PAUSE = timedelta(milliseconds=25)


class ForecastTask:
    """Updates `JobForecast` periodically."""

    def __init__(self, settings: Settings, loop: Loop, forecast: JobForecast) -> None:
        self._slice_limit, self._loop, self._forecast = settings.operator.scheduling.round, loop, forecast

    async def run(self) -> None:
        """Update the forecast until the task is cancelled.

        After a pass over the dependency graph that took n slices, n updates follow before the next pass.
        """
        updates_left = 0
        while True:
            await self._loop.sleep(UPDATE_INTERVAL)
            if updates_left == 0:
                updates_left = await self._compute_inheritance()
            updates_left -= 1
            self._forecast.update()

    async def _compute_inheritance(self) -> int:
        """Compute which priorities and due times jobs inherit. Return the number of slices that this took."""
        slices = 1
        while not self._forecast.advance_inheritance(self._start_slice()):
            slices += 1
            await self._loop.sleep(SLICE_PAUSE)
        return slices

    def _start_slice(self) -> Callable[[], bool]:
        """Return a function that tells whether the time for a slice that begins now has run out."""
        deadline = self._loop.now() + self._slice_limit
        return lambda: self._loop.now() > deadline
