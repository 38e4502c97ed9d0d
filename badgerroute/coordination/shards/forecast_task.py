"""Keeps the forecast of jobs up to date, in slices that leave time for the heartbeats in between."""

from collections.abc import Callable
from datetime import timedelta

from badgerroute.coordination.shards.forecast import JobForecast
from badgerroute.settings import Settings
from badgerroute.transport.loop import Loop

UPDATE_INTERVAL = timedelta(milliseconds=500)
SLICE_PAUSE = timedelta(milliseconds=25)  # between two slices of a pass that takes longer than one round


class ForecastTask:
    """The periodic update of `JobForecast`."""

    def __init__(self, settings: Settings, loop: Loop, forecast: JobForecast) -> None:
        self._round, self._loop, self._forecast = settings.operator.scheduling.round, loop, forecast

    async def run(self) -> None:
        """Update for ever. A pass over the dependency graph that took so many slices is made as many updates apart."""
        updates_left = 0
        while True:
            await self._loop.sleep(UPDATE_INTERVAL)
            if updates_left == 0:
                updates_left = await self._inherit()
            updates_left -= 1
            self._forecast.update()

    async def _inherit(self) -> int:
        """Work out what jobs take over from their dependents; the number of slices that it took."""
        slices = 1
        while not self._forecast.inherit(self._round_is_over()):
            slices += 1
            await self._loop.sleep(SLICE_PAUSE)
        return slices

    def _round_is_over(self) -> Callable[[], bool]:
        """Tells when the time for a round that begins now is over."""
        deadline = self._loop.now() + self._round
        return lambda: self._loop.now() > deadline
