"""Statistics of queue waits in the fleet, by team, job class and shard, merged from the reports of all shards."""

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
MEDIAN_PERCENT = 50.0
TAIL_PERCENT = 95.0
MAX_HISTOGRAM_CHARS = 8192  # maximum length of a peer's encoded histogram; a typical one has a few hundred

DECODE_ERRORS = (HdrCookieException, HdrHistogramSettingsException, HdrLengthException, ValueError, zlib.error)


@dataclass(frozen=True, slots=True)
class ShardWaitReport:
    """The latest summary of a shard, and the time since it was received; zero for a shard led by this controller."""

    summary: ShardSummary
    age: timedelta


@dataclass(slots=True)
class WaitStatistics:
    """Wait statistics of a team, of one of its job classes, of a shard or of the fleet.

    The histogram holds the waits of recently placed tasks, and the waits so far of tasks that are still waiting.
    `waiting` is the number of tasks that are still waiting, and `oldest` is the longest of their waits.
    """

    histogram: HdrHistogram = field(default_factory=new_histogram)
    waiting: int = 0
    oldest: timedelta = ZERO

    def add(self, waits: ClassWaits) -> None:
        """Add the waits that a shard reports. Its histogram is ignored if it is too long or can't be decoded."""
        if len(waits.histogram) <= MAX_HISTOGRAM_CHARS:
            try:
                self.histogram.decode_and_add(waits.histogram.encode())
            except DECODE_ERRORS as error:
                log.debug("event=waits_rejected team=%s error=%s", waits.team, error)
        self.waiting += waits.waiting
        self.oldest = max(self.oldest, timedelta(seconds=waits.oldest_s))

    def describe(self) -> str:
        """Format the statistics for a log line."""
        return (
            f"waiting={self.waiting} median={self.median.total_seconds():.1f} p95={self.tail.total_seconds():.1f} "
            f"oldest={self.oldest.total_seconds():.1f}"
        )

    @property
    def task_count(self) -> int:
        """Return the number of tasks in the histogram, both recently placed and waiting ones."""
        return self.histogram.get_total_count()

    @property
    def median(self) -> timedelta:
        """Return the median of the waits in the histogram."""
        return percentile(self.histogram, MEDIAN_PERCENT)

    @property
    def tail(self) -> timedelta:
        """Return the 95th percentile of the waits in the histogram."""
        return percentile(self.histogram, TAIL_PERCENT)


class FleetView:
    """Wait statistics of the fleet, computed from recent reports only.

    The statistics leave out shards whose report is older than `stale_after` or does not contain the shard's load. These
    shards are listed in `stale_shards` and `shards_without_load`.
    """

    def __init__(self, reports: list[ShardWaitReport], stale_after: timedelta) -> None:
        self.fleet = WaitStatistics()
        self._fleet_median: timedelta | None = None
        self.teams: dict[str, WaitStatistics] = {}
        self.classes: dict[tuple[str, str], WaitStatistics] = {}
        self.shards: dict[int, WaitStatistics] = {}
        self.machines_by_load = [0] * 10  # number of machines in each tenth of CPU utilization, lowest first
        self.summaries: list[ShardSummary] = []  # summaries that are not stale and contain the shard's load
        self.stale_shards: list[int] = []
        self.shards_without_load: list[int] = []  # their leaders run older versions, which do not report the load
        latest: dict[int, ShardWaitReport] = {}  # the old and the new leader might briefly both report a shard
        for report in sorted(reports, key=lambda report: report.age, reverse=True):
            latest[report.summary.shard] = report
        for report in latest.values():
            load = report.summary.load
            if report.age > stale_after:
                self.stale_shards.append(report.summary.shard)
            elif not isinstance(load, ShardLoad):
                self.shards_without_load.append(report.summary.shard)
            else:
                self.summaries.append(report.summary)
                self._add(report.summary.shard, load)

    def _add(self, shard: int, load: ShardLoad) -> None:
        self.shards[shard] = WaitStatistics()
        for waits in load.waits:
            self.fleet.add(waits)
            self.shards[shard].add(waits)
            self.teams.setdefault(waits.team, WaitStatistics()).add(waits)
            self.classes.setdefault((waits.team, waits.job_class), WaitStatistics()).add(waits)
        for decile, count in enumerate(load.machines_by_load[: len(self.machines_by_load)]):
            self.machines_by_load[decile] += count

    def wait_ratio(self, team: str, min_wait: timedelta) -> float:
        """Return a team's median wait divided by the fleet's median wait, or 1 if no waits of the team are known.

        Each of the two medians counts as at least `min_wait`.
        """
        team_waits = self.teams.get(team)
        if team_waits is None or not team_waits.task_count:
            return 1.0
        if self._fleet_median is None:
            self._fleet_median = self.fleet.median
        return max(team_waits.median, min_wait) / max(self._fleet_median, min_wait)
