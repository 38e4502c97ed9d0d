"""Caches results that depend on every machine of a shard, and recomputes them at most a few times a second."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from badgerroute.connectivity.overdue_heartbeats import count_overdue, is_overdue
from badgerroute.coordination.jobs.job_store import JobStore
from badgerroute.coordination.shards.summary import summarize
from badgerroute.protocol.cloud import MachineType
from badgerroute.protocol.mesh import ShardSummary
from badgerroute.scheduling.planner import Planner
from badgerroute.scheduling.scale_out_planning import scales_out_ahead
from badgerroute.scheduling.shard import Shard
from badgerroute.settings import Settings
from badgerroute.transport.loop import Loop

# A cached result is recomputed when its age reaches the larger of MIN_RENEWAL_AGE and RENEWAL_AGE_PER_MACHINE times the
# number of machines.
MIN_RENEWAL_AGE = timedelta(milliseconds=400)
RENEWAL_AGE_PER_MACHINE = timedelta(microseconds=500)  # visiting 4,000 machines takes some 30 ms of a core


@dataclass(frozen=True, slots=True)
class _CachedSummary:
    """A summary, and the time when it was made."""

    taken_at: timedelta
    summary: ShardSummary


@dataclass(frozen=True, slots=True)
class _CachedSilence:
    """The number of silent machines, and the time when they were counted."""

    taken_at: timedelta
    machines: int


class SummaryCache:
    """Caches the summary of one shard and the number of its silent machines, those whose heartbeats are overdue.

    `resumed_at`: returns when this process resumed after its last pause, during which it couldn't receive heartbeats.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        loop: Loop,
        shard: Shard,
        planner: Planner,
        job_store: JobStore,
        catalog: dict[str, MachineType],
        resumed_at: Callable[[], timedelta],
    ) -> None:
        self._settings, self._loop, self._shard, self._planner = settings, loop, shard, planner
        self._job_store, self._catalog, self._resumed_at = job_store, catalog, resumed_at
        self._heartbeat_interval = settings.params.workers.heartbeat_interval
        self._summary: _CachedSummary | None = None
        self._silence: _CachedSilence | None = None

    def summary(self) -> ShardSummary:
        """Return the summary that is sent to the other shards."""
        now = self._loop.now()
        if self._summary is None or now - self._summary.taken_at >= self._renewal_age():
            rents_ahead = scales_out_ahead(self._settings, self._catalog)
            levels = {
                self._job_store.effective_level(ref) for ref, record in self._job_store.schedulable() if record.job.gang
            }
            workers_silent = self.count_silent_machines() > 0
            self._summary = _CachedSummary(
                now, summarize(self._shard, self._planner, levels, rents_ahead, now, workers_silent)
            )
        return self._summary.summary

    def count_silent_machines(self) -> int:
        """Return how many machines' heartbeats are overdue, or 0 if fewer than half are."""
        now = self._loop.now()
        if self._silence is None or now - self._silence.taken_at >= self._renewal_age():
            machines = count_overdue(self._shard, self._heartbeat_interval, self._resumed_at(), now)
            self._silence = _CachedSilence(now, machines)
        return self._silence.machines

    def heartbeat_overdue(self, name: str) -> bool:
        """Return whether a machine is a member of this shard whose heartbeat is overdue. Not cached."""
        machine = self._shard.machines.get(name)
        if machine is None:
            return False
        now = self._loop.now()
        return is_overdue(machine, self._shard, self._heartbeat_interval, self._resumed_at(), now)

    def _renewal_age(self) -> timedelta:
        """Return the age at which a cached result is replaced."""
        return max(MIN_RENEWAL_AGE, RENEWAL_AGE_PER_MACHINE * len(self._shard.machines))
