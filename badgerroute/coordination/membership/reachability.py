"""Whether the workers' reports reach this controller, and whether others' reach their owners.

A controller may lose its workers alone: state service and siblings still answer it, so its claims stay, and every
machine it owns would let go of its tasks a lease later. Its workers try the other controllers meanwhile. So these tell
an owner that has gone without reports which machines report to them, and it gives its part to the one that is heard.
"""

import logging
from collections.abc import Callable
from datetime import timedelta

from badgerroute.protocol import mesh as wire
from badgerroute.storage import records
from badgerroute.storage.records import MachineRecord
from badgerroute.storage.replica import MACHINES, Replica
from badgerroute.transport.http import Client, NoAnswerError
from badgerroute.transport.loop import Loop
from badgerroute.transport.net import Network

log = logging.getLogger("badgerroute.reachability")
MIN_MISDIRECTED = 2  # and one for each
SILENT_PER_MISDIRECTED = 8  # silent machines
MISDIRECTED_TTL = timedelta(seconds=6)
PROBE_EVERY = timedelta(seconds=2)
PROBES = 3
PROBE_LIMIT = timedelta(seconds=1)


class WorkerReachability:
    """Whether workers reach this controller."""

    def __init__(self, loop: Loop, network: Network, replica: Replica, random: Callable[[list[str], int], list[str]]):
        self._loop, self._network, self._replica, self._sample = loop, network, replica, random
        self._misdirected: dict[int, dict[str, timedelta]] = {}  # part -> machines that report to our siblings
        self.isolated = False  # we gave a part away because no worker reached us, and none has since

    def note_misdirected(self, misdirected: wire.MisdirectedReport, silent: int) -> bool:
        """Note that a machine of ours reported to a sibling; whether too many of the silent ones do for chance."""
        now = self._loop.now()
        known = self._misdirected.setdefault(misdirected.part, {})
        known[misdirected.machine] = now
        for name in [name for name, at in known.items() if now - at > MISDIRECTED_TTL]:
            del known[name]
        return silent > 0 and len(known) >= max(MIN_MISDIRECTED, silent // SILENT_PER_MISDIRECTED)

    def part_given_up(self, part: int) -> None:
        """A part was given to a sibling because no worker reached us."""
        self._misdirected.pop(part, None)
        self.isolated = True

    def heard(self) -> None:
        """A worker's report has reached us."""
        self.isolated = False

    async def probe(self) -> None:
        """Find out when workers can be reached again: they have no reason to report to us by themselves."""
        while True:
            await self._loop.sleep(PROBE_EVERY)
            if not self.isolated:
                continue
            members = self._replica.under(MACHINES)
            for key in self._sample(members, min(PROBES, len(members))):
                value = self._replica.value(key)
                if value is not None and await self._answers(records.read(value, MachineRecord).address):
                    log.info("event=workers_reached again=%s", key.removeprefix(MACHINES))
                    self.isolated = False
                    break

    async def _answers(self, address: str) -> bool:
        client = Client(self._loop, self._network, address, most_idle=1, connect=PROBE_LIMIT)
        try:
            return (await client.request("GET", "/status", b"", PROBE_LIMIT)).status == 200
        except NoAnswerError:
            return False
        finally:
            client.drop()
