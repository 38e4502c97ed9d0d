"""One owned shard at work: taking it over, its members, its heartbeats, its rounds of decisions."""

import logging
from dataclasses import dataclass
from datetime import timedelta

from badgerroute.connectivity import worker_silence
from badgerroute.connectivity.modes import Action
from badgerroute.coordination.jobs.job_writer import Progress
from badgerroute.coordination.leadership.leader_election import Leadership
from badgerroute.coordination.shards import summary
from badgerroute.coordination.shards.fencing import Fencing
from badgerroute.coordination.shards.leader_context import LeaderContext
from badgerroute.coordination.shards.machine_commands import MachineCommands
from badgerroute.coordination.shards.machine_transfers import MachineTransfers
from badgerroute.coordination.shards.member_registry import MemberRegistry
from badgerroute.coordination.shards.migration import WorkMigration
from badgerroute.coordination.shards.quota_exchange import QuotaExchange
from badgerroute.coordination.shards.shard_log import log_state
from badgerroute.coordination.shards.tombstone_writer import TombstoneWriter
from badgerroute.coordination.shards.urgent_stops import UrgentStops
from badgerroute.protocol import mesh as mesh_wire
from badgerroute.protocol.workers import Heartbeat, HeartbeatResponse
from badgerroute.scheduling import draining
from badgerroute.scheduling.model import ZERO, Machine
from badgerroute.scheduling.objectives import Objectives
from badgerroute.scheduling.planner import Planner
from badgerroute.scheduling.scale_out_planning import scales_out_ahead
from badgerroute.scheduling.shard import Shard
from badgerroute.storage import records
from badgerroute.storage.records import MachineRecord
from badgerroute.storage.replica import MACHINES
from badgerroute.transport.loop import TaskGroup

log = logging.getLogger(__name__)
LOST_PATIENCE = timedelta(seconds=4)
ROUND = timedelta(milliseconds=250)
STATE_LOGGED = timedelta(seconds=10)
PARTIAL = timedelta(seconds=3)  # between two writes of a job's progress, unless it may be complete
SUMMARY_KEPT = timedelta(milliseconds=400)
SUMMARY_KEPT_PER_MACHINE = timedelta(microseconds=500)  # it looks at each: 4,000 take some 30 ms of a core
REGISTER_LIMIT = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class SilenceReading:
    """How many machines were silent at a moment."""

    at: timedelta
    machines: int


class ShardLeader:
    """Everything a controller does for one shard it owns. Ended by `close` when leadership is lost."""

    def __init__(self, number: int, leadership: Leadership, context: LeaderContext) -> None:
        self.number = number
        self._settings, self._loop, self._replica = context.settings, context.loop, context.replica
        self._election, self._job_store, self._catalog = context.election, context.job_store, context.catalog
        self._policy, self._resumed_at = context.policy, context.resumed_at
        self._progressed, self._delete = context.progressed, context.delete_machines
        params = self._settings.params
        self.group = TaskGroup(self._loop, f"{context.group.name}/shard-{number}")
        quota_allocator, now = context.quota_allocator, self._loop.now()
        self.shard = Shard(
            number,
            leadership.term,
            lambda team: quota_allocator.of(number, team),
            now,
            params.workers.lease,
            self._job_store.undecided,
            context.guidance(number),
        )
        objectives = Objectives(params.objectives)
        self.planner = Planner(
            self.shard, self._settings.operator.scheduling, objectives, params.workers.heartbeat_interval
        )
        self.grace = leadership.grace
        self.ready = False
        self._window = records.window(context.store.max_value_bytes)
        self.commands = MachineCommands(self.shard, context, self._answered_directly)
        self._fencing = Fencing(self.shard, context, self.group, self.commands)
        self._urgent_stops = UrgentStops(self.shard, self._loop, self.group, self.commands)
        self.member_registry = MemberRegistry(context, self.group)
        self.migration = WorkMigration(
            self.shard, self.planner, context, self.group, lambda: self.ready, self.job_changed
        )
        self.machine_transfers = MachineTransfers(self.shard, context, self.group, lambda: self.ready)
        self.quota_exchange = QuotaExchange(self.shard, self.planner, context)
        self.tombstone_writer = TombstoneWriter(self.shard, context)
        self.progress: set[str] = set()
        self._summary: tuple[timedelta, mesh_wire.ShardSummary] | None = None
        self._silence: SilenceReading | None = None

    def start(self) -> None:
        """Begin to take the shard over."""
        self.group.spawn(self._take_over(), "takeover")

    def close(self) -> None:
        """End everything that is done for the shard; leadership is lost."""
        self.ready = False
        self.group.cancel()

    # -- takeover

    async def _take_over(self) -> None:
        """Rebuild the shard from the key-value store and its machines before anything is placed."""
        await self._replica.caught_up(self.shard.term)  # no write of the former leader comes after this
        while not self._catalog:
            await self._loop.sleep(timedelta(milliseconds=100))
        now = self._loop.now()
        for key in self._replica.under(MACHINES):
            self.machine_changed(key.removeprefix(MACHINES), self._replica.value(key))
        for ref in list(self._job_store.active):
            self.job_changed(ref)
        self.ready = True
        log.info(
            "event=failover_completed shard=%d term=%d machines=%d jobs=%d",
            self.number,
            self.shard.term,
            len(self.shard.machines),
            len(self.shard.jobs),
        )
        for machine in list(self.shard.machines.values()):
            self._fencing.fence(machine)
        self.shard.led_since = min(self.shard.led_since, now)
        self.group.run_forever(self._rounds, "rounds", ROUND)
        self.group.run_forever(self._log_state, "tell", STATE_LOGGED)

    # -- what the watch says

    def machine_changed(self, name: str, value: bytes | None) -> None:
        """A member's record is new, changed or gone."""
        now = self._loop.now()
        record = records.read(value, MachineRecord) if value else None
        known = self.shard.machines.get(name)
        if record is None or record.shard != self.number:
            if known is not None:
                self.shard.remove_machine(name, now)
            return
        kind = self._catalog.get(record.type)
        if known is None and kind is not None:
            machine = self.shard.add_machine(name, record, kind, now)
            machine.reserved_for = self.migration.gathering(now)

    def job_changed(self, ref: str) -> None:
        """A job's record is new, changed or gone."""
        record = self._job_store.active.get(ref)
        if record is None:
            self.shard.drop_job(ref)
            return
        if self._job_store.waits(ref):
            return  # until we ourselves have seen it released, nothing of it is there
        now = self._loop.now()
        age = timedelta(seconds=self._loop.clock.today().timestamp() - self._job_store.effective_arrival(ref, record))
        held_back = timedelta(seconds=self._job_store.effective_arrival(ref, record) - record.accepted)
        done = self._job_store.done(ref, record)
        job = self.shard.add_job(record, now - max(ZERO, age), self._window, now, done, held_back)
        if job is not None:
            self.shard.set_level(job, self._job_store.level(ref))

    # -- heartbeats

    async def answer_heartbeat(self, heartbeat: Heartbeat, relayed: bool = False) -> HeartbeatResponse | None:
        """Answer a heartbeat. None: can't act on it now, the worker should try elsewhere or again.

        `relayed`: it came through a peer, which hands our answer to the worker.
        """
        machine = self.shard.machines.get(heartbeat.machine)
        if machine is None:
            machine = await self._register(heartbeat)
            if machine is None:
                return None
        if heartbeat.fencing_token > self.shard.term and not await self.commands.raise_term():
            return None
        if heartbeat.fencing_token > self.shard.term:
            return None  # it would drop the answer, and stay here while its lease runs out
        acting = self._policy.allows_for(self.number, Action.ANSWER_HEARTBEAT)
        if not acting or self.shard.machines.get(heartbeat.machine) is not machine:
            return None
        if machine.unreachable or self._fencing.given_up(machine):
            # Each answer of ours would put off the time from which on it is certainly rid of its tasks.
            self._fencing.fence(machine)
            return None
        fresh = self.apply_heartbeat(machine, heartbeat, periodic=True)
        now = self._loop.now()
        starts = fresh and self._policy.allows_for(self.number, Action.START)
        if fresh and not relayed:
            machine.last_heartbeat = now
        if starts:
            deadline = now + self._settings.operator.scheduling.round

            def over() -> bool:
                return self._loop.now() > deadline

            # Gangs first, and now: placed in the next round of their own, they would wait for one more heartbeat.
            self.planner.gangs_on(machine, now, over)
            self.planner.fill(machine, now, over)
        commands = self.shard.commands(machine, now, starts=starts) if fresh else []
        machine.answered = now
        if not machine.fenced or machine.unreachable:
            self._fencing.fence(machine)
        return HeartbeatResponse(self.shard.term, commands)

    async def _register(self, heartbeat: Heartbeat) -> Machine | None:
        if heartbeat.type not in self._catalog or not self._policy.allows_for(self.number, Action.ADD_MEMBER):
            return None
        record = MachineRecord(self.number, heartbeat.address, heartbeat.type, heartbeat.zone, heartbeat.spot)
        written = self.member_registry.add(heartbeat.machine, record)
        self.member_registry.start()
        await self._loop.first(written, REGISTER_LIMIT)
        machine = self.shard.machines.get(heartbeat.machine)
        if (
            machine is not None
            and written.done
            and written.result
            and not heartbeat.tasks
            and heartbeat.fencing_token == 0
        ):
            # We made it a member, in this term, so nobody has ever been entitled to start anything on it:
            # there is no one to fence off.
            machine.never_commanded = True
        return machine

    def _answered_directly(self, machine: Machine, heartbeat: Heartbeat) -> None:
        self.apply_heartbeat(machine, heartbeat, periodic=False)

    def apply_heartbeat(self, machine: Machine, heartbeat: Heartbeat, periodic: bool) -> bool:
        """Take in a machine's task list; whether it said anything new."""
        now = self._loop.now()
        events = self.shard.on_heartbeat(machine, heartbeat, periodic, now)
        if events is None:
            return False
        if events.progressed:
            self.progress |= events.progressed
            self._progressed()
        if not self.shard.reconciled:
            self.shard.reconcile()
        for machine in events.quarantined:
            self.group.spawn(self._retire_quarantined(machine), "retire")
        return True

    async def _retire_quarantined(self, machine: Machine) -> None:
        """A machine that fails everything is worth nothing: drain it, then have it deleted."""
        for placement in list(machine.placements.values()):
            self.shard.stop(placement, draining.save_time(placement.job))
        await self._loop.sleep(timedelta(seconds=3))
        self._delete([machine.name])

    # -- rounds

    async def _rounds(self) -> None:
        while True:
            await self._loop.sleep(ROUND)
            if not self._policy.allows_for(self.number, Action.STOP):
                continue
            now = self._loop.now()
            deadline = now + self._settings.operator.scheduling.round

            def over(deadline: timedelta = deadline) -> bool:
                return self._loop.now() > deadline

            self._expire(now)
            self._evict_from_preempted(now)
            self.shard.expire_reservations(now)
            self.shard.reconcile()
            self.planner.release_reservations(now)
            if self._policy.allows_for(self.number, Action.START):
                self.planner.gangs(now, over)
                if not over():
                    self.planner.preempt_for_arrays(now, over)
            self.planner.feedback(now)
            self._urgent_stops.send()
            if self._policy.allows_for(self.number, Action.MOVE_QUOTA):
                await self.quota_exchange.seek()

    async def _log_state(self) -> None:
        while True:
            await self._loop.sleep(STATE_LOGGED)
            log_state(self.shard)

    def _expire(self, now: timedelta) -> None:
        lost = self.shard.expire(now, self._election.last_confirmed, self._settings.machine_lease, self.grace)
        for machine in lost:
            machine.lost_at = now
        if lost:
            log.info(
                "event=machines_lost shard=%d machines=%s", self.number, ",".join(machine.name for machine in lost)
            )
        # Deleted only if it stays silent: when we could not answer for a while, all come back by themselves.
        silent = {
            machine.name: machine.lost_at
            for machine in self.shard.machines.values()
            if not machine.alive and machine.lost_at is not None
        }
        patience = LOST_PATIENCE if 3 * len(silent) <= len(self.shard.machines) + 3 else 5 * LOST_PATIENCE
        names = [name for name, lost_at in silent.items() if now - lost_at > patience]
        if names and self._policy.allows_for(self.number, Action.GIVE_UP_MACHINE):
            self._delete(names)

    def _evict_from_preempted(self, now: timedelta) -> None:
        """Use what is left of a machine that the cloud takes back."""
        for machine in self.shard.machines.values():
            if machine.preemption_notice is not None:
                plan = draining.Evacuation(
                    machine.preemption_notice, 2 * self._settings.params.workers.heartbeat_interval, patient=False
                )
                draining.evacuate(self.shard, machine, plan, now, self.planner.run_time, self.shard.guidance.fetch_time)

    # -- what others are told

    def idle_capacities(self) -> tuple[list[mesh_wire.FreeCapacity], dict[str, tuple[float, float]]]:
        """The shard's free room, and where images lie beside it."""
        return summary.idle_capacities(self.shard)

    def summary(self) -> mesh_wire.ShardSummary:
        """What others need to know. Made anew a few times a second at most: it looks at everything there is."""
        now = self._loop.now()
        if self._summary is None or now - self._summary[0] >= self._kept():
            ahead = scales_out_ahead(self._settings, self._catalog)
            levels = {self._job_store.level(ref) for ref, record in self._job_store.schedulable() if record.job.gang}
            silent = self.silent() > 0
            self._summary = (now, summary.summarize(self.shard, self.planner, levels, ahead, now, silent))
        return self._summary[1]

    def missed(self, name: str) -> bool:
        """Whether a machine is a member whose heartbeat should have come by now."""
        machine = self.shard.machines.get(name)
        heartbeat, now = self._settings.params.workers.heartbeat_interval, self._loop.now()
        return machine is not None and worker_silence.overdue(machine, self.shard, heartbeat, self._resumed_at(), now)

    def silent(self) -> int:
        """How many machines' heartbeats are overdue, if half of all or more are. As seldom made anew as a summary."""
        now = self._loop.now()
        if self._silence is None or now - self._silence.at >= self._kept():
            heartbeat = self._settings.params.workers.heartbeat_interval
            silent = worker_silence.silent(self.shard, heartbeat, self._resumed_at(), now)
            self._silence = SilenceReading(now, silent)
        return self._silence.machines

    def _kept(self) -> timedelta:
        """For how long what was found by looking at every machine is kept."""
        return max(SUMMARY_KEPT, SUMMARY_KEPT_PER_MACHINE * len(self.shard.machines))

    # -- progress

    def batch(self) -> list[Progress]:
        """Newly done tasks to be written down: at once if they may be the job's last, else once in a while."""
        batch = []
        now = self._loop.now()
        for ref in list(self.progress):
            job = self.shard.jobs.get(ref)
            if job is None or not job.done_here:
                self.progress.discard(ref)
                continue
            last = not job.owned & ~(job.done | job.done_here)
            if last or now - job.written >= PARTIAL:
                job.written = now
                batch.append(Progress(ref, job.done_here, {self.number}))
        return batch
