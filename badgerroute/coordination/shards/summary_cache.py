"""Readings that look at every machine of a shard, made anew a few times a second at most."""

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

MIN_READING_AGE = timedelta(milliseconds=400)  # of the reading that is replaced
READING_AGE_PER_MACHINE = timedelta(microseconds=500)  # looking at 4,000 machines takes some 30 ms of a core


@dataclass(frozen=True, slots=True)
class _SummaryReading:
    """A summary, and when it was made."""

    at: timedelta
    summary: ShardSummary


@dataclass(frozen=True, slots=True)
class _SilenceReading:
    """How many machines were silent at a moment."""

    at: timedelta
    machines: int


class SummaryCache:
    """The summary of one shard for the others, and how many of its machines are silent.

    `resumed_at`: the end of this process's last pause, before which no heartbeat could be heard.
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
        self._summary: _SummaryReading | None = None
        self._silence: _SilenceReading | None = None

    def summary(self) -> ShardSummary:
        """What the other shards need to know of this one."""
        now = self._loop.now()
        if self._summary is None or now - self._summary.at >= self._reading_age():
            ahead = scales_out_ahead(self._settings, self._catalog)
            levels = {self._job_store.level(ref) for ref, record in self._job_store.schedulable() if record.job.gang}
            workers_silent = self.silent_machines() > 0
            self._summary = _SummaryReading(
                now, summarize(self._shard, self._planner, levels, ahead, now, workers_silent)
            )
        return self._summary.summary

    def silent_machines(self) -> int:
        """How many machines' heartbeats are overdue, if half of all or more are; else 0."""
        now = self._loop.now()
        if self._silence is None or now - self._silence.at >= self._reading_age():
            machines = count_overdue(self._shard, self._heartbeat_interval, self._resumed_at(), now)
            self._silence = _SilenceReading(now, machines)
        return self._silence.machines

    def heartbeat_overdue(self, name: str) -> bool:
        """Whether a machine is a member whose heartbeat should have come by now. Not cached."""
        machine = self._shard.machines.get(name)
        if machine is None:
            return False
        now = self._loop.now()
        return is_overdue(machine, self._shard, self._heartbeat_interval, self._resumed_at(), now)

    def _reading_age(self) -> timedelta:
        """For how long a reading is returned again."""
        return max(MIN_READING_AGE, READING_AGE_PER_MACHINE * len(self._shard.machines))
