"""The rebalancing duty of one controller: keeps the view, advises its shards, moves work and drains machines."""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from badgerroute.connectivity.modes import Action
from badgerroute.coordination.controller import Controller
from badgerroute.coordination.shards.shard_leader import ShardLeader
from badgerroute.protocol.mesh import StealRequest
from badgerroute.rebalancing.drains import DrainProgress, DrainRegistry
from badgerroute.rebalancing.local_waits import LocalWaits
from badgerroute.rebalancing.moves import MovePlanner
from badgerroute.rebalancing.shard_guidance import ShardGuidance
from badgerroute.rebalancing.spreading import offered_capacity, work_lacking
from badgerroute.rebalancing.view import FleetView, ShardReading
from badgerroute.scheduling.draining import Evacuation, evacuate
from badgerroute.scheduling.model import ZERO
from badgerroute.settings import Rebalancing, Settings
from badgerroute.storage.keys import DRAINS
from badgerroute.transport.loop import Loop, TaskGroup

log = logging.getLogger(__name__)
ROUND = timedelta(milliseconds=500)
VIEW_KEPT = timedelta(seconds=1)
SPREAD_PAUSE = timedelta(seconds=2)
VIEW_LOGGED = timedelta(seconds=10)
ORPHANS_LOOKED_FOR = timedelta(seconds=10)
HEARTBEATS_OF_MARGIN = 2  # before a drain's deadline: one carries the command, another shows that the task is gone
TARGET = 0.5  # of the highest wait ratio: above this a team's work is hastened
STEEPNESS = 3.0  # with which it is hastened as its waits grow beyond that
MAX_URGENCY = 64.0
LEAST_ENTITLEMENT = 0.1  # of the mean guarantee, for teams with little or none


@dataclass(slots=True)
class _ShardRebalancing:
    """What is kept for one shard that this controller leads."""

    leader: ShardLeader
    guidance: ShardGuidance
    local: LocalWaits
    moves: MovePlanner
    drains: DrainProgress


class Rebalancer:
    """Made before its controller, which asks it for guidance; attached to it afterwards."""

    def __init__(self, settings: Settings, rebalancing: Rebalancing, loop: Loop) -> None:
        self._settings, self._rebalancing, self._loop = settings, rebalancing, loop
        self._heartbeat = settings.params.workers.heartbeat_interval
        self._guidances: dict[int, ShardGuidance] = {}
        self._duties: dict[int, _ShardRebalancing] = {}
        self._controller: Controller | None = None
        self._drains: DrainRegistry | None = None
        self._view_at: timedelta | None = None
        self._spread_at = -SPREAD_PAUSE
        self.view = FleetView([], rebalancing.stale)
        self._urgencies: dict[str, float] = {}
        guarantees = [team.cpus for team in settings.params.teams if team.cpus > 0]
        mean = sum(guarantees) / len(guarantees) if guarantees else 1.0
        self._least_entitlement = LEAST_ENTITLEMENT * mean
        self._entitlements = {team.name: max(team.cpus, self._least_entitlement) for team in settings.params.teams}

    # -- what the controller asks

    def guidance(self, shard: int) -> ShardGuidance:
        """New advice for a shard that this controller begins to own."""
        guidance = ShardGuidance(
            self._loop, self._rebalancing.window, self._entitlement, self.urgency, self._drain_deadline
        )
        self._guidances[shard] = guidance
        return guidance

    def _entitlement(self, team: str) -> float:
        return self._entitlements.get(team, self._least_entitlement)

    def urgency(self, team: str) -> float:
        """How much sooner a team's work comes: above 1 once its waits come near the highest allowed ratio."""
        return self._urgencies.get(team, 1.0)

    def _urgency_of(self, team: str) -> float:
        ratio = self.view.wait_ratio(team, 2 * self._heartbeat)
        target = TARGET * self._rebalancing.max_wait_ratio
        return min(MAX_URGENCY, max(1.0, ratio / target) ** STEEPNESS)

    def _drain_deadline(self, machine: str) -> timedelta | None:
        drain = self._drains.get(machine) if self._drains is not None else None
        return drain.deadline if drain is not None else None

    # -- life

    def attach(self, controller: Controller, group: TaskGroup) -> None:
        """Begin the duty beside a controller that has not loaded its replica yet."""
        self._controller = controller
        self._drains = DrainRegistry(self._loop, controller.storage.replica, controller.storage.store)
        controller.storage.replica.list_first(DRAINS)
        controller.storage.replica.listen(DRAINS, self._drain_changed)
        group.run_forever(self._run, "rebalance", timedelta(seconds=1))
        group.run_forever(self._log_view, "rebalance-view", timedelta(seconds=1))
        group.run_forever(self._remove_orphans, "drain-orphans", timedelta(seconds=1))

    async def _run(self) -> None:
        while True:
            await self._loop.sleep(ROUND)
            now = self._loop.now()
            deadline = now + self._settings.operator.scheduling.round

            def over(deadline: timedelta = deadline) -> bool:
                return self._loop.now() > deadline

            self._refresh_view(now)
            self._spread(now)
            for entry in self._refresh_shards():
                self._round(entry, now, over)

    def _refresh_shards(self) -> list[_ShardRebalancing]:
        """Of the shards that are led here and may be acted for; what belonged to former leaders is dropped."""
        assert self._controller is not None
        leaders = self._controller.leaders
        self._duties = {number: entry for number, entry in self._duties.items() if leaders.get(number) is entry.leader}
        for number, leader in leaders.items():
            if leader.ready and number not in self._duties:
                self._duties[number] = self._new_shard(number, leader)
        policy = self._controller.leadership.policy
        return [entry for number, entry in self._duties.items() if policy.allows_for(number, Action.START)]

    def _may_ask(self, leader: ShardLeader) -> bool:
        """Whether a shard may ask others for work."""
        policy = self._controller.leadership.policy if self._controller is not None else None
        return leader.shard.reconciled and policy is not None and policy.allows_for(leader.number, Action.STEAL)

    def _new_shard(self, number: int, leader: ShardLeader) -> _ShardRebalancing:
        guidance = self._guidances[number]
        local = LocalWaits(leader.shard, leader.planner.run_time, self._rebalancing.stale)
        guidance.attach(leader.shard.usage, local)
        moves = MovePlanner(leader.shard, leader.planner, self._rebalancing, self._heartbeat, guidance)
        return _ShardRebalancing(leader, guidance, local, moves, DrainProgress(number))

    def _round(self, entry: _ShardRebalancing, now: timedelta, over: Callable[[], bool]) -> None:
        self._drain_machines(entry, now)
        if entry.leader.shard.reconciled:
            entry.local.advance(now, over)
            entry.moves.round(now, over)

    # -- the view

    def _refresh_view(self, now: timedelta) -> None:
        assert self._controller is not None
        if self._view_at is not None and now - self._view_at < VIEW_KEPT:
            return
        self._view_at = now
        peers = self._controller.membership.peers
        own = {leader.number: leader.summary() for leader in self._controller.leaders.values() if leader.ready}
        readings = [ShardReading(summary, ZERO) for summary in own.values()]
        readings += [ShardReading(summary, age) for summary, age in peers.shard_reports() if summary.shard not in own]
        self.view = FleetView(readings, self._rebalancing.stale)
        # Asked for at every turn of every job, so worked out once: a percentile looks at all that is counted.
        self._urgencies = {team: self._urgency_of(team) for team in self.view.teams}

    def _spread(self, now: timedelta) -> None:
        """Ask for waiting work of hastened teams that lies in few shards; now and then, so that an answer can come."""
        assert self._controller is not None
        if now - self._spread_at < SPREAD_PAUSE:
            return
        self._spread_at = now
        teams = [team for team, urgency in self._urgencies.items() if urgency > 1.0]
        for entry in self._duties.values():
            own = entry.leader.summary()
            others = [summary for summary in self.view.summaries if summary.shard != own.shard and summary.reconciled]
            if not others or not self._may_ask(entry.leader):
                continue
            for request in work_lacking(own, others, teams):
                message = StealRequest(
                    request.victim,
                    own.shard,
                    offered_capacity(entry.leader.shard, request),
                    own.images,
                    sorted({demand.team for shard in others for demand in shard.demands} - {request.team}),
                )
                log.info("event=work_requested shard=%d from=%d team=%s", own.shard, request.victim, request.team)
                self._controller.requests.shard_requests.steal_from(request.victim, message)

    async def _log_view(self) -> None:
        while True:
            await self._loop.sleep(VIEW_LOGGED)
            moves = sum(entry.moves.ledger.count for entry in self._duties.values())
            log.info(
                "event=rebalancing_view_reported median=%.1f stale=%s silent=%s moves=%d load=%s",
                self.view.fleet.median.total_seconds(),
                self.view.stale_shards,
                self.view.silent_shards,
                moves,
                ",".join(map(str, self.view.machines_by_load)),
            )
            for shard, waits in sorted(self.view.shards.items()):
                log.info("event=shard_waits_reported shard=%d %s", shard, waits.describe())
            for team, waits in sorted(self.view.teams.items()):
                log.info(
                    "event=team_waits_reported team=%s urgency=%.1f %s", team, self.urgency(team), waits.describe()
                )
            for (team, job_class), waits in sorted(self.view.classes.items()):
                log.debug("event=class_waits_reported team=%s class=%s %s", team, job_class, waits.describe())

    # -- drains

    def _drain_changed(self, key: str, value: bytes | None, revision: int) -> None:
        """Act on it in this very step: nothing more may start on a machine that is to be emptied."""
        assert self._controller is not None and self._drains is not None
        name = key.removeprefix(DRAINS)
        for entry in self._duties.values():
            machine = entry.leader.shard.machines.get(name)
            if machine is not None:
                entry.drains.apply(machine, self._drains.get(name))

    def _drain_machines(self, entry: _ShardRebalancing, now: timedelta) -> None:
        assert self._controller is not None and self._drains is not None
        shard = entry.leader.shard
        drained = {name for name, machine in shard.machines.items() if machine.drain_deadline is not None}
        for name in drained.union(name for name in self._drains.names() if name in shard.machines):
            machine, drain = shard.machines[name], self._drains.get(name)
            entry.drains.apply(machine, drain)
            if drain is None:
                continue
            plan = Evacuation(drain.deadline, HEARTBEATS_OF_MARGIN * self._heartbeat, patient=True)
            evacuate(shard, machine, plan, now, entry.leader.planner.run_time, entry.guidance.fetch_time)
            if entry.drains.emptied(machine) and drain.delete:
                self._controller.autoscaling.deletion_queue.delete([name])

    async def _remove_orphans(self) -> None:
        assert self._controller is not None and self._drains is not None
        while True:
            await self._loop.sleep(ORPHANS_LOOKED_FOR)
            if (
                self._controller.leadership_state.autoscaler_term is not None
                and self._controller.leadership.policy.allows(Action.CLEAN_UP)
            ):
                await self._drains.remove_orphans()
