"""Queue waits of one shard by team and job class, in histograms of bounded size."""

from dataclasses import dataclass
from datetime import timedelta

from hdrh.histogram import HdrHistogram

from badgerroute.protocol.mesh import ClassWaits
from badgerroute.scheduling.model import ZERO, Job
from badgerroute.scheduling.shard_state import ShardView

MIN_MS = 1
MAX_MS = 3_600_000  # an hour: longer waits count as this
SIGNIFICANT_DIGITS = 2
MAX_CLASSES = 200  # teams times job classes that are told apart; what comes beyond counts for its team alone
OTHER_CLASSES = "*"
MAX_REQUEUED_COUNTED = 64  # tasks of a job whose waits are counted one by one
MILLISECOND = timedelta(milliseconds=1)

ClassKey = tuple[str, str]  # team, job class


def new_histogram() -> HdrHistogram:
    """An empty histogram of milliseconds."""
    return HdrHistogram(MIN_MS, MAX_MS, SIGNIFICANT_DIGITS)


def record_wait(histogram: HdrHistogram, wait: timedelta, tasks: int = 1) -> None:
    """Count so many tasks that waited for so long."""
    histogram.record_value(min(MAX_MS, max(MIN_MS, wait // MILLISECOND)), tasks)


def percentile(histogram: HdrHistogram, percent: float) -> timedelta:
    """The wait that so many percent of the tasks did not exceed; none if there are no tasks."""
    if not histogram.get_total_count():
        return ZERO
    return histogram.get_value_at_percentile(percent) * MILLISECOND


@dataclass(slots=True)
class _Pending:
    """Tasks of one class that wait by now."""

    histogram: HdrHistogram
    tasks: int = 0
    oldest: timedelta = ZERO


class RecentWaits:
    """Waits of the tasks that were started within the last window, and of those that wait by now.

    The window is kept in two halves: what is told covers between half of it and all of it.
    """

    def __init__(self, window: timedelta, now: timedelta) -> None:
        self._half = window / 2
        self._began = now
        self._current: dict[ClassKey, HdrHistogram] = {}
        self._previous: dict[ClassKey, HdrHistogram] = {}

    def record(self, job: Job, wait: timedelta, now: timedelta) -> None:
        """A task of the job was placed after it had waited for so long."""
        self._rotate(now)
        key = self._key(job)
        histogram = self._current.get(key)
        if histogram is None:
            histogram = self._current[key] = new_histogram()
        record_wait(histogram, wait)

    def _rotate(self, now: timedelta) -> None:
        if now - self._began < self._half:
            return
        overdue = now - self._began >= 2 * self._half
        self._previous = {} if overdue else self._current
        self._current = {}
        self._began = now

    def _key(self, job: Job) -> ClassKey:
        key = (job.spec.team, job.spec.job_class)
        if key in self._current or len(self._current) < MAX_CLASSES:
            return key
        return job.spec.team, OTHER_CLASSES

    def snapshot(self, shard: ShardView, now: timedelta) -> list[ClassWaits]:
        """The waits as the other controllers are told of them."""
        self._rotate(now)
        pending = self._pending(shard, now)
        snapshot = []
        for key in {**self._previous, **self._current, **pending}:
            histogram = new_histogram()
            for known in (self._previous.get(key), self._current.get(key)):
                if known is not None:
                    histogram.add(known)
            waiting = pending.get(key)
            if waiting is not None:
                histogram.add(waiting.histogram)
            tasks, oldest = (waiting.tasks, waiting.oldest) if waiting is not None else (0, ZERO)
            snapshot.append(ClassWaits(*key, tasks, oldest.total_seconds(), histogram.encode().decode()))
        return snapshot

    def _pending(self, shard: ShardView, now: timedelta) -> dict[ClassKey, _Pending]:
        """Tasks that wait for a place. What waits for its team's limit waits for nobody else's work."""
        found: dict[ClassKey, _Pending] = {}
        for job in shard.jobs.values():
            count = job.startable
            if not count or job.failing or job.blocked_until > now or shard.short_of_quota(job):
                continue
            pending = found.setdefault(self._key(job), _Pending(new_histogram()))
            pending.tasks += count
            pending.oldest = max(pending.oldest, now - job.accepted)
            requeued = list(job.requeued.values())[: min(count, MAX_REQUEUED_COUNTED)]
            for since in requeued:
                record_wait(pending.histogram, now - since)
            if count > len(requeued):
                record_wait(pending.histogram, now - job.accepted, count - len(requeued))
        return found


def busy_machines(shard: ShardView) -> list[int]:
    """How many machines are up to a tenth used, up to two tenths, and so on."""
    counts = [0] * 10
    for machine in shard.machines.values():
        used = 1.0 - machine.free.cpus / machine.kind.cpus if machine.kind.cpus else 0.0
        counts[min(9, max(0, int(used * 10)))] += 1
    return counts
