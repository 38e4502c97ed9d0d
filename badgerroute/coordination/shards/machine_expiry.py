"""Machines that are lost or taken back: their leases run out, they are deleted, or their work is moved in time."""

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
LOST_LIMIT = timedelta(seconds=4)  # after which a lost machine that stays silent is deleted
LONG_LOST_LIMIT = 5 * LOST_LIMIT  # if so many are lost that the fault may be on our side


class MachineExpiry:
    """Expires machines of one shard. `grace`: for how long a former leader may still have acted after our election."""

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
        """Give up tasks of machines whose lease has surely run out, and have machines deleted that stay lost."""
        lost = self._shard.expire(now, self._leadership_state.last_confirmed, self._machine_lease, self._grace)
        for machine in lost:
            machine.lost_at = now
        if lost:
            names = ",".join(machine.name for machine in lost)
            log.info("event=machines_lost shard=%d machines=%s", self._shard.number, names)
        self._delete_lost(now)

    def _delete_lost(self, now: timedelta) -> None:
        """Only machines that stay silent: when we could not answer for a while, all come back by themselves."""
        lost_since = {
            machine.name: machine.lost_at
            for machine in self._shard.machines.values()
            if not machine.alive and machine.lost_at is not None
        }
        few = 3 * len(lost_since) <= len(self._shard.machines) + 3
        limit = LOST_LIMIT if few else LONG_LOST_LIMIT
        names = [name for name, lost_at in lost_since.items() if now - lost_at > limit]
        if names and self._policy.allows_for(self._shard.number, Action.GIVE_UP_MACHINE):
            self._delete_machines(names)

    def evacuate_preempted(self, now: timedelta) -> None:
        """Use the time that is left of machines that the cloud takes back."""
        for machine in self._shard.machines.values():
            if machine.preemption_notice is not None:
                plan = draining.Evacuation(machine.preemption_notice, self._evacuation_margin, patient=False)
                fetch_time = self._shard.guidance.fetch_time
                draining.evacuate(self._shard, machine, plan, now, self._planner.run_time, fetch_time)
