"""When a part is handed to another controller: to the one whose home it is, or to the one that its workers reach."""

import logging
from datetime import timedelta

from badgerroute.coordination.membership.reachability import WorkerReachability
from badgerroute.coordination.membership.siblings import Siblings
from badgerroute.coordination.ownership.claims import Claims
from badgerroute.coordination.parts.owner import Owner
from badgerroute.protocol.mesh import MisdirectedReport
from badgerroute.settings import Settings
from badgerroute.transport.loop import Loop

log = logging.getLogger("badgerroute.controller")
ROUND = timedelta(seconds=2)


class PartHandOver:
    """Only parts that are ours are handed over, by `Claims.hand_over`."""

    def __init__(
        self,
        settings: Settings,
        loop: Loop,
        claims: Claims,
        siblings: Siblings,
        reachability: WorkerReachability,
        owners: dict[int, Owner],
    ) -> None:
        self._settings, self._loop, self._claims = settings, loop, claims
        self._siblings, self._reachability, self._owners = siblings, reachability, owners

    async def run(self) -> None:
        """A part goes back to its home controller once that one is there again."""
        while True:
            await self._loop.sleep(ROUND)
            for part in list(self._claims.parts):
                await self._send_home(part)

    async def _send_home(self, part: int) -> None:
        hosts = self._settings.hosts
        home = hosts[part] if part < len(hosts) else ""
        sibling = self._siblings.get(home)
        if part == self._settings.home or sibling is None:
            return
        owner = self._owners.get(part)
        # A sibling that has lost the state service still names the lease it once had. Its part was handed to it
        # again and again, each time given up first and claimed anew, and stood still for as long as the cut.
        if sibling.fit() and owner is not None and owner.part.settled:
            await self._claims.hand_over(part, home, sibling.gossip.lease)

    async def on_misdirected_report(self, misdirected: MisdirectedReport) -> None:
        """Our workers report to a sibling: if they don't reach us, it is to own them."""
        owner = self._owners.get(misdirected.part)
        if owner is None or not owner.ready or not owner.missed(misdirected.machine):
            return  # new machines report anywhere; they say nothing of us
        many = self._reachability.note_misdirected(misdirected, owner.silent())
        sibling = self._siblings.get(misdirected.host)
        if many and sibling is not None and sibling.fit():
            log.warning("event=workers_unheard part=%d to=%s", misdirected.part, misdirected.host)
            self._reachability.part_given_up(misdirected.part)
            await self._claims.hand_over(misdirected.part, misdirected.host, sibling.gossip.lease)
