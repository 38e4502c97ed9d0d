"""Reads the cloud's list of rented machines, and deletes the machines that will most likely never run a task."""

import logging
from datetime import timedelta

from badgerroute.coordination.autoscaling.machine_deletion import MachineDeletionQueue
from badgerroute.coordination.autoscaling.machine_ownership import MachineOwnership
from badgerroute.coordination.autoscaling.pending_machines import PendingMachines, PendingRental
from badgerroute.protocol.cloud import ListedMachine
from badgerroute.scheduling.scale_out_planning import MachinePool
from badgerroute.settings import Settings
from badgerroute.storage.cloud_client import CloudClient
from badgerroute.transport.loop import Loop

log = logging.getLogger(__name__)
MIN_LIST_INTERVAL = timedelta(seconds=3)
# Listing uses at most this portion of this controller's request rate at the cloud, and the rest is left for other
# requests. A single list of 4,000 machines takes eight requests.
MAX_LIST_SHARE = 0.5
LIST_AGE_MARGIN = timedelta(seconds=5)


def max_list_age(settings: Settings) -> timedelta:
    """Return how old the cloud's list may be: at most twice its usual delay plus a margin."""
    return 2 * settings.params.cloud.list_lag + LIST_AGE_MARGIN


class MachineInventory:
    """Compares the cloud's list of machines with the members of all shards and with the pending machines.

    Used by the autoscaler leader only.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        loop: Loop,
        cloud: CloudClient,
        ownership: MachineOwnership,
        pending: PendingMachines,
        deletion_queue: MachineDeletionQueue,
    ) -> None:
        self._loop, self._cloud, self._ownership = loop, cloud, ownership
        self._pending, self._deletion_queue = pending, deletion_queue
        self._min_interval = max(MIN_LIST_INTERVAL, settings.params.cloud.list_lag / 2)
        self._unclaimed_timeout = 2 * max_list_age(settings) + settings.params.workers.lease
        self._listed_at: timedelta | None = None  # last read of the list; None if not read since the last `reset`
        self._listing_time = timedelta(0)  # time to list all machines at this controller's request rate
        self._unclaimed_since: dict[str, timedelta] = {}  # running machine in no shard -> when this was first seen

    def reset(self) -> None:
        """Have the next `refresh` read the list without delay. Called while this controller may not rent machines."""
        self._listed_at = None

    async def refresh(self) -> None:
        """Read the list, unless it was read recently, and queue unusable machines for deletion.

        The list lags behind, so a machine that boots or belongs to no shard counts as unusable only after a timeout.
        Raises CloudUnavailableError if the list cannot be read; the next call tries again.
        """
        now = self._loop.now()
        interval = max(self._min_interval, self._listing_time / MAX_LIST_SHARE)
        if self._listed_at is not None and now - self._listed_at < interval:
            return
        machines = await self._cloud.list_machines()
        self._listed_at = now
        self._listing_time = self._cloud.listing_time(len(machines))
        self._discard_unusable(machines, now)

    def _discard_unusable(self, machines: list[ListedMachine], now: timedelta) -> None:
        members = self._ownership.members()
        listed = {machine.name for machine in machines}
        unusable = [machine.name for machine in machines if self._is_unusable(machine, members, now)]
        self._unclaimed_since = {
            name: unclaimed_since
            for name, unclaimed_since in self._unclaimed_since.items()
            if name in listed and name not in members
        }
        unusable += [name for name in self._pending.remove_timed_out(members, now) if name in listed]
        if unusable:
            log.info("event=machines_discarded machines=%s", ",".join(unusable))
            self._deletion_queue.delete(unusable)

    def _is_unusable(self, machine: ListedMachine, members: set[str], now: timedelta) -> bool:
        """Return whether a rented machine will most likely never run a task."""
        if machine.state == "failed":
            return not self._ownership.has_other_leader(
                machine.name
            )  # if another controller leads its shard, that one detects the failure sooner
        if machine.name in members:
            self._pending.remove_started([machine.name])
            return False
        if machine.state == "booting":
            return self._is_stuck(machine, now)
        return self._is_unclaimed(machine, now)

    def _is_stuck(self, machine: ListedMachine, now: timedelta) -> bool:
        """Return whether a booting machine has timed out. If not, add it to the pending machines.

        The machine is missing from them if an earlier autoscaler leader rented it.
        """
        rented_at = now - timedelta(seconds=machine.age_s)
        if self._pending.has_timed_out(machine.type, rented_at, now):
            return True
        if machine.name not in self._pending:
            pool = MachinePool(machine.type, machine.zone, machine.spot)
            self._pending.add(machine.name, PendingRental(pool, 1, rented_at))
        return False

    def _is_unclaimed(self, machine: ListedMachine, now: timedelta) -> bool:
        """Return whether a running machine has belonged to no shard for too long, as when its worker is unreachable."""
        if self._pending.expects(machine.name):
            return False
        unclaimed_since = self._unclaimed_since.setdefault(machine.name, now)
        return now - unclaimed_since > self._unclaimed_timeout
