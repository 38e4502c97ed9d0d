"""The view of imbalance: how long each team's tasks wait in the whole fleet, from what the shards tell."""

import logging
import zlib
from dataclasses import dataclass, field
from datetime import timedelta

from hdrh.codec import HdrCookieException, HdrHistogramSettingsException, HdrLengthException
from hdrh.histogram import HdrHistogram

from badgerroute.protocol.mesh import ClassWaits, ShardLoad, ShardSummary
from badgerroute.rebalancing.waits import new_histogram, percentile
from badgerroute.scheduling.model import ZERO

log = logging.getLogger(__name__)
MEDIAN = 50.0
TAIL = 95.0
MAX_HISTOGRAM_TEXT = 8192  # characters of a histogram that a peer sends: ours take a few hundred

UNREADABLE = (HdrCookieException, HdrHistogramSettingsException, HdrLengthException, ValueError, zlib.error)


@dataclass(frozen=True, slots=True)
class ShardReading:
    """What a shard told last, and how long ago."""

    summary: ShardSummary
    age: timedelta


@dataclass(slots=True)
class WaitStatistics:
    """Waits of a team, of one of its classes, or of the fleet."""

    histogram: HdrHistogram = field(default_factory=new_histogram)
    waiting: int = 0
    oldest: timedelta = ZERO

    def add(self, waits: ClassWaits) -> None:
        """Take in one shard's waits; what can't be read counts for nothing."""
        if len(waits.histogram) <= MAX_HISTOGRAM_TEXT:
            try:
                self.histogram.decode_and_add(waits.histogram.encode())
            except UNREADABLE as error:
                log.debug("event=waits_rejected team=%s error=%s", waits.team, error)
        self.waiting += waits.waiting
        self.oldest = max(self.oldest, timedelta(seconds=waits.oldest_s))

    def describe(self) -> str:
        """For a log line."""
        return (
            f"waiting={self.waiting} median={self.median.total_seconds():.1f} p95={self.tail.total_seconds():.1f} "
            f"oldest={self.oldest.total_seconds():.1f}"
        )

    @property
    def tasks(self) -> int:
        """How many tasks are counted, started lately or waiting."""
        return self.histogram.get_total_count()

    @property
    def median(self) -> timedelta:
        """The wait that half of the tasks did not exceed."""
        return percentile(self.histogram, MEDIAN)

    @property
    def tail(self) -> timedelta:
        """The wait that 95% of the tasks did not exceed."""
        return percentile(self.histogram, TAIL)


class FleetView:
    """Made of fresh readings only; shards whose reading is stale, or that tell nothing of it, are named."""

    def __init__(self, readings: list[ShardReading], stale_after: timedelta) -> None:
        self.fleet = WaitStatistics()
        self._fleet_median: timedelta | None = None
        self.teams: dict[str, WaitStatistics] = {}
        self.classes: dict[tuple[str, str], WaitStatistics] = {}
        self.shards: dict[int, WaitStatistics] = {}
        self.machines_by_load = [0] * 10
        self.summaries: list[ShardSummary] = []  # the fresh ones
        self.stale_shards: list[int] = []
        self.silent_shards: list[int] = []  # of versions that tell nothing of their load
        latest: dict[int, ShardReading] = {}  # two controllers may name a shard for a moment
        for reading in sorted(readings, key=lambda reading: reading.age, reverse=True):
            latest[reading.summary.shard] = reading
        for reading in latest.values():
            load = reading.summary.load
            if reading.age > stale_after:
                self.stale_shards.append(reading.summary.shard)
            elif not isinstance(load, ShardLoad):
                self.silent_shards.append(reading.summary.shard)
            else:
                self.summaries.append(reading.summary)
                self._add(reading.summary.shard, load)

    def _add(self, shard: int, load: ShardLoad) -> None:
        self.shards[shard] = WaitStatistics()
        for waits in load.waits:
            self.fleet.add(waits)
            self.shards[shard].add(waits)
            self.teams.setdefault(waits.team, WaitStatistics()).add(waits)
            self.classes.setdefault((waits.team, waits.job_class), WaitStatistics()).add(waits)
        for decile, count in enumerate(load.machines_by_load[: len(self.machines_by_load)]):
            self.machines_by_load[decile] += count

    def wait_ratio(self, team: str, least: timedelta) -> float:
        """How many times the fleet's median wait a team's is; waits below `least` count as that."""
        known = self.teams.get(team)
        if known is None or not known.tasks:
            return 1.0
        if self._fleet_median is None:
            self._fleet_median = self.fleet.median
        return max(known.median, least) / max(self._fleet_median, least)
