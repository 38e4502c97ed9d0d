"""The periodic scheduling round of a shard. Other scheduling decisions are made when a heartbeat arrives."""

from datetime import timedelta

from badgerroute.connectivity.modes import Action
from badgerroute.coordination.leadership.action_policy import ActionPolicy
from badgerroute.coordination.shards.deadline import deadline_check
from badgerroute.coordination.shards.machine_expiry import MachineExpiry
from badgerroute.coordination.shards.quota_exchange import QuotaExchange
from badgerroute.coordination.shards.urgent_stops import UrgentStops
from badgerroute.scheduling.planner import Planner
from badgerroute.scheduling.shard import Shard
from badgerroute.transport.loop import Loop

ROUND_INTERVAL = timedelta(milliseconds=250)


class SchedulingRounds:
    """Runs the scheduling rounds of one shard. The planner may take `planning_time_limit` in each round."""

    def __init__(
        self,
        *,
        shard: Shard,
        planner: Planner,
        loop: Loop,
        policy: ActionPolicy,
        machine_expiry: MachineExpiry,
        urgent_stops: UrgentStops,
        quota_exchange: QuotaExchange,
        planning_time_limit: timedelta,
    ) -> None:
        self._shard, self._planner, self._loop, self._policy = shard, planner, loop, policy
        self._machine_expiry, self._urgent_stops = machine_expiry, urgent_stops
        self._quota_exchange, self._planning_time_limit = quota_exchange, planning_time_limit

    async def run(self) -> None:
        """Run a round every `ROUND_INTERVAL`, except while this controller may not stop tasks of the shard."""
        while True:
            await self._loop.sleep(ROUND_INTERVAL)
            if not self._policy.allows_for(self._shard.number, Action.STOP):
                continue
            self._run_round(self._loop.now())
            if self._policy.allows_for(self._shard.number, Action.MOVE_QUOTA):
                await self._quota_exchange.acquire_missing_quota()

    def _run_round(self, now: timedelta) -> None:
        """Run one round without awaiting: expire leases, place gangs, preempt for arrays, then send urgent stops."""
        out_of_time = deadline_check(self._loop, now + self._planning_time_limit)
        self._machine_expiry.expire(now)
        self._machine_expiry.evacuate_preempted(now)
        self._shard.expire_reservations(now)
        self._shard.reconcile()
        self._planner.release_reservations(now)
        if self._policy.allows_for(self._shard.number, Action.START):
            self._planner.place_gangs(now, out_of_time)
            if not out_of_time():
                self._planner.preempt_for_arrays(now, out_of_time)
        self._planner.update_desires(now)
        self._urgent_stops.send()
