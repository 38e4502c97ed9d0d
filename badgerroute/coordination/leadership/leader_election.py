"""Leader election: campaigns for shards without a leader, raises terms, and steps down for a higher term."""

import logging
from contextlib import suppress
from datetime import timedelta
from enum import Enum

from badgerroute.connectivity.modes import Action, Permission
from badgerroute.coordination.leadership.action_policy import ActionPolicy
from badgerroute.coordination.leadership.autoscaler_election import AutoscalerElection
from badgerroute.coordination.leadership.leader_records import LeaderRecords, shard_of_key
from badgerroute.coordination.leadership.leadership_state import Leadership, LeadershipState
from badgerroute.coordination.leadership.lease_keeper import LeaseKeeper
from badgerroute.settings import Settings
from badgerroute.storage.errors import CompareFailedError, LeaseExpiredError, OutcomeUnknownError, StoreUnavailableError
from badgerroute.storage.keys import SHARD_LEADERS
from badgerroute.storage.records import ShardLeaderRecord
from badgerroute.storage.replica import Replica
from badgerroute.transport.clock import ZERO
from badgerroute.transport.loop import Future, Loop

log = logging.getLogger(__name__)
# For this long after its start, a controller does not campaign for shards that have had no leader yet, except its home
# shard, so that each of them can be led by its home controller.
HOME_PRIORITY_PERIOD = timedelta(seconds=3)
RETRY_DELAY = timedelta(milliseconds=250)
RELUCTANT_CAMPAIGN_DELAY = timedelta(seconds=1)
CAMPAIGN_DELAY_PER_LED_SHARD = timedelta(milliseconds=80)  # for each shard that the controller leads


class ClaimFailure(Enum):
    """Why this controller did not become the leader of a shard, or could not raise the term of a shard it leads."""

    NOT_LEADER = "this controller does not lead the shard, so it can't raise the term"
    WRITE_PENDING = "another write of the leader record is in flight"
    NO_LEASE = "this controller has no lease"
    COMPARE_FAILED = "another controller wrote the leader record first"
    LEASE_EXPIRED = "the lease ended during the write"
    OUTRANKED = "another controller already leads the shard in a higher term"


class LeadershipNotGainedError(Exception):
    """This controller did not become the leader of a shard, or could not raise the term of a shard that it leads.

    The caller must not act in a new term. The election loop retries.
    """

    def __init__(self, shard: int, reason: ClaimFailure) -> None:
        super().__init__(f"shard {shard}: {reason.value}")
        self.shard, self.reason = shard, reason


class LeaderElection:
    """Campaigns for shards without a leader, and records the shards won in `LeadershipState`."""

    def __init__(
        self,
        *,
        settings: Settings,
        loop: Loop,
        replica: Replica,
        leadership_state: LeadershipState,
        leader_records: LeaderRecords,
        lease_keeper: LeaseKeeper,
        autoscaler_election: AutoscalerElection,
        policy: ActionPolicy,
    ) -> None:
        self._settings, self._loop, self._replica, self._policy = settings, loop, replica, policy
        self._state, self._records, self._lease_keeper = leadership_state, leader_records, lease_keeper
        self._autoscaler_election = autoscaler_election
        self._host = settings.platform.host_name
        self._started_at = loop.now()
        self._shard_freed = Future()  # set when a leader record is deleted
        self._ever_led: set[int] = set()  # shards that had a leader at any time since this controller started
        self._peer_terms: dict[int, int] = {}  # shard -> the highest term that a peer reported as its own
        replica.listen(SHARD_LEADERS, self._record_changed)

    async def run(self) -> None:
        """Renew the lease and campaign for shards without a leader, until cancelled."""
        await self._replica.ready
        while True:
            try:
                await self._lease_keeper.renew()
                if self._policy.permission(Action.CAMPAIGN) is not Permission.REFUSED:
                    await self._campaign_for_all()
            except (StoreUnavailableError, OutcomeUnknownError) as error:
                log.info("event=election_delayed error=%s", error)
                await self._loop.sleep(RETRY_DELAY)
                continue
            except LeaseExpiredError:
                self._lease_keeper.drop_expired_lease()
                continue
            await self._wait_for_free_shard()

    async def _wait_for_free_shard(self) -> None:
        # The watch event of a deleted leader record wakes all controllers at the same time, so the campaign delay lets
        # the one with the fewest shards write first. If each woke only at its own interval, a controller that leads
        # many shards could write before one that leads none.
        pause = self._settings.operator.election.ttl / 4
        await self._loop.first(self._shard_freed, min(pause, RETRY_DELAY) if self._any_shard_free() else pause)
        self._shard_freed = Future()

    # -- campaigning

    def _any_shard_free(self) -> bool:
        return any(self._may_campaign(shard) for shard in range(self._settings.params.size))

    def _may_campaign(self, shard: int) -> bool:
        if shard in self._state.leaderships or shard in self._records.pending_writes:
            return False
        leader = self._records.leader_host(shard)
        if leader is not None:
            return leader == self._host
        if shard == self._settings.home_shard or shard in self._ever_led:
            return True
        return self._loop.now() - self._started_at > HOME_PRIORITY_PERIOD

    async def _campaign_for_all(self) -> None:
        size, home = self._settings.params.size, self._settings.home_shard
        for offset in range(size):  # starts with the home shard
            shard = (home + offset) % size
            if not self._may_campaign(shard):
                continue
            if shard != home and self._records.leader_host(shard) is None:
                await self._loop.sleep(self._campaign_delay())
            if self._may_campaign(shard):
                await self._campaign(shard)
        await self._autoscaler_election.campaign()

    def _campaign_delay(self) -> timedelta:
        """Return how long to wait before campaigning for a shard other than the home shard.

        The controller that leads the fewest shards waits the shortest time and so wins most elections. A controller
        that workers can't reach waits one second longer, so that any other controller wins.
        """
        reluctant = self._policy.permission(Action.CAMPAIGN) is Permission.RELUCTANT
        return CAMPAIGN_DELAY_PER_LED_SHARD * len(self._state.leaderships) + (
            RELUCTANT_CAMPAIGN_DELAY if reluctant else ZERO
        )

    async def _campaign(self, shard: int) -> None:
        record = self._records.record(shard)
        if record is not None and record.leader != self._host:
            return
        with suppress(LeadershipNotGainedError):  # retried in the next round if the shard still has no leader
            await self._claim(shard, self._records.term(shard), self._grace_end_for_claim(record))

    def _grace_end_for_claim(self, record: ShardLeaderRecord | None) -> float:
        """Return the time of day until which an earlier leader may still act, for the new leader record.

        A record that names this controller was written by an earlier run of it, which has ended, or by a leader that
        stepped down and transferred the shard here. Since a still earlier leader may have been cut off, the returned
        time is never before the time in the record. Only after a transfer is the time in the record sufficient. In the
        other case the store may have applied a delayed write of ours after another controller had led the shard and was
        cut off; the time in the record would then be too early.
        """
        grace_end = record.until if record is not None else 0.0
        if record is not None and record.transferred:
            return grace_end
        return max(grace_end, self._time_of_day() + self._settings.grace.total_seconds())

    def _time_of_day(self) -> float:
        return self._loop.clock.today().timestamp()

    # -- terms

    async def raise_term(self, shard: int) -> int:
        """Obtain a higher term for a shard that this controller leads, and return it.

        Needed when a machine has seen a fencing token above the current term. Raises LeadershipNotGainedError,
        LeaseExpiredError, StoreUnavailableError or OutcomeUnknownError. The old term then remains in force unless the
        leader record was written in a later term, in which case this controller steps down.
        """
        leadership = self._state.leaderships.get(shard)
        if leadership is None:
            raise LeadershipNotGainedError(shard, ClaimFailure.NOT_LEADER)
        if shard in self._records.pending_writes:
            raise LeadershipNotGainedError(shard, ClaimFailure.WRITE_PENDING)
        log.info("event=term_raised shard=%d from=%d", shard, leadership.term)
        return await self._claim(shard, leadership.term, self._records.grace_end(shard))

    async def _claim(self, shard: int, expected_term: int, grace_end: float) -> int:
        """Write this host as the leader if the shard's term is still `expected_term`, and return the new term."""
        lease = self._state.lease
        if lease is None:
            raise LeadershipNotGainedError(shard, ClaimFailure.NO_LEASE)
        record = ShardLeaderRecord(self._host, grace_end)
        try:
            with self._records.pending_write(shard):
                term = await self._write_record(shard, record, expected_term, lease)
            if lease != self._state.lease:  # the lease ended during the write, and the key was deleted with it
                raise LeadershipNotGainedError(shard, ClaimFailure.LEASE_EXPIRED)
            if max(self._peer_terms.get(shard, 0), self._records.term(shard)) > term:
                raise LeadershipNotGainedError(shard, ClaimFailure.OUTRANKED)
            self._record_leadership(shard, record, term)
        finally:
            self._step_down_if_superseded(shard)
        return term

    async def _write_record(self, shard: int, record: ShardLeaderRecord, expected_term: int, lease: int) -> int:
        """Write the leader record if the shard's term is still `expected_term`, and return the new term.

        If the store does not report the outcome, the record is read back: had the write been applied, each later write
        for the shard would be conditional on a term that the store no longer has.
        """
        try:
            return await self._records.write(shard, record, expected_term, lease)
        except CompareFailedError as error:
            log.info("event=election_lost shard=%d", shard)
            await self._records.refresh(shard)
            raise LeadershipNotGainedError(shard, ClaimFailure.COMPARE_FAILED) from error
        except OutcomeUnknownError:
            term = await self._records.term_if_written(shard, record, expected_term)
            if term is None:
                raise
            log.info("event=election_read_back shard=%d term=%d", shard, term)
            return term

    def _record_leadership(self, shard: int, record: ShardLeaderRecord, term: int) -> None:
        max_clock_skew = 2 * self._settings.params.time_bound_ms / 1000  # seconds between the clocks of two controllers
        grace = timedelta(seconds=record.until - self._time_of_day() + max_clock_skew)
        leadership = Leadership(term, max(ZERO, grace))
        newly_elected = shard not in self._state.leaderships
        self._state.leaderships[shard] = leadership
        self._records.learn(shard, record, term)
        if newly_elected:
            log.info("event=leader_elected shard=%d term=%d grace=%.1f", shard, term, leadership.grace.total_seconds())
            self._state.notify_elected(shard)

    # -- stepping down

    def step_down_if_outranked(self, shard: int, peer_term: int) -> None:
        """Step down at once, before the grace period ends, if a peer reports that it leads the shard in a higher term.

        The controller also steps down while its own write to raise the term is in flight. That write is conditional on
        the old term, so it was applied before the peer's election or never will be. Waiting for its outcome would not
        help, since a leader that can't reach the key-value store always has such a write in flight.
        """
        self._peer_terms[shard] = max(peer_term, self._peer_terms.get(shard, 0))
        leadership = self._state.leaderships.get(shard)
        if leadership is not None and peer_term > leadership.term:
            log.warning("event=leader_stepped_down shard=%d term=%d by=%d", shard, leadership.term, peer_term)
            self._state.step_down(shard)

    def _record_changed(self, key: str, value: bytes | None, revision: int) -> None:
        shard = shard_of_key(key)
        self._ever_led.add(shard)
        if value is None:
            self._shard_freed.set()
        leadership = self._state.leaderships.get(shard)
        if leadership is not None and shard not in self._records.pending_writes and revision > leadership.term:
            self._step_down_for_new_record(shard, leadership.term)

    def _step_down_if_superseded(self, shard: int) -> None:
        """Step down if the leader record changed during a write of it and the write did not yield the new term.

        `_record_changed` ignores the changes during a write, since the write's own change is among them.
        """
        leadership = self._state.leaderships.get(shard)
        if leadership is not None and self._records.term(shard) != leadership.term:
            self._step_down_for_new_record(shard, leadership.term)

    def _step_down_for_new_record(self, shard: int, term: int) -> None:
        log.warning("event=leader_deposed shard=%d term=%d", shard, term)
        self._state.step_down(shard)
