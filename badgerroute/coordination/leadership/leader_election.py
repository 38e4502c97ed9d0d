"""Leased claims: who owns a shard, since when, and until when a controller may act on what it knows.

A claim's key lives on the controller's lease. Its revision is the shard's term, and the workers' token.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from badgerroute.connectivity.modes import Permission
from badgerroute.protocol.key_value import Compare
from badgerroute.settings import Settings
from badgerroute.storage import records
from badgerroute.storage.errors import CompareFailedError, LeaseExpiredError, OutcomeUnknownError, StoreUnavailableError
from badgerroute.storage.key_value_client import KeyValueClient
from badgerroute.storage.keys import AUTOSCALER_LEADER, SHARD_LEADERS
from badgerroute.storage.operations import compare, put
from badgerroute.storage.rate_limiter import Urgency
from badgerroute.storage.replica import Replica
from badgerroute.transport.clock import ZERO
from badgerroute.transport.loop import Future, Loop

log = logging.getLogger(__name__)
NEVER = -timedelta(days=1)
HOME_PRIORITY_PERIOD = timedelta(seconds=3)  # a shard that nobody ever held is left to its home controller for so long
RETRY = timedelta(milliseconds=250)
RELUCTANT_DELAY = timedelta(seconds=1)


@dataclass(slots=True)
class Leadership:
    """A shard that is ours."""

    term: int
    grace: timedelta  # counted from the leadership: how long whoever held it before may still act for it


class LeaderElection:
    """The shards that this controller holds, and its right to act for them."""

    def __init__(
        self,
        settings: Settings,
        loop: Loop,
        store: KeyValueClient,
        replica: Replica,
        on_elected: Callable[[int, Leadership], None],
        on_deposed: Callable[[int], None],
        permission: Callable[[], Permission] = lambda: Permission.ALLOWED,
    ) -> None:
        self._settings, self._loop, self._store, self._replica = settings, loop, store, replica
        self._on_elected, self._on_deposed = on_elected, on_deposed
        self._permission = permission  # to claim shards
        self._shard_freed = Future()  # a shard has no leader any more
        self._host = settings.platform.host_name
        self._grace = settings.grace  # asked for with every heartbeat
        self.lease: int | None = None
        self.leaderships: dict[int, Leadership] = {}
        self.autoscaler_term: int | None = None
        self._last_confirmed = NEVER
        self._started = loop.now()
        self._ever_led: set[int] = set()  # shards that were held by somebody once
        self._writing: set[int] = set()  # shards with a write of ours on its way
        self._peer_terms: dict[int, int] = {}  # the highest terms in which peers said that they hold a shard
        replica.listen(SHARD_LEADERS, self._shard_changed)
        replica.listen(AUTOSCALER_LEADER, self._autoscaler_leader_changed)

    # -- what others ask

    def key(self, shard: int) -> str:
        """The key-value store's key of a shard's claim."""
        return f"{SHARD_LEADERS}{shard}"

    def condition(self, shard: int) -> Compare:
        """What every write for a shard is conditional on."""
        return compare(self.key(shard), self.leaderships[shard].term)

    @property
    def last_confirmed(self) -> timedelta:
        """Until when nobody else can have held what we hold."""
        return min(self._last_confirmed, self._replica.last_confirmed)

    def within_grace(self) -> bool:
        """Whether what we know of the key-value store is recent enough to act on: docs/safety.md, G."""
        return self._loop.now() - self.last_confirmed < self._grace

    def lease_surely_valid(self) -> bool:
        """Whether nobody else can hold what we hold even now: our lease can't have ended since the last proof.

        Within G we may still act, since whoever comes after us waits for it; but not destroy what may be theirs by now.
        """
        return self._loop.now() - self.last_confirmed < self._settings.operator.election.ttl

    def step_down_if_outranked(self, shard: int, term: int) -> None:
        """A peer says that it holds a shard, in a higher term than ours: there is no need to wait for G."""
        self._peer_terms[shard] = max(term, self._peer_terms.get(shard, 0))
        leadership = self.leaderships.get(shard)
        # Also while a write of ours is on its way: a higher term that we ask for is conditional on the one we had, so
        # it came before the peer's, or never. A leader that can't reach the key-value store is always just asking.
        if leadership is not None and term > leadership.term:
            log.warning("event=leader_stepped_down shard=%d term=%d by=%d", shard, leadership.term, term)
            self._step_down(shard)

    def may_lead(self, shard: int) -> bool:
        """Whether this controller holds a shard and may act for it now."""
        return shard in self.leaderships and self.within_grace()

    def known_term(self, shard: int) -> int:
        """The term of the last claim to a shard that is known here; 0 if there is none."""
        return self._replica.revision_of(self.key(shard))

    def leader(self, shard: int) -> str | None:
        """The host that holds a shard, as far as is known here."""
        value = self._replica.value(self.key(shard))
        return records.read(value, records.ShardLeaderRecord).leader if value else None

    # -- duty

    async def run(self) -> None:
        """Keep the lease and claim what is free, for as long as the controller runs."""
        await self._replica.ready
        pause = self._settings.operator.election.ttl / 4
        while True:
            try:
                await self._keep_lease()
                if self._permission() is not Permission.REFUSED:
                    await self._campaign_for_all()
            except (StoreUnavailableError, OutcomeUnknownError) as error:
                log.info("event=election_delayed error=%s", error)
                await self._loop.sleep(RETRY)
                continue
            except LeaseExpiredError:
                self._lease_ended()
                continue
            # Woken by the watch, all who are left come at once; then who has fewest shards goes first. When they came
            # as their pauses ended, a controller with two shards took a third while an idle one slept.
            await self._loop.first(self._shard_freed, min(pause, RETRY) if self._any_shard_free() else pause)
            self._shard_freed = Future()

    async def _keep_lease(self) -> None:
        sent = self._loop.now()
        ttl = self._settings.operator.election.ttl
        if self.lease is None:
            self.lease = await self._store.grant(ttl)
            log.info("event=lease_granted lease=%d", self.lease)
        else:
            if sent - self._last_confirmed < ttl / 5:
                return
            await self._store.touch(self.lease, min(ttl / 2, timedelta(seconds=1.5)))
        self._last_confirmed = sent

    def _lease_ended(self) -> None:
        log.warning("event=lease_expired shards=%s", sorted(self.leaderships))
        self.lease = None
        self._last_confirmed = NEVER
        self.autoscaler_term = None
        for shard in list(self.leaderships):
            self._step_down(shard)

    def _step_down(self, shard: int) -> None:
        if self.leaderships.pop(shard, None) is not None:
            self._on_deposed(shard)

    def _any_shard_free(self) -> bool:
        return any(self._may_campaign(shard) for shard in range(self._settings.params.size))

    def _may_campaign(self, shard: int) -> bool:
        if shard in self.leaderships or shard in self._writing:
            return False
        leader = self.leader(shard)
        if leader is not None:
            return leader == self._host
        if shard == self._settings.home or shard in self._ever_led:
            return True
        return self._loop.now() - self._started > HOME_PRIORITY_PERIOD

    async def _campaign_for_all(self) -> None:
        size = self._settings.params.size
        home = self._settings.home
        for offset in range(size):  # the home shard first
            shard = (home + offset) % size
            if self._may_campaign(shard):
                if shard != home and self.leader(shard) is None:
                    # Whoever has fewest shards should come first; a short pause settles most races.
                    await self._loop.sleep(timedelta(milliseconds=80) * len(self.leaderships) + self._campaign_delay())
                if self._may_campaign(shard):
                    await self._campaign(shard)
        if self.autoscaler_term is None:
            await self._campaign_for_autoscaler()

    def _campaign_delay(self) -> timedelta:
        """One that no worker reaches leaves a free shard to others, if there are any."""
        return RELUCTANT_DELAY if self._permission() is Permission.RELUCTANT else ZERO

    async def _campaign(self, shard: int) -> None:
        value = self._replica.value(self.key(shard))
        held = records.read(value, records.ShardLeaderRecord) if value else None
        if held is not None and held.leader != self._host:
            return
        # Under our own name it is an earlier life of ours, which is over, or it was handed to us by a leader that
        # had stopped before. But a leader before that may have been cut off, so its time limit is kept. Where nobody
        # handed it over that is not enough: a claim of ours for the absent key may have been carried out seconds late,
        # after somebody else had held the shard and been cut off, and then the time limit in it is too early.
        until = held.until if held is not None else 0.0
        if held is None or not held.transferred:
            until = max(until, self._now_of_day() + self._settings.grace.total_seconds())
        await self._write(shard, self._replica.revision_of(self.key(shard)), until)

    def _now_of_day(self) -> float:
        return self._loop.clock.today().timestamp()

    async def _write(self, shard: int, revision: int, until: float) -> int | None:
        key, lease = self.key(shard), self.lease
        if lease is None:
            return None
        self._writing.add(shard)
        try:
            record = records.ShardLeaderRecord(self._host, until)
            term = await self._store.transact(
                [compare(key, revision)], [put(key, records.write(record), lease)], Urgency.LEADERSHIP
            )
        except CompareFailedError:
            log.info("event=election_lost shard=%d", shard)
            item = await self._store.get(key, Urgency.LEADERSHIP)
            if item is not None:
                self._replica.learn(key, bytes(item.value), item.revision)
            return None
        finally:
            self._writing.discard(shard)
        if lease != self.lease:  # the lease ended while we waited: so did the leadership
            return None
        if (
            max(self._peer_terms.get(shard, 0), self._replica.revision_of(key)) > term
        ):  # so it has, and somebody else came after us
            return None
        bound = 2 * self._settings.params.time_bound_ms / 1000  # two controllers' times of day
        leadership = Leadership(term, max(ZERO, timedelta(seconds=until - self._now_of_day() + bound)))
        previous = self.leaderships.get(shard)
        self.leaderships[shard] = leadership
        self._replica.learn(key, bytes(records.write(record)), term)
        if previous is None:
            log.info("event=leader_elected shard=%d term=%d grace=%.1f", shard, term, leadership.grace.total_seconds())
            self._on_elected(shard, leadership)
        return term

    async def raise_term(self, shard: int) -> int | None:
        """A higher term for a shard that is held already, for a machine that has seen a higher token."""
        leadership = self.leaderships.get(shard)
        if leadership is None or shard in self._writing:
            return None
        log.info("event=term_raised shard=%d from=%d", shard, leadership.term)
        return await self._write(shard, leadership.term, self._grace_end(shard))

    def _grace_end(self, shard: int) -> float:
        value = self._replica.value(self.key(shard))
        return records.read(value, records.ShardLeaderRecord).until if value else 0.0

    async def transfer(self, shard: int, host: str, lease: int) -> None:
        """Give a shard to the controller whose home it is. We stop acting for it before we write."""
        leadership = self.leaderships.get(shard)
        if leadership is None or shard in self._writing:
            return
        self._writing.add(shard)
        self._step_down(shard)
        try:
            key = self.key(shard)
            value = records.write(records.ShardLeaderRecord(host, self._grace_end(shard), transferred=True))
            revision = await self._store.transact(
                [compare(key, leadership.term)], [put(key, value, lease)], Urgency.LEADERSHIP
            )
            self._replica.learn(key, bytes(value), revision)
            log.info("event=leadership_transferred shard=%d to=%s", shard, host)
        except (StoreUnavailableError, OutcomeUnknownError, CompareFailedError, LeaseExpiredError) as error:
            log.info("event=leadership_transfer_failed shard=%d error=%s", shard, error)
        finally:
            self._writing.discard(shard)

    async def _campaign_for_autoscaler(self) -> None:
        value = self._replica.value(AUTOSCALER_LEADER)
        if value is not None and records.read(value, records.AutoscalerLeaderRecord).leader != self._host:
            return
        record = records.write(records.AutoscalerLeaderRecord(self._host))
        lease = self.lease
        try:
            revision = await self._store.transact(
                [compare(AUTOSCALER_LEADER, self._replica.revision_of(AUTOSCALER_LEADER))],
                [put(AUTOSCALER_LEADER, record, lease)],
                Urgency.LEADERSHIP,
            )
        except CompareFailedError:
            return
        if lease == self.lease:
            self.autoscaler_term = revision
            self._replica.learn(AUTOSCALER_LEADER, bytes(record), revision)
            log.info("event=autoscaler_elected term=%d", revision)

    # -- what the watch says

    def _shard_changed(self, key: str, value: bytes | None, revision: int) -> None:
        shard = int(key.removeprefix(SHARD_LEADERS))
        self._ever_led.add(shard)
        if value is None:
            self._shard_freed.set()
        leadership = self.leaderships.get(shard)
        if leadership is not None and shard not in self._writing and revision > leadership.term:
            log.warning("event=leader_deposed shard=%d term=%d", shard, leadership.term)
            self._step_down(shard)

    def _autoscaler_leader_changed(self, key: str, value: bytes | None, revision: int) -> None:
        if self.autoscaler_term is not None and revision > self.autoscaler_term:
            self.autoscaler_term = None
