"""The leader of one shard: created when this controller is elected, and closed when it loses the leadership."""

from datetime import timedelta
from functools import partial

from badgerroute.coordination.jobs.progress_writer import Progress
from badgerroute.coordination.leadership.leadership_state import Leadership
from badgerroute.coordination.shards import leader_parts, summary
from badgerroute.coordination.shards.heartbeat_responder import HeartbeatRefusal
from badgerroute.coordination.shards.leader_context import LeaderContext
from badgerroute.coordination.shards.shard_log import log_state_repeatedly
from badgerroute.protocol.mesh import ShardSummary
from badgerroute.protocol.workers import Heartbeat, HeartbeatResponse

ROUNDS_RESTART_PAUSE = timedelta(milliseconds=250)  # after a scheduling round that failed
STATE_LOG_RESTART_PAUSE = timedelta(seconds=10)


class ShardLeader:
    """Everything that a controller does for one shard that it leads, until `close` is called.

    Safety depends on two invariants: a start is sent only in the answer to a heartbeat, and no task is placed until
    every member is fenced or provably no longer runs any task (`Shard.reconciled`).
    """

    def __init__(self, number: int, leadership: Leadership, context: LeaderContext) -> None:
        self.number = number
        core = leader_parts.build_core(number, leadership, context)
        self._loop, self._status = context.loop, core.status
        self.group, self.shard, self.planner = core.group, core.shard, core.planner
        link = leader_parts.build_machine_link(core)
        self._progress = link.progress
        self._job_sync = leader_parts.build_job_sync(core)
        self.job_transfers = leader_parts.build_job_transfers(core, self._job_sync)
        exchanges = leader_parts.build_exchanges(core, self.job_transfers)
        self.work_stealing = exchanges.work_stealing
        self.gang_migration = exchanges.gang_migration
        self.machine_transfers = exchanges.machine_transfers
        self.quota_exchange = exchanges.quota_exchange
        self._machine_sync = leader_parts.build_machine_sync(core, self.gang_migration)
        self._heartbeat_responder = leader_parts.build_heartbeat_responder(core, link)
        self._rounds = leader_parts.build_scheduling_rounds(core, link, self.quota_exchange, leadership)
        self._failover = leader_parts.build_failover(core, link, self._job_sync, self._machine_sync)
        self.tombstone_writer = leader_parts.build_tombstone_writer(core)
        self._summaries = leader_parts.build_summary_cache(core)

    # -- life cycle

    @property
    def ready(self) -> bool:
        """Whether the failover is complete and this leader is not closed."""
        return self._status.ready

    def start(self) -> None:
        """Begin the failover."""
        self.group.spawn(self._run(), "takeover")

    async def _run(self) -> None:
        await self._failover.run()
        self.group.run_forever(self._rounds.run, "rounds", ROUNDS_RESTART_PAUSE)
        self.group.run_forever(partial(log_state_repeatedly, self._loop, self.shard), "tell", STATE_LOG_RESTART_PAUSE)

    def close(self) -> None:
        """Stop all work for the shard, because this controller has lost the leadership."""
        self._status.ready = False
        self.group.cancel()

    # -- changes of stored records

    def machine_changed(self, name: str, value: bytes | None) -> None:
        """Apply the creation, change or removal of a machine's record; `value` is None after a removal."""
        self._machine_sync.machine_changed(name, value)

    def job_changed(self, ref: str) -> None:
        """Apply the creation, change or removal of a job's record."""
        self._job_sync.job_changed(ref)

    # -- requests

    async def answer_heartbeat(
        self, heartbeat: Heartbeat, relayed: bool = False
    ) -> HeartbeatResponse | HeartbeatRefusal:
        """Answer a heartbeat, or return why it can't be processed now; see `HeartbeatResponder`."""
        return await self._heartbeat_responder.answer(heartbeat, relayed)

    def take_progress(self) -> list[Progress]:
        """Return the newly done tasks that are to be written now; see `ProgressBatch`."""
        return self._progress.take()

    def has_progress(self) -> bool:
        """Whether some newly done tasks are not written yet."""
        return self._progress.pending()

    # -- measurements

    def idle_capacities(self) -> summary.IdleCapacity:
        """Return the free capacity of the shard's machines, and the images that these machines cache."""
        return summary.idle_capacities(self.shard)

    def summary(self) -> ShardSummary:
        """Return the shard's summary for the other shards. It is recomputed at most a few times a second."""
        return self._summaries.summary()

    def heartbeat_overdue(self, name: str) -> bool:
        """Whether a machine is a member of the shard and its heartbeat is overdue."""
        return self._summaries.heartbeat_overdue(name)

    def count_silent_machines(self) -> int:
        """Return how many machines' heartbeats are overdue, or 0 if fewer than half are. Cached like the summary."""
        return self._summaries.count_silent_machines()
