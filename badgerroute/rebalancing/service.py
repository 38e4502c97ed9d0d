"""Rebalancing on one controller: collects wait statistics, guides scheduling, moves tasks, drains machines."""

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
from badgerroute.rebalancing.spreading import missing_work, offered_capacity
from badgerroute.rebalancing.view import FleetView, ShardWaitReport
from badgerroute.scheduling.draining import Evacuation, evacuate
from badgerroute.scheduling.model import ZERO
from badgerroute.settings import Rebalancing, Settings
from badgerroute.storage.keys import DRAINS
from badgerroute.transport.loop import Loop, TaskGroup

log = logging.getLogger(__name__)
ROUND_INTERVAL = timedelta(milliseconds=500)
VIEW_REFRESH_INTERVAL = timedelta(seconds=1)
WORK_REQUEST_INTERVAL = timedelta(seconds=2)
VIEW_LOG_INTERVAL = timedelta(seconds=10)
ORPHAN_CHECK_INTERVAL = timedelta(seconds=10)
# The last tasks of a draining machine are stopped this many heartbeat intervals before the drain's deadline: one
# heartbeat is needed to send the stop command, one to confirm that the task no longer runs.
DRAIN_MARGIN_HEARTBEATS = 2
# A team's wait ratio is its median queue wait divided by the median queue wait of all tasks in the fleet. The team's
# urgency is 1 while this ratio is at most the threshold, URGENCY_THRESHOLD * `max_wait_ratio` (a setting). Above the
# threshold, the urgency is (ratio / threshold) ** URGENCY_EXPONENT, but at most MAX_URGENCY.
URGENCY_THRESHOLD = 0.5
URGENCY_EXPONENT = 3.0
MAX_URGENCY = 64.0
MIN_ENTITLEMENT = 0.1  # minimum entitlement of a team, as a fraction of the mean of all CPU guarantees above 0


@dataclass(slots=True)
class _LedShard:
    """The rebalancing state of one shard that this controller leads."""

    leader: ShardLeader
    guidance: ShardGuidance
    local_waits: LocalWaits
    moves: MovePlanner
    drains: DrainProgress


class Rebalancer:
    """Runs rebalancing for one controller.

    It is created before the controller, because the controller's shards get their scheduling guidance from it, and is
    attached to the controller afterwards.
    """

    def __init__(self, settings: Settings, rebalancing: Rebalancing, loop: Loop) -> None:
        self._settings, self._rebalancing, self._loop = settings, rebalancing, loop
        self._heartbeat = settings.params.workers.heartbeat_interval
        self._guidances: dict[int, ShardGuidance] = {}
        self._led_shards: dict[int, _LedShard] = {}
        self._controller: Controller | None = None
        self._drains: DrainRegistry | None = None
        self._view_refreshed_at: timedelta | None = None
        self._work_requested_at = -WORK_REQUEST_INTERVAL
        self.view = FleetView([], rebalancing.stale_after)
        self._urgencies: dict[str, float] = {}
        guarantees = [team.cpus for team in settings.params.teams if team.cpus > 0]
        mean = sum(guarantees) / len(guarantees) if guarantees else 1.0
        self._min_entitlement = MIN_ENTITLEMENT * mean
        self._entitlements = {team.name: max(team.cpus, self._min_entitlement) for team in settings.params.teams}

    # -- called by the controller

    def new_guidance(self, shard: int) -> ShardGuidance:
        """Create the guidance for a shard that this controller begins to lead."""
        guidance = ShardGuidance(
            self._loop, self._rebalancing.window, self._entitlement, self.urgency, self._drain_deadline
        )
        self._guidances[shard] = guidance
        return guidance

    def _entitlement(self, team: str) -> float:
        return self._entitlements.get(team, self._min_entitlement)

    def urgency(self, team: str) -> float:
        """Return the factor by which a team's entitlement to capacity is multiplied because its tasks wait long.

        The factor is 1 up to a wait ratio of URGENCY_THRESHOLD * `max_wait_ratio`. Above that, it grows with the ratio.
        """
        return self._urgencies.get(team, 1.0)

    def _compute_urgency(self, team: str) -> float:
        ratio = self.view.wait_ratio(team, 2 * self._heartbeat)
        target = URGENCY_THRESHOLD * self._rebalancing.max_wait_ratio
        return min(MAX_URGENCY, max(1.0, ratio / target) ** URGENCY_EXPONENT)

    def _drain_deadline(self, machine: str) -> timedelta | None:
        drain = self._drains.get(machine) if self._drains is not None else None
        return drain.deadline if drain is not None else None

    # -- background tasks

    def attach(self, controller: Controller, group: TaskGroup) -> None:
        """Start the background tasks of rebalancing. Must be called before the controller loads its replica."""
        self._controller = controller
        self._drains = DrainRegistry(self._loop, controller.storage.replica, controller.storage.store)
        controller.storage.replica.list_first(DRAINS)
        controller.storage.replica.listen(DRAINS, self._drain_changed)
        group.run_forever(self._run, "rebalance", timedelta(seconds=1))
        group.run_forever(self._log_view, "rebalance-view", timedelta(seconds=1))
        group.run_forever(self._remove_orphans, "drain-orphans", timedelta(seconds=1))

    async def _run(self) -> None:
        while True:
            await self._loop.sleep(ROUND_INTERVAL)
            now = self._loop.now()
            deadline = now + self._settings.operator.scheduling.round

            def out_of_time(deadline: timedelta = deadline) -> bool:
                return self._loop.now() > deadline

            self._refresh_view(now)
            self._request_missing_work(now)
            for led_shard in self._refresh_led_shards():
                self._run_shard_round(led_shard, now, out_of_time)

    def _refresh_led_shards(self) -> list[_LedShard]:
        """Return the shards that this controller leads and in which it may start tasks now.

        The rebalancing state of a shard is dropped when this controller loses the shard, even if it leads it again.
        """
        assert self._controller is not None
        leaders = self._controller.leaders
        self._led_shards = {
            number: led_shard
            for number, led_shard in self._led_shards.items()
            if leaders.get(number) is led_shard.leader
        }
        for number, leader in leaders.items():
            if leader.ready and number not in self._led_shards:
                self._led_shards[number] = self._new_led_shard(number, leader)
        policy = self._controller.leadership.policy
        return [led_shard for number, led_shard in self._led_shards.items() if policy.allows_for(number, Action.START)]

    def _may_request_work(self, leader: ShardLeader) -> bool:
        """Return whether a shard is reconciled and the controller's mode permits requests for other shards' work."""
        policy = self._controller.leadership.policy if self._controller is not None else None
        return leader.shard.reconciled and policy is not None and policy.allows_for(leader.number, Action.STEAL)

    def _new_led_shard(self, number: int, leader: ShardLeader) -> _LedShard:
        guidance = self._guidances[number]
        local = LocalWaits(leader.shard, leader.planner.run_time, self._rebalancing.stale_after)
        guidance.attach(leader.shard.usage, local)
        moves = MovePlanner(leader.shard, leader.planner, self._rebalancing, self._heartbeat, guidance)
        return _LedShard(leader, guidance, local, moves, DrainProgress(number))

    def _run_shard_round(self, led_shard: _LedShard, now: timedelta, out_of_time: Callable[[], bool]) -> None:
        self._drain_machines(led_shard, now)
        if led_shard.leader.shard.reconciled:
            led_shard.local_waits.advance(now, out_of_time)
            led_shard.moves.start_moves(now, out_of_time)

    # -- the view

    def _refresh_view(self, now: timedelta) -> None:
        assert self._controller is not None
        if self._view_refreshed_at is not None and now - self._view_refreshed_at < VIEW_REFRESH_INTERVAL:
            return
        self._view_refreshed_at = now
        peers = self._controller.membership.peers
        own = {leader.number: leader.summary() for leader in self._controller.leaders.values() if leader.ready}
        reports = [ShardWaitReport(summary, ZERO) for summary in own.values()]
        reports += [ShardWaitReport(summary, age) for summary, age in peers.shard_reports() if summary.shard not in own]
        self.view = FleetView(reports, self._rebalancing.stale_after)
        # The urgencies are computed only once per view: sorting the waiting jobs uses them often, and computing a
        # team's urgency iterates over whole histograms to find medians.
        self._urgencies = {team: self._compute_urgency(team) for team in self.view.teams}

    def _request_missing_work(self, now: timedelta) -> None:
        """Request waiting tasks from shards that have more than their fair share of a team's waiting tasks.

        Only the tasks of teams with an urgency above 1 are requested. Requests are sent at most once in each
        WORK_REQUEST_INTERVAL, so that the tasks requested earlier have time to arrive.
        """
        assert self._controller is not None
        if now - self._work_requested_at < WORK_REQUEST_INTERVAL:
            return
        self._work_requested_at = now
        teams = [team for team, urgency in self._urgencies.items() if urgency > 1.0]
        for led_shard in self._led_shards.values():
            own = led_shard.leader.summary()
            others = [summary for summary in self.view.summaries if summary.shard != own.shard and summary.reconciled]
            if not others or not self._may_request_work(led_shard.leader):
                continue
            for request in missing_work(own, others, teams):
                message = StealRequest(
                    request.victim,
                    own.shard,
                    offered_capacity(led_shard.leader.shard, request),
                    own.images,
                    sorted({demand.team for shard in others for demand in shard.demands} - {request.team}),
                )
                log.info("event=work_requested shard=%d from=%d team=%s", own.shard, request.victim, request.team)
                self._controller.requests.shard_requests.request_work_from(request.victim, message)

    async def _log_view(self) -> None:
        while True:
            await self._loop.sleep(VIEW_LOG_INTERVAL)
            moves = sum(led_shard.moves.ledger.total_moves for led_shard in self._led_shards.values())
            log.info(
                "event=rebalancing_view_reported median=%.1f stale=%s silent=%s moves=%d load=%s",
                self.view.fleet.median.total_seconds(),
                self.view.stale_shards,
                self.view.shards_without_load,
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
        """Apply a changed drain at once, not in the next round: no task is allowed to start on a draining machine."""
        assert self._controller is not None and self._drains is not None
        name = key.removeprefix(DRAINS)
        for led_shard in self._led_shards.values():
            machine = led_shard.leader.shard.machines.get(name)
            if machine is not None:
                led_shard.drains.apply(machine, self._drains.get(name))

    def _drain_machines(self, led_shard: _LedShard, now: timedelta) -> None:
        assert self._controller is not None and self._drains is not None
        shard = led_shard.leader.shard
        drained = {name for name, machine in shard.machines.items() if machine.drain_deadline is not None}
        for name in drained.union(name for name in self._drains.machine_names() if name in shard.machines):
            machine, drain = shard.machines[name], self._drains.get(name)
            led_shard.drains.apply(machine, drain)
            if drain is None:
                continue
            plan = Evacuation(drain.deadline, DRAIN_MARGIN_HEARTBEATS * self._heartbeat, patient=True)
            evacuate(shard, machine, plan, now, led_shard.leader.planner.run_time, led_shard.guidance.fetch_time)
            if led_shard.drains.became_empty(machine) and drain.delete:
                self._controller.autoscaling.deletion_queue.delete([name])

    async def _remove_orphans(self) -> None:
        assert self._controller is not None and self._drains is not None
        while True:
            await self._loop.sleep(ORPHAN_CHECK_INTERVAL)
            if (
                self._controller.leadership_state.autoscaler_term is not None
                and self._controller.leadership.policy.allows(Action.CLEAN_UP)
            ):
                await self._drains.remove_orphans()
