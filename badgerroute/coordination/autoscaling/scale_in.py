"""Machines that nothing needs are returned, where one can be had again in time."""

import logging
from collections.abc import Callable
from datetime import timedelta

from badgerroute.connectivity.modes import Action
from badgerroute.coordination.jobs.job_store import JobStore
from badgerroute.coordination.leadership.action_policy import ActionPolicy
from badgerroute.coordination.shards.shard_leader import ShardLeader
from badgerroute.protocol.cloud import MachineType
from badgerroute.scheduling.model import Machine
from badgerroute.scheduling.scale_out_planning import scales_out_ahead
from badgerroute.settings import Settings
from badgerroute.transport.loop import Loop

log = logging.getLogger(__name__)
ROUND = timedelta(seconds=2)
NO_JOBS = 2  # there is nothing that a warm cache could be of use to: it is waited so much less


class ScaleIn:
    """`delete` has machines deleted at the cloud."""

    def __init__(
        self,
        settings: Settings,
        loop: Loop,
        policy: ActionPolicy,
        job_store: JobStore,
        catalog: dict[str, MachineType],
        leaders: dict[int, ShardLeader],
        delete: Callable[[list[str]], None],
    ) -> None:
        self._settings, self._loop, self._policy, self._job_store = settings, loop, policy, job_store
        self._catalog, self._leaders, self._delete = catalog, leaders, delete

    async def run(self) -> None:
        """Look for idle machines every other second."""
        while True:
            await self._loop.sleep(ROUND)
            if not self._catalog or scales_out_ahead(self._settings, self._catalog):
                continue
            idle = self._settings.operator.fleet.idle
            if not self._job_store.active:
                idle /= NO_JOBS
            for leader in list(self._leaders.values()):
                if (
                    leader.ready
                    and leader.shard.reconciled
                    and self._policy.allows_for(leader.number, Action.RETURN_IDLE)
                ):
                    self._return(leader, idle)

    def _return(self, leader: ShardLeader, idle: timedelta) -> None:
        machines = [machine for machine in leader.shard.machines.values() if self._useless(machine, idle)]
        for machine in machines:
            machine.draining = True  # from here on nothing starts on it
        if machines:
            names = [machine.name for machine in machines]
            log.info("event=machines_scaled_in shard=%d machines=%s", leader.number, ",".join(names))
            self._delete(names)

    def _useless(self, machine: Machine, idle: timedelta) -> bool:
        since = machine.idle_since
        if since is None or self._loop.now() - since <= idle:
            return False
        return machine.alive and machine.empty and not machine.reserved_for
