"""How long tasks of one shard wait in the queue, by team and job class, in histograms of bounded size."""

from dataclasses import dataclass
from datetime import timedelta

from hdrh.histogram import HdrHistogram

from badgerroute.protocol.mesh import ClassWaits
from badgerroute.scheduling.model import ZERO, Job
from badgerroute.scheduling.shard_state import ShardView

MIN_MS = 1
MAX_MS = 3_600_000  # one hour; longer waits count as one hour
SIGNIFICANT_DIGITS = 2
MAX_CLASSES = 200  # maximum number of (team, job class) pairs with their own histogram; others share one per team
OTHER_CLASSES = "*"
# The wait of tasks that returned to the queue is measured from their return, but for at most this many tasks of a job.
# The wait of all other tasks is measured from the acceptance of the job.
MAX_REQUEUED_COUNTED = 64
MILLISECOND = timedelta(milliseconds=1)

ClassKey = tuple[str, str]  # team, job class


def new_histogram() -> HdrHistogram:
    """Create an empty histogram of waits in milliseconds."""
    return HdrHistogram(MIN_MS, MAX_MS, SIGNIFICANT_DIGITS)


def record_wait(histogram: HdrHistogram, wait: timedelta, tasks: int = 1) -> None:
    """Record the same wait for a number of tasks."""
    histogram.record_value(min(MAX_MS, max(MIN_MS, wait // MILLISECOND)), tasks)


def percentile(histogram: HdrHistogram, percent: float) -> timedelta:
    """Return the given percentile of the waits, or zero if there are none."""
    if not histogram.get_total_count():
        return ZERO
    return histogram.get_value_at_percentile(percent) * MILLISECOND


@dataclass(slots=True)
class _PendingWaits:
    """The waiting tasks of one team and job class: histogram of their waits so far, their number, the longest wait."""

    histogram: HdrHistogram
    tasks: int = 0
    oldest: timedelta = ZERO


class RecentWaits:
    """Queue waits of recently placed tasks and of waiting tasks.

    The wait of a placed task is kept for at least half of `window` and normally at most all of it. Each half of the
    window has its own histograms, and those of the older half are dropped together.
    """

    def __init__(self, window: timedelta, now: timedelta) -> None:
        self._half = window / 2
        self._half_started_at = now
        self._current: dict[ClassKey, HdrHistogram] = {}
        self._previous: dict[ClassKey, HdrHistogram] = {}

    def record(self, job: Job, wait: timedelta, now: timedelta) -> None:
        """Record how long a task of the job waited before it was placed."""
        self._rotate(now)
        key = self._key(job)
        histogram = self._current.get(key)
        if histogram is None:
            histogram = self._current[key] = new_histogram()
        record_wait(histogram, wait)

    def _rotate(self, now: timedelta) -> None:
        if now - self._half_started_at < self._half:
            return
        both_halves_expired = now - self._half_started_at >= 2 * self._half
        self._previous = {} if both_halves_expired else self._current
        self._current = {}
        self._half_started_at = now

    def _key(self, job: Job) -> ClassKey:
        key = (job.spec.team, job.spec.job_class)
        if key in self._current or len(self._current) < MAX_CLASSES:
            return key
        return job.spec.team, OTHER_CLASSES

    def snapshot(self, shard: ShardView, now: timedelta) -> list[ClassWaits]:
        """Return the waits by team and job class, in the form in which they are reported to the other controllers."""
        self._rotate(now)
        pending = self._pending_by_class(shard, now)
        snapshot = []
        for key in {**self._previous, **self._current, **pending}:
            histogram = new_histogram()
            for histogram_of_half in (self._previous.get(key), self._current.get(key)):
                if histogram_of_half is not None:
                    histogram.add(histogram_of_half)
            waiting = pending.get(key)
            if waiting is not None:
                histogram.add(waiting.histogram)
            tasks, oldest = (waiting.tasks, waiting.oldest) if waiting is not None else (0, ZERO)
            snapshot.append(ClassWaits(*key, tasks, oldest.total_seconds(), histogram.encode().decode()))
        return snapshot

    def _pending_by_class(self, shard: ShardView, now: timedelta) -> dict[ClassKey, _PendingWaits]:
        """Return the tasks that wait for free capacity, by team and job class.

        Tasks that wait for quota of their own team are left out, since the tasks of other teams do not delay them.
        """
        pending_by_class: dict[ClassKey, _PendingWaits] = {}
        for job in shard.jobs.values():
            count = job.startable
            if not count or job.failing or job.blocked_until > now or shard.waits_for_quota(job):
                continue
            pending = pending_by_class.setdefault(self._key(job), _PendingWaits(new_histogram()))
            pending.tasks += count
            pending.oldest = max(pending.oldest, now - job.accepted)
            requeued = list(job.requeued.values())[: min(count, MAX_REQUEUED_COUNTED)]
            for requeued_at in requeued:
                record_wait(pending.histogram, now - requeued_at)
            if count > len(requeued):
                record_wait(pending.histogram, now - job.accepted, count - len(requeued))
        return pending_by_class


def machines_by_utilization(shard: ShardView) -> list[int]:
    """Return ten counts: the number of machines with a CPU utilization below 10%, from 10% to below 20%, and so on."""
    counts = [0] * 10
    for machine in shard.machines.values():
        used = 1.0 - machine.free.cpus / machine.machine_type.cpus if machine.machine_type.cpus else 0.0
        counts[min(9, max(0, int(used * 10)))] += 1
    return counts
