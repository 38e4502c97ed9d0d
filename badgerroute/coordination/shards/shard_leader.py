"""The leader of one shard: built at its election, ended when leadership is lost."""

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

ROUNDS_RESTART = timedelta(milliseconds=250)  # pause after a round of decisions that failed
LOG_RESTART = timedelta(seconds=10)


class ShardLeader:
    """Everything a controller does for one shard it leads. Ended by `close` when leadership is lost.

    Invariants that safety rests on: a start is sent only in the answer to a heartbeat, and nothing is placed until
    every member is fenced or provably rid of its tasks (`Shard.reconciled`).
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

    # -- life

    @property
    def ready(self) -> bool:
        """Whether the failover is complete, and the shard still led."""
        return self._status.ready

    def start(self) -> None:
        """Begin the failover."""
        self.group.spawn(self._run(), "takeover")

    async def _run(self) -> None:
        await self._failover.run()
        self.group.run_forever(self._rounds.run, "rounds", ROUNDS_RESTART)
        self.group.run_forever(partial(log_state_repeatedly, self._loop, self.shard), "tell", LOG_RESTART)

    def close(self) -> None:
        """End everything that is done for the shard; leadership is lost."""
        self._status.ready = False
        self.group.cancel()

    # -- changes of stored records

    def machine_changed(self, name: str, value: bytes | None) -> None:
        """A machine's record is new, changed or gone (None)."""
        self._machine_sync.machine_changed(name, value)

    def job_changed(self, ref: str) -> None:
        """A job's record is new, changed or gone."""
        self._job_sync.job_changed(ref)

    # -- requests

    async def answer_heartbeat(
        self, heartbeat: Heartbeat, relayed: bool = False
    ) -> HeartbeatResponse | HeartbeatRefusal:
        """Answer a heartbeat, or say why it can't be acted on now; see `HeartbeatResponder`."""
        return await self._heartbeat_responder.answer(heartbeat, relayed)

    def take_progress(self) -> list[Progress]:
        """Newly done tasks to be written now; see `ProgressBatch`."""
        return self._progress.take()

    def has_progress(self) -> bool:
        """Whether newly done tasks are yet to be written."""
        return self._progress.pending()

    # -- readings

    def idle_capacities(self) -> summary.IdleCapacity:
        """The shard's free room, and the images cached on those machines."""
        return summary.idle_capacities(self.shard)

    def summary(self) -> ShardSummary:
        """What the other shards need to know of this one; made anew a few times a second at most."""
        return self._summaries.summary()

    def heartbeat_overdue(self, name: str) -> bool:
        """Whether a machine is a member whose heartbeat should have come by now."""
        return self._summaries.heartbeat_overdue(name)

    def silent_machines(self) -> int:
        """How many machines' heartbeats are overdue, if half of all or more are; made anew as seldom as a summary."""
        return self._summaries.silent_machines()
