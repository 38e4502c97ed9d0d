"""Deletion of machines at the cloud.

Every controller deletes members of its own shards. The autoscaler leader also deletes machines that never became
members.
"""

import logging
from collections.abc import Iterable
from datetime import timedelta
from typing import Protocol

from badgerroute.connectivity.modes import Action
from badgerroute.coordination.autoscaling.machine_ownership import MachineOwnership
from badgerroute.coordination.leadership.action_policy import ActionPolicy
from badgerroute.storage.cloud_client import MAX_MACHINES_PER_DELETION, CloudClient
from badgerroute.storage.errors import CloudUnavailableError, NoCapacityError
from badgerroute.transport.loop import Loop

log = logging.getLogger(__name__)
INTERVAL = timedelta(milliseconds=200)
RETRY_PAUSE = timedelta(seconds=1)


class MachineDeletionListener(Protocol):
    """Receives the names of machines whose deletion the cloud has confirmed."""

    def machines_deleted(self, names: list[str]) -> None:
        """Called when the cloud has confirmed that these machines, and with them all their tasks, have ended."""


class MachineDeletionQueue:
    """Queue of machines to delete, in the order in which their deletion was requested.

    A machine stays in the queue until the cloud confirms its deletion, until it is found to be a member of a shard that
    another controller leads, or until its deletion is cancelled.
    """

    def __init__(
        self,
        *,
        loop: Loop,
        cloud: CloudClient,
        policy: ActionPolicy,
        ownership: MachineOwnership,
        listeners: Iterable[MachineDeletionListener],
    ) -> None:
        self._loop, self._cloud, self._policy, self._ownership = loop, cloud, policy, ownership
        self._listeners = tuple(listeners)
        self._queue: dict[str, None] = {}

    def delete(self, names: Iterable[str]) -> None:
        """Queue machines for deletion. A machine that is queued already keeps its position."""
        self._queue.update(dict.fromkeys(names))

    def cancel(self, names: Iterable[str]) -> None:
        """Remove machines from the queue, for example because another controller is responsible for them now."""
        for name in names:
            self._queue.pop(name, None)

    async def run(self) -> None:
        """Delete the queued machines in batches; runs until cancelled."""
        while True:
            await self._loop.sleep(INTERVAL)
            self.cancel([name for name in self._queue if self._ownership.has_other_leader(name)])
            names = list(self._queue)[:MAX_MACHINES_PER_DELETION]
            # Delete only while no other controller can lead this controller's shards. After a pause of its process, a
            # controller once deleted machines that a new leader was using (docs/incidents.md).
            if not names or not self._policy.allows(Action.DELETE):
                continue
            try:
                await self._cloud.delete(names)
            except (CloudUnavailableError, NoCapacityError) as error:
                log.info("event=machine_deletion_failed machines=%d error=%s", len(names), error)
                await self._loop.sleep(RETRY_PAUSE)
                continue
            log.info("event=machines_deleted machines=%s", ",".join(names))
            self.cancel(names)
            for listener in self._listeners:
                listener.machines_deleted(names)
