"""The periodic round of decisions for a shard; the others are made with each heartbeat."""

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
    """Runs the rounds of one shard. `limit`: how long the planner may take in each."""

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
        limit: timedelta,
    ) -> None:
        self._shard, self._planner, self._loop, self._policy = shard, planner, loop, policy
        self._machine_expiry, self._urgent_stops = machine_expiry, urgent_stops
        self._quota_exchange, self._limit = quota_exchange, limit

    async def run(self) -> None:
        """Decide a few times a second, while tasks of the shard may be stopped at all."""
        while True:
            await self._loop.sleep(ROUND_INTERVAL)
            if not self._policy.allows_for(self._shard.number, Action.STOP):
                continue
            self._decide(self._loop.now())
            if self._policy.allows_for(self._shard.number, Action.MOVE_QUOTA):
                await self._quota_exchange.seek()

    def _decide(self, now: timedelta) -> None:
        """One round, in one step: losses first, then room for what waits, then the stops that follow from it."""
        is_over = deadline_check(self._loop, now + self._limit)
        self._machine_expiry.expire(now)
        self._machine_expiry.evacuate_preempted(now)
        self._shard.expire_reservations(now)
        self._shard.reconcile()
        self._planner.release_reservations(now)
        if self._policy.allows_for(self._shard.number, Action.START):
            self._planner.gangs(now, is_over)
            if not is_over():
                self._planner.preempt_for_arrays(now, is_over)
        self._planner.feedback(now)
        self._urgent_stops.send()
