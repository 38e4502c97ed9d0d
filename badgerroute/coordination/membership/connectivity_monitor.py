"""Gathers what this controller reaches, keeps its mode, and finds out when workers can be reached again."""

import logging
from collections.abc import Callable
from datetime import timedelta

from badgerroute.connectivity.damping import FlapDamping
from badgerroute.connectivity.links import STATE_SERVICE, Link
from badgerroute.connectivity.mode_machine import ModeMachine
from badgerroute.connectivity.modes import Mode, Reachable
from badgerroute.connectivity.process_pause import PauseDetector
from badgerroute.connectivity.worker_link import WorkerLink
from badgerroute.coordination.leadership.leader_election import NEVER, LeaderElection
from badgerroute.coordination.membership.peers import Peers
from badgerroute.coordination.shards.shard_leader import ShardLeader
from badgerroute.settings import Settings
from badgerroute.storage import records
from badgerroute.storage.records import MachineRecord
from badgerroute.storage.replica import MACHINES, Replica
from badgerroute.transport.http import Client, NoAnswerError
from badgerroute.transport.loop import Loop
from badgerroute.transport.net import Network

log = logging.getLogger(__name__)
TICK = timedelta(milliseconds=250)
PROBE_PERIOD = timedelta(seconds=2)
PROBED_MACHINES = 3
PROBE_LIMIT = timedelta(seconds=1)


class ConnectivityMonitor:
    """`sample` draws some of a list, for the machines to probe."""

    def __init__(
        self,
        settings: Settings,
        loop: Loop,
        network: Network,
        replica: Replica,
        election: LeaderElection,
        peers: Peers,
        leaders: dict[int, ShardLeader],
        sample: Callable[[list[str], int], list[str]],
    ) -> None:
        self._loop, self._network, self._replica, self._election = loop, network, replica, election
        self._peers, self._leaders, self._sample = peers, leaders, sample
        self._has_peers = settings.params.size > 1
        self._host = settings.platform.host_name
        connectivity = settings.operator.connectivity
        self._damping = FlapDamping(connectivity.settle, connectivity.longest_settle, connectivity.penalty_half_life)
        self._machine = ModeMachine(self._damping)
        self._pause_detector = PauseDetector(TICK, loop.now())
        self._store_link = Link(STATE_SERVICE, loop.now())
        self.worker_link = WorkerLink()

    @property
    def mode(self) -> Mode:
        """What this controller reaches."""
        return self._machine.mode

    def resumed_at(self) -> timedelta:
        """The end of this process's last pause, or its start."""
        return self._pause_detector.resumed_at

    def reaches_store(self) -> bool:
        """Whether the key-value store has answered a renewal and a watch lately."""
        last_confirmed = self._election.last_confirmed
        if last_confirmed > NEVER:
            self._store_link.heard(last_confirmed)
        return not self._store_link.suspected(self._loop.now())

    def alone(self) -> bool:
        """Whether users are served better elsewhere: only this controller lacks the key-value store."""
        return self._reachable().alone

    async def run(self) -> None:
        """Judge the links a few times a second."""
        while True:
            await self._loop.sleep(TICK)
            self.update()

    def update(self) -> None:
        """Judge the links now."""
        now = self._loop.now()
        process_pause = self._pause_detector.turn(now)
        if process_pause:
            log.info("event=process_paused host=%s seconds=%.1f", self._host, process_pause.total_seconds())
            for link in (self._store_link, *self._peers.links.values()):
                link.excuse(process_pause, now)
        self.worker_link.update(
            {leader.number: leader.silent_machines() for leader in self._leaders.values() if leader.ready}, now
        )
        change = self._machine.update(self._reachable(), now)
        if change is not None:
            log.info(
                "event=mode_changed host=%s from=%s to=%s cause=%s settle=%.1f",
                self._host,
                change.before.value,
                change.after.value,
                change.cause,
                self._damping.delay(now).total_seconds(),
            )

    def _reachable(self) -> Reachable:
        heard = self._peers.heard().values()
        return Reachable(
            store=self.reaches_store(),
            workers=not self.worker_link.lost,
            peers=bool(heard) or not self._has_peers,
            peer_with_store=any(peer.gossip.store_reachable for peer in heard),
        )

    async def probe(self) -> None:
        """Find out when workers can be reached again: they have no reason to heartbeat to us by themselves."""
        while True:
            await self._loop.sleep(PROBE_PERIOD)
            now = self._loop.now()
            if self.worker_link.lost and self.worker_link.lost_for(now) >= self._damping.extra(now):
                await self._probe_some()

    async def _probe_some(self) -> None:
        members = self._replica.under(MACHINES)
        for key in self._sample(members, min(PROBED_MACHINES, len(members))):
            value = self._replica.value(key)
            if value is not None and await self._answers(records.read(value, MachineRecord).address):
                log.info("event=workers_probed again=%s", key.removeprefix(MACHINES))
                self.worker_link.reached(self._loop.now())
                return

    async def _answers(self, address: str) -> bool:
        client = Client(self._loop, self._network, address, most_idle=1, connect=PROBE_LIMIT)
        try:
            return (await client.request("GET", "/status", b"", PROBE_LIMIT)).status == 200
        except NoAnswerError:
            return False
        finally:
            client.drop()
