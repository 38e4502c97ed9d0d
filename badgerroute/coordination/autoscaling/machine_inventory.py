"""Reads the cloud's list of machines, and has deleted what costs money there and most likely never will be used."""

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
MAX_LIST_SHARE = 0.5  # of the calls to the cloud: at 4,000 machines a list takes eight pages
LIST_AGE_MARGIN = timedelta(seconds=5)


def max_list_age(settings: Settings) -> timedelta:
    """How old the cloud's list may be."""
    return 2 * settings.params.cloud.list_lag + LIST_AGE_MARGIN


class MachineInventory:
    """Compares the list with the members and the pending machines. In use at the autoscaler leader only."""

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
        self._listed_at: timedelta | None = None  # when the list was last asked for; None: not in this term
        self._listing_time = timedelta(0)  # that a list of all machines takes at this controller's rate of calls
        self._unclaimed_since: dict[str, timedelta] = {}  # machines that run, and are no shard's member

    def reset(self) -> None:
        """This controller does not rent now: read the list as soon as it does."""
        self._listed_at = None

    async def refresh(self) -> None:
        """Read the list if it is time to. It lags, so it is only good for states that last.

        Raises CloudUnavailableError if it cannot be read; it is tried again at the next call.
        """
        now = self._loop.now()
        interval = max(self._min_interval, self._listing_time / MAX_LIST_SHARE)
        if self._listed_at is not None and now - self._listed_at < interval:
            return
        machines = await self._cloud.machines()
        self._listed_at = now
        self._listing_time = self._cloud.listing_time(len(machines))
        self._discard_unusable(machines, now)

    def _discard_unusable(self, machines: list[ListedMachine], now: timedelta) -> None:
        members = self._ownership.members()
        listed = {machine.name for machine in machines}
        unusable = [machine.name for machine in machines if self._is_unusable(machine, members, now)]
        self._unclaimed_since = {
            name: since for name, since in self._unclaimed_since.items() if name in listed and name not in members
        }
        unusable += [name for name in self._pending.remove_timed_out(members, now) if name in listed]
        if unusable:
            log.info("event=machines_discarded machines=%s", ",".join(unusable))
            self._deletion_queue.delete(unusable)

    def _is_unusable(self, machine: ListedMachine, members: set[str], now: timedelta) -> bool:
        """Whether a machine costs money and most likely will never run a task."""
        if machine.state == "failed":
            return not self._ownership.has_other_leader(machine.name)  # else its leader learns of it sooner
        if machine.name in members:
            self._pending.started([machine.name])
            return False
        if machine.state == "booting":
            return self._is_stuck(machine, now)
        return self._is_unclaimed(machine, now)

    def _is_stuck(self, machine: ListedMachine, now: timedelta) -> bool:
        """Whether a booting machine has timed out. If not, it is pending, whoever rented it."""
        rented_at = now - timedelta(seconds=machine.age_s)
        if self._pending.has_timed_out(machine.type, rented_at, now):
            return True
        if machine.name not in self._pending:
            pool = MachinePool(machine.type, machine.zone, machine.spot)
            self._pending.add(machine.name, PendingRental(pool, 1, rented_at))
        return False

    def _is_unclaimed(self, machine: ListedMachine, now: timedelta) -> bool:
        """Whether a machine runs and has not reported to any controller for long: its worker may be cut off."""
        if self._pending.expects(machine.name):
            return False
        since = self._unclaimed_since.setdefault(machine.name, now)
        return now - since > self._unclaimed_timeout
