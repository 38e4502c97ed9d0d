"""Checks the links of this controller periodically, and updates its connectivity mode."""

import logging
from datetime import timedelta

from badgerroute.connectivity.failure_detector import STORE_TIMEOUT, FailureDetector
from badgerroute.connectivity.mode_machine import ModeMachine
from badgerroute.connectivity.modes import Mode, Reachability
from badgerroute.connectivity.process_pause import PauseDetector
from badgerroute.connectivity.worker_link import WorkerLink
from badgerroute.coordination.leadership.leadership_state import NEVER_CONFIRMED, LeadershipState
from badgerroute.coordination.membership.peers import Peers
from badgerroute.coordination.shards.shard_leader import ShardLeader
from badgerroute.settings import Settings
from badgerroute.transport.loop import Loop

log = logging.getLogger(__name__)
CHECK_INTERVAL = timedelta(milliseconds=250)


class ConnectivityMonitor:
    """Determines whether this controller reaches the key-value store, its peers, and its workers."""

    def __init__(
        self,
        *,
        settings: Settings,
        loop: Loop,
        leadership_state: LeadershipState,
        mode_machine: ModeMachine,
        peers: Peers,
        leaders: dict[int, ShardLeader],
    ) -> None:
        self._loop, self._leadership_state, self._mode_machine = loop, leadership_state, mode_machine
        self._peers, self._leaders = peers, leaders
        self._has_peers = settings.params.size > 1
        self._host = settings.platform.host_name
        self._pause_detector = PauseDetector(CHECK_INTERVAL, loop.now())
        self._store_detector = FailureDetector(STORE_TIMEOUT, loop.now())
        self.worker_link = WorkerLink()

    @property
    def mode(self) -> Mode:
        """The current connectivity mode."""
        return self._mode_machine.mode

    def resumed_at(self) -> timedelta:
        """Return when the last pause of this process ended, or when the process started if it was never paused."""
        return self._pause_detector.resumed_at

    def reaches_store(self) -> bool:
        """Whether the key-value store has recently answered both a lease renewal and a watch."""
        last_confirmed = self._leadership_state.last_confirmed
        if last_confirmed > NEVER_CONFIRMED:
            self._store_detector.record_heartbeat(last_confirmed)
        return not self._store_detector.suspected(self._loop.now())

    def lacks_store_alone(self) -> bool:
        """Whether users should use another controller, since only this one seems to lack the key-value store."""
        return self._reachability().lacks_store_alone

    async def run(self) -> None:
        """Check the links every `CHECK_INTERVAL` until cancelled."""
        while True:
            await self._loop.sleep(CHECK_INTERVAL)
            self.update()

    def update(self) -> None:
        """Check the links now, and update the mode."""
        now = self._loop.now()
        process_pause = self._pause_detector.tick(now)
        if process_pause:
            self._discount_pause(process_pause, now)
        self.worker_link.update(
            {leader.number: leader.count_silent_machines() for leader in self._leaders.values() if leader.ready}, now
        )
        change = self._mode_machine.update(self._reachability(), now)
        if change is not None:
            log.info(
                "event=mode_changed host=%s from=%s to=%s cause=%s settle=%.1f",
                self._host,
                change.before.value,
                change.after.value,
                change.cause.value,
                self._mode_machine.damping.delay(now).total_seconds(),
            )

    def _discount_pause(self, process_pause: timedelta, now: timedelta) -> None:
        log.info("event=process_paused host=%s seconds=%.1f", self._host, process_pause.total_seconds())
        for detector in (self._store_detector, *self._peers.failure_detectors.values()):
            detector.discount_pause(process_pause, now)

    def _reachability(self) -> Reachability:
        peers = self._peers.reachable().values()
        return Reachability(
            store=self.reaches_store(),
            workers=not self.worker_link.lost,
            peers=bool(peers) or not self._has_peers,
            peer_with_store=any(peer.gossip.store_reachable for peer in peers),
        )
