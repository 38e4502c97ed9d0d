"""Handles lost and preempted machines: expires their leases, has them deleted, or moves their tasks elsewhere."""

import logging
from collections.abc import Callable
from datetime import timedelta

from badgerroute.connectivity.modes import Action
from badgerroute.coordination.leadership.action_policy import ActionPolicy
from badgerroute.coordination.leadership.leadership_state import LeadershipState
from badgerroute.scheduling import draining
from badgerroute.scheduling.planner import Planner
from badgerroute.scheduling.shard import Shard
from badgerroute.settings import Settings

log = logging.getLogger(__name__)
SILENCE_TIMEOUT = timedelta(seconds=4)  # a machine that stays silent for longer after its lease has expired is deleted
# The timeout if so many machines are lost that this controller's own link may be at fault.
LONG_SILENCE_TIMEOUT = 5 * SILENCE_TIMEOUT


class MachineExpiry:
    """Expires the leases of one shard's machines. `grace`: for how long after the election a former leader may act."""

    def __init__(
        self,
        *,
        settings: Settings,
        shard: Shard,
        planner: Planner,
        leadership_state: LeadershipState,
        policy: ActionPolicy,
        delete_machines: Callable[[list[str]], None],
        grace: timedelta,
    ) -> None:
        self._shard, self._planner, self._leadership_state, self._policy = shard, planner, leadership_state, policy
        self._delete_machines, self._grace = delete_machines, grace
        self._machine_lease = settings.machine_lease
        self._evacuation_margin = 2 * settings.params.workers.heartbeat_interval

    def expire(self, now: timedelta) -> None:
        """Reclaim the tasks of machines whose lease has certainly expired, and delete those that then stay silent."""
        lost = self._shard.expire_leases(now, self._leadership_state.last_confirmed, self._machine_lease, self._grace)
        for machine in lost:
            machine.lost_at = now
        if lost:
            names = ",".join(machine.name for machine in lost)
            log.info("event=machines_lost shard=%d machines=%s", self._shard.number, names)
        self._delete_lost(now)

    def _delete_lost(self, now: timedelta) -> None:
        """Have machines deleted that stay silent after their lease has expired.

        The timeout gives machines time to return. After an interruption during which this controller could not answer
        heartbeats, all machines return by themselves.
        """
        lost_since = {
            machine.name: machine.lost_at
            for machine in self._shard.machines.values()
            if not machine.alive and machine.lost_at is not None
        }
        few_lost = 3 * len(lost_since) <= len(self._shard.machines) + 3
        timeout = SILENCE_TIMEOUT if few_lost else LONG_SILENCE_TIMEOUT
        names = [name for name, lost_at in lost_since.items() if now - lost_at > timeout]
        if names and self._policy.allows_for(self._shard.number, Action.GIVE_UP_MACHINE):
            self._delete_machines(names)

    def evacuate_preempted(self, now: timedelta) -> None:
        """Move the tasks off spot machines that have a preemption notice, before these machines are preempted."""
        for machine in self._shard.machines.values():
            if machine.preemption_notice is not None:
                plan = draining.Evacuation(machine.preemption_notice, self._evacuation_margin, patient=False)
                fetch_time = self._shard.guidance.fetch_time
                draining.evacuate(self._shard, machine, plan, now, self._planner.run_time, fetch_time)
