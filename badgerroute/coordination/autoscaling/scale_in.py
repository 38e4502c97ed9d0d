"""The scale-in loop: each shard's leader returns idle machines to the cloud.

No machines are returned if, according to the settings, machines are rented ahead of demand.
"""

import logging
from collections.abc import Mapping
from datetime import timedelta

from badgerroute.connectivity.modes import Action
from badgerroute.coordination.autoscaling.machine_deletion import MachineDeletionQueue
from badgerroute.coordination.jobs.job_store import JobStore
from badgerroute.coordination.leadership.action_policy import ActionPolicy
from badgerroute.coordination.shards.shard_leader import ShardLeader
from badgerroute.protocol.cloud import MachineType
from badgerroute.scheduling.model import Machine
from badgerroute.scheduling.scale_out_planning import scales_out_ahead
from badgerroute.settings import Settings
from badgerroute.transport.loop import Loop

log = logging.getLogger(__name__)
INTERVAL = timedelta(seconds=2)
# While there are no jobs, the maximum idle time is divided by this, since no job could use the images that the machines
# cache.
IDLE_DIVISOR_WITHOUT_JOBS = 2


class ScaleIn:
    """Returns the idle machines of this controller's shards.

    `leaders` maps the shards that this controller leads to their leaders; it changes over time.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        loop: Loop,
        policy: ActionPolicy,
        job_store: JobStore,
        catalog: dict[str, MachineType],
        leaders: Mapping[int, ShardLeader],
        deletion_queue: MachineDeletionQueue,
    ) -> None:
        self._settings, self._loop, self._policy, self._job_store = settings, loop, policy, job_store
        self._catalog, self._leaders, self._deletion_queue = catalog, leaders, deletion_queue

    async def run(self) -> None:
        """Return to the cloud machines that were idle for longer than the maximum idle time; runs until cancelled."""
        while True:
            await self._loop.sleep(INTERVAL)
            if not self._catalog or scales_out_ahead(self._settings, self._catalog):
                continue
            max_idle = self._max_idle()
            for leader in list(self._leaders.values()):
                if self._may_return_machines(leader):
                    self._return_idle(leader, max_idle)

    def _max_idle(self) -> timedelta:
        max_idle = self._settings.operator.fleet.max_idle_time
        return max_idle if self._job_store.active else max_idle / IDLE_DIVISOR_WITHOUT_JOBS

    def _may_return_machines(self, leader: ShardLeader) -> bool:
        return leader.ready and leader.shard.reconciled and self._policy.allows_for(leader.number, Action.RETURN_IDLE)

    def _return_idle(self, leader: ShardLeader, max_idle: timedelta) -> None:
        machines = [machine for machine in leader.shard.machines.values() if self._is_unneeded(machine, max_idle)]
        for machine in machines:
            machine.unschedulable = True  # so that no more tasks are started on it
        if machines:
            names = [machine.name for machine in machines]
            log.info("event=machines_scaled_in shard=%d machines=%s", leader.number, ",".join(names))
            self._deletion_queue.delete(names)

    def _is_unneeded(self, machine: Machine, max_idle: timedelta) -> bool:
        idle_since = machine.idle_since
        if idle_since is None or self._loop.now() - idle_since <= max_idle:
            return False
        return machine.alive and machine.empty and not machine.reserved_for
