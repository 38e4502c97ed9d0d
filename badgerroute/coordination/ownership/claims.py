"""Leased claims: who owns a part, since when, and until when a controller may act on what it knows.

A claim's key lives on the controller's lease. Its revision is the part's term, and the workers' token.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from badgerroute.connectivity.modes import Permission
from badgerroute.protocol.state import Condition
from badgerroute.settings import Settings
from badgerroute.storage import records
from badgerroute.storage.budget import Urgency
from badgerroute.storage.replica import FLEET, PARTS, Replica
from badgerroute.storage.state import (
    ConflictError,
    LeaseExpiredError,
    OutcomeUnknownError,
    StateClient,
    StateUnavailableError,
    put,
    when,
)
from badgerroute.transport.clock import ZERO
from badgerroute.transport.loop import Future, Loop

log = logging.getLogger("badgerroute.claims")
NEVER = -timedelta(days=1)
FIRST_WAIT = timedelta(seconds=3)  # a part that nobody ever held is left to its home controller for so long
RETRY = timedelta(milliseconds=250)
RELUCTANCE = timedelta(seconds=1)


@dataclass(slots=True)
class Claim:
    """A part that is ours."""

    term: int
    grace: timedelta  # counted from the claim: how long whoever held it before may still act for it


class Claims:
    """The parts that this controller holds, and its right to act for them."""

    def __init__(
        self,
        settings: Settings,
        loop: Loop,
        state: StateClient,
        replica: Replica,
        won: Callable[[int, Claim], None],
        lost: Callable[[int], None],
        permission: Callable[[], Permission] = lambda: Permission.ALLOWED,
    ) -> None:
        self._settings, self._loop, self._state, self._replica = settings, loop, state, replica
        self._won, self._lost = won, lost
        self._permission = permission  # to claim parts
        self._freed = Future()  # a part has no owner any more
        self._me = settings.platform.host_name
        self._grace = settings.grace  # asked for with every report
        self.lease: int | None = None
        self.parts: dict[int, Claim] = {}
        self.fleet: int | None = None
        self._proved = NEVER
        self._started = loop.now()
        self._seen: set[int] = set()  # parts that were held by somebody once
        self._busy: set[int] = set()  # parts with a write of ours on its way
        self._above: dict[int, int] = {}  # the highest terms in which siblings said that they hold a part
        replica.listen(PARTS, self._part_changed)
        replica.listen(FLEET, self._fleet_changed)

    # -- what others ask

    def key(self, part: int) -> str:
        """The state service's key of a part's claim."""
        return f"{PARTS}{part}"

    def condition(self, part: int) -> Condition:
        """What every write for a part is conditional on."""
        return when(self.key(part), self.parts[part].term)

    @property
    def proved(self) -> timedelta:
        """Until when nobody else can have held what we hold."""
        return min(self._proved, self._replica.proved)

    def fresh(self) -> bool:
        """Whether what we know of the state service is recent enough to act on: docs/safety.md, G."""
        return self._loop.now() - self.proved < self._grace

    def certain(self) -> bool:
        """Whether nobody else can hold what we hold even now: our lease can't have ended since the last proof.

        Within G we may still act, since whoever comes after us waits for it; but not destroy what may be theirs by now.
        """
        return self._loop.now() - self.proved < self._settings.operator.claims.ttl

    def outranked(self, part: int, term: int) -> None:
        """A sibling says that it holds a part, in a higher term than ours: there is no need to wait for G."""
        self._above[part] = max(term, self._above.get(part, 0))
        claim = self.parts.get(part)
        # Also while a write of ours is on its way: a higher term that we ask for is conditional on the one we had, so
        # it came before the sibling's, or never. An owner that can't reach the state service is always just asking.
        if claim is not None and term > claim.term:
            log.warning("event=stood_down part=%d term=%d by=%d", part, claim.term, term)
            self._drop(part)

    def acting(self, part: int) -> bool:
        """Whether this controller holds a part and may act for it now."""
        return part in self.parts and self.fresh()

    def known_term(self, part: int) -> int:
        """The term of the last claim to a part that is known here; 0 if there is none."""
        return self._replica.revision_of(self.key(part))

    def owner(self, part: int) -> str | None:
        """The host that holds a part, as far as is known here."""
        value = self._replica.value(self.key(part))
        return records.read(value, records.PartClaim).owner if value else None

    # -- duty

    async def run(self) -> None:
        """Keep the lease and claim what is free, for as long as the controller runs."""
        await self._replica.ready
        pause = self._settings.operator.claims.ttl / 4
        while True:
            try:
                await self._keep_lease()
                if self._permission() is not Permission.REFUSED:
                    await self._claim_all()
            except (StateUnavailableError, OutcomeUnknownError) as error:
                log.info("event=claims_delayed error=%s", error)
                await self._loop.sleep(RETRY)
                continue
            except LeaseExpiredError:
                self._lease_ended()
                continue
            # Woken by the watch, all who are left come at once; then who has fewest parts goes first. When they came as
            # their pauses ended, a controller with two parts took a third while an idle one slept.
            await self._loop.first(self._freed, min(pause, RETRY) if self._wanting() else pause)
            self._freed = Future()

    async def _keep_lease(self) -> None:
        sent = self._loop.now()
        ttl = self._settings.operator.claims.ttl
        if self.lease is None:
            self.lease = await self._state.grant(ttl)
            log.info("event=lease_granted lease=%d", self.lease)
        else:
            if sent - self._proved < ttl / 5:
                return
            await self._state.touch(self.lease, min(ttl / 2, timedelta(seconds=1.5)))
        self._proved = sent

    def _lease_ended(self) -> None:
        log.warning("event=lease_lost parts=%s", sorted(self.parts))
        self.lease = None
        self._proved = NEVER
        self.fleet = None
        for part in list(self.parts):
            self._drop(part)

    def _drop(self, part: int) -> None:
        if self.parts.pop(part, None) is not None:
            self._lost(part)

    def _wanting(self) -> bool:
        return any(self._claimable(part) for part in range(self._settings.params.size))

    def _claimable(self, part: int) -> bool:
        if part in self.parts or part in self._busy:
            return False
        owner = self.owner(part)
        if owner is not None:
            return owner == self._me
        if part == self._settings.home or part in self._seen:
            return True
        return self._loop.now() - self._started > FIRST_WAIT

    async def _claim_all(self) -> None:
        size = self._settings.params.size
        home = self._settings.home
        for offset in range(size):  # the home part first
            part = (home + offset) % size
            if self._claimable(part):
                if part != home and self.owner(part) is None:
                    # Whoever has fewest parts should come first; a short pause settles most races.
                    await self._loop.sleep(timedelta(milliseconds=80) * len(self.parts) + self._reluctance())
                if self._claimable(part):
                    await self._claim(part)
        if self.fleet is None:
            await self._claim_fleet()

    def _reluctance(self) -> timedelta:
        """One that no worker reaches leaves a free part to others, if there are any."""
        return RELUCTANCE if self._permission() is Permission.RELUCTANT else ZERO

    async def _claim(self, part: int) -> None:
        value = self._replica.value(self.key(part))
        held = records.read(value, records.PartClaim) if value else None
        if held is not None and held.owner != self._me:
            return
        # Under our own name it is an earlier life of ours, which is over, or it was handed to us by an owner that
        # had stopped before. But an owner before that may have been cut off, so its time limit is kept. Where nobody
        # handed it over that is not enough: a claim of ours for the absent key may have been carried out seconds late,
        # after somebody else had held the part and been cut off, and then the time limit in it is too early.
        until = held.until if held is not None else 0.0
        if held is None or not held.handed:
            until = max(until, self._now_of_day() + self._settings.grace.total_seconds())
        await self._write(part, self._replica.revision_of(self.key(part)), until)

    def _now_of_day(self) -> float:
        return self._loop.clock.today().timestamp()

    async def _write(self, part: int, mark: int, until: float) -> int | None:
        key, lease = self.key(part), self.lease
        if lease is None:
            return None
        self._busy.add(part)
        try:
            record = records.PartClaim(self._me, until)
            term = await self._state.transact(
                [when(key, mark)], [put(key, records.write(record), lease)], Urgency.CLAIM
            )
        except ConflictError:
            log.info("event=claim_missed part=%d", part)
            item = await self._state.get(key, Urgency.CLAIM)
            if item is not None:
                self._replica.learn(key, bytes(item.value), item.revision)
            return None
        finally:
            self._busy.discard(part)
        if lease != self.lease:  # the lease ended while we waited: so did the claim
            return None
        if (
            max(self._above.get(part, 0), self._replica.revision_of(key)) > term
        ):  # so it has, and somebody else came after us
            return None
        bound = 2 * self._settings.params.time_bound_ms / 1000  # two controllers' times of day
        claim = Claim(term, max(ZERO, timedelta(seconds=until - self._now_of_day() + bound)))
        known = self.parts.get(part)
        self.parts[part] = claim
        self._replica.learn(key, bytes(records.write(record)), term)
        if known is None:
            log.info("event=part_claimed part=%d term=%d grace=%.1f", part, term, claim.grace.total_seconds())
            self._won(part, claim)
        return term

    async def raise_term(self, part: int) -> int | None:
        """A higher term for a part that is held already, for a machine that has seen a higher token."""
        claim = self.parts.get(part)
        if claim is None or part in self._busy:
            return None
        log.info("event=term_raised part=%d from=%d", part, claim.term)
        return await self._write(part, claim.term, self._until(part))

    def _until(self, part: int) -> float:
        value = self._replica.value(self.key(part))
        return records.read(value, records.PartClaim).until if value else 0.0

    async def hand_over(self, part: int, host: str, lease: int) -> None:
        """Give a part to the controller whose home it is. We stop acting for it before we write."""
        claim = self.parts.get(part)
        if claim is None or part in self._busy:
            return
        self._busy.add(part)
        self._drop(part)
        try:
            key = self.key(part)
            value = records.write(records.PartClaim(host, self._until(part), handed=True))
            mark = await self._state.transact([when(key, claim.term)], [put(key, value, lease)], Urgency.CLAIM)
            self._replica.learn(key, bytes(value), mark)
            log.info("event=part_handed_over part=%d to=%s", part, host)
        except (StateUnavailableError, OutcomeUnknownError, ConflictError, LeaseExpiredError) as error:
            log.info("event=hand_over_failed part=%d error=%s", part, error)
        finally:
            self._busy.discard(part)

    async def _claim_fleet(self) -> None:
        value = self._replica.value(FLEET)
        if value is not None and records.read(value, records.FleetClaim).owner != self._me:
            return
        record = records.write(records.FleetClaim(self._me))
        lease = self.lease
        try:
            mark = await self._state.transact(
                [when(FLEET, self._replica.revision_of(FLEET))], [put(FLEET, record, lease)], Urgency.CLAIM
            )
        except ConflictError:
            return
        if lease == self.lease:
            self.fleet = mark
            self._replica.learn(FLEET, bytes(record), mark)
            log.info("event=fleet_claimed term=%d", mark)

    # -- what the watch says

    def _part_changed(self, key: str, value: bytes | None, revision: int) -> None:
        part = int(key.removeprefix(PARTS))
        self._seen.add(part)
        if value is None:
            self._freed.set()
        claim = self.parts.get(part)
        if claim is not None and part not in self._busy and revision > claim.term:
            log.warning("event=deposed part=%d term=%d", part, claim.term)
            self._drop(part)

    def _fleet_changed(self, key: str, value: bytes | None, revision: int) -> None:
        if self.fleet is not None and revision > self.fleet:
            self.fleet = None
