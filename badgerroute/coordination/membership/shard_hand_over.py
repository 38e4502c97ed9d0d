"""When a shard is handed to another controller: to the one whose home it is, or to one that its workers reach."""

import logging
from datetime import timedelta

from badgerroute.connectivity.hand_over_choice import Candidate, choose_receiver
from badgerroute.connectivity.modes import Action
from badgerroute.coordination.membership.connectivity_monitor import ConnectivityMonitor
from badgerroute.coordination.membership.siblings import Sibling, Siblings
from badgerroute.coordination.ownership.action_gate import ActionGate
from badgerroute.coordination.ownership.claims import Claims
from badgerroute.coordination.shards.owner import Owner
from badgerroute.protocol.mesh import MisdirectedReport
from badgerroute.settings import Settings
from badgerroute.transport.loop import Loop

log = logging.getLogger("badgerroute.controller")
ROUND = timedelta(seconds=2)


class ShardHandOver:
    """Only shards that are ours are handed over, by `Claims.hand_over`."""

    def __init__(
        self,
        settings: Settings,
        loop: Loop,
        claims: Claims,
        permits: ActionGate,
        siblings: Siblings,
        monitor: ConnectivityMonitor,
        owners: dict[int, Owner],
    ) -> None:
        self._settings, self._loop, self._claims, self._permits = settings, loop, claims, permits
        self._siblings, self._monitor, self._owners = siblings, monitor, owners
        self._worker_link = monitor.worker_link
        self._relay_for = settings.operator.connectivity.relay_for

    async def run(self) -> None:
        """Hand over one shard a round: first what its workers can't report here, else what has its home elsewhere."""
        while True:
            await self._loop.sleep(ROUND)
            if self._permits.allows(Action.HAND_OVER) and not await self._hand_unheard():
                await self._send_home()

    # -- shards whose home controller is there again

    async def _send_home(self) -> None:
        for shard in list(self._claims.shards):
            host = self._home(shard)
            sibling = self._siblings.get(host)
            owner = self._owners.get(shard)
            # A sibling that has lost the state service still names the lease it once had. Its shard was handed to it
            # again and again, each time given up first and claimed anew, and stood still for as long as the cut.
            if sibling is not None and sibling.fit() and owner is not None and owner.shard.settled:
                await self._claims.hand_over(shard, host, sibling.gossip.lease)
                return

    def _home(self, shard: int) -> str:
        hosts = self._settings.hosts
        return hosts[shard] if shard < len(hosts) else ""

    # -- shards whose workers don't reach us

    async def on_misdirected_report(self, misdirected: MisdirectedReport) -> None:
        """A machine of ours reported to a sibling that did not relay the report: if many do, the shard goes there."""
        owner = self._owners.get(misdirected.shard)
        if owner is None or not owner.ready or not owner.missed(misdirected.machine):
            return  # new machines report anywhere; they say nothing of us
        self._worker_link.note_elsewhere(
            misdirected.shard, misdirected.machine, misdirected.host, self._loop.now(), relayed=False
        )
        self._monitor.update()
        if self._permits.allows(Action.HAND_OVER):
            await self._hand_unheard()

    async def _hand_unheard(self) -> bool:
        """Hand a shard over that relaying does not serve, or has served for long enough; whether there was one."""
        now = self._loop.now()
        long_enough = self._worker_link.lost_for(now) >= self._relay_for
        for owner in list(self._owners.values()):
            silent = owner.silent() if owner.ready else 0
            relayed = None if long_enough else False
            if not self._worker_link.lost or not self._worker_link.missing(owner.number, silent, now, relayed):
                continue
            receiver = self._receiver(owner, now)
            if receiver is not None:
                await self._hand(owner, receiver)
                return True
        return False

    def _receiver(self, owner: Owner, now: timedelta) -> Sibling | None:
        fit = {host: sibling for host, sibling in self._siblings.heard().items() if sibling.fit()}
        hosts = self._worker_link.hosts(owner.number, now)
        candidates = [
            Candidate(host, heard, sum(shard.machines for shard in fit[host].gossip.shards))
            for host, heard in hosts.items()
            if host in fit
        ]
        chosen = choose_receiver(candidates, len(owner.shard.machines))
        return None if chosen is None else fit[chosen.host]

    async def _hand(self, owner: Owner, receiver: Sibling) -> None:
        host = receiver.gossip.host
        log.warning("event=workers_unheard shard=%d to=%s", owner.number, host)
        self._worker_link.shard_given_up(owner.number)
        await self._claims.hand_over(owner.number, host, receiver.gossip.lease)
