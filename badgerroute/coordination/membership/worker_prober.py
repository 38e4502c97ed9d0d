"""Probes workers while they seem unable to reach this controller, because they may not return by themselves."""

import logging
from collections.abc import Callable
from datetime import timedelta

from badgerroute.connectivity.damping import FlapDamping
from badgerroute.connectivity.worker_link import WorkerLink
from badgerroute.storage import records
from badgerroute.storage.keys import MACHINES
from badgerroute.storage.records import MachineRecord
from badgerroute.storage.replica import Replica
from badgerroute.transport.http import Client, NoAnswerError
from badgerroute.transport.loop import Loop
from badgerroute.transport.net import Network

log = logging.getLogger(__name__)
PROBE_INTERVAL = timedelta(seconds=2)
MACHINES_PER_PROBE = 3  # per round
PROBE_TIMEOUT = timedelta(seconds=1)  # for connecting, and the same again for the response
STATUS_OK = 200


class WorkerProber:
    """Requests the status of a few random machines periodically while the worker link is lost.

    `sample` draws the given number of random elements from a list. If links have been flapping, probing starts only
    after the extra delay of `damping`.
    """

    def __init__(
        self,
        *,
        loop: Loop,
        network: Network,
        replica: Replica,
        worker_link: WorkerLink,
        damping: FlapDamping,
        sample: Callable[[list[str], int], list[str]],
    ) -> None:
        self._loop, self._network, self._replica = loop, network, replica
        self._worker_link, self._damping, self._sample = worker_link, damping, sample

    async def run(self) -> None:
        """Probe once per `PROBE_INTERVAL` while the link is lost, until cancelled."""
        while True:
            await self._loop.sleep(PROBE_INTERVAL)
            now = self._loop.now()
            if self._worker_link.lost and self._worker_link.lost_for(now) >= self._damping.extra_delay(now):
                await self._probe_sample()

    async def _probe_sample(self) -> None:
        machine_keys = self._replica.keys_under(MACHINES)
        for key in self._sample(machine_keys, min(MACHINES_PER_PROBE, len(machine_keys))):
            value = self._replica.value(key)
            if value is not None and await self._answers_status_request(records.read(value, MachineRecord).address):
                log.info("event=workers_probed again=%s", key.removeprefix(MACHINES))
                self._worker_link.record_machine_reached(self._loop.now())
                return

    async def _answers_status_request(self, address: str) -> bool:
        client = Client(self._loop, self._network, address, most_idle=1, connect=PROBE_TIMEOUT)
        try:
            return (await client.request("GET", "/status", b"", PROBE_TIMEOUT)).status == STATUS_OK
        except NoAnswerError:
            return False
        finally:
            client.drop()
