"""What this controller leads, and for how long it may act on that: read by whoever acts for a shard.

Changed only by the other modules of this package.
"""

from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from badgerroute.coordination.leadership.leader_records import term_condition
from badgerroute.protocol.key_value import Compare
from badgerroute.settings import Settings
from badgerroute.storage.replica import Replica
from badgerroute.transport.loop import Loop

NEVER_CONFIRMED = -timedelta(days=1)


@dataclass(slots=True)
class Leadership:
    """The leadership of one shard by this controller."""

    term: int
    grace: timedelta  # counted from the election: how long earlier leaders may still act for the shard


class LeadershipListener(Protocol):
    """Notified of every shard that this controller begins or ceases to lead, in the step in which that happens."""

    def elected(self, shard: int, leadership: Leadership) -> None:
        """This controller leads the shard from now on."""

    def deposed(self, shard: int) -> None:
        """This controller must not act for the shard any more."""


class NotLeaderError(Exception):
    """A write was prepared for a shard that this controller does not lead (any more): it must not be sent."""

    def __init__(self, shard: int) -> None:
        super().__init__(f"this controller does not lead shard {shard}")
        self.shard = shard


class LeadershipState:
    """The shards that this controller leads, its lease, and when both were last confirmed.

    Invariant: without a lease nothing is led. Times are readings of the loop's steady clock.
    """

    def __init__(self, settings: Settings, loop: Loop, replica: Replica) -> None:
        self._loop, self._replica = loop, replica
        self._grace = settings.grace  # computed from the settings, and needed with every heartbeat
        self._ttl = settings.operator.election.ttl
        self._listeners: list[LeadershipListener] = []
        self.leaderships: dict[int, Leadership] = {}  # by shard
        self.autoscaler_term: int | None = None  # None: another controller runs the autoscaler, or none does
        self.lease: int | None = None  # None: not granted yet, or expired
        self.lease_confirmed_at = NEVER_CONFIRMED  # when the last renewal that was answered had been sent

    def register(self, listener: LeadershipListener) -> None:
        """Add a listener; to be done before the election runs. Listeners are called in the order of registration."""
        self._listeners.append(listener)

    # -- for whoever acts for a shard

    def condition(self, shard: int) -> Compare:
        """The condition that every write for a shard must carry. Raises NotLeaderError."""
        leadership = self.leaderships.get(shard)
        if leadership is None:
            raise NotLeaderError(shard)
        return term_condition(shard, leadership.term)

    def condition_if_led(self, shard: int) -> Compare | None:
        """The same; None if this controller does not lead the shard."""
        return self.condition(shard) if shard in self.leaderships else None

    @property
    def last_confirmed(self) -> timedelta:
        """The latest time at which no other controller can have led a shard of ours.

        The earlier of two confirmations: a renewed lease says nothing about changes that the watch has not delivered.
        """
        return min(self.lease_confirmed_at, self._replica.last_confirmed)

    def within_grace(self) -> bool:
        """Whether the last confirmation is recent enough to act on: docs/safety.md, G."""
        return self._loop.now() - self.last_confirmed < self._grace

    def lease_surely_valid(self) -> bool:
        """Whether no other controller can lead a shard of ours even now: our lease can't have ended by now.

        Stricter than `within_grace`: within G this controller may still act, since its successor waits for G to end,
        but it must not destroy what may belong to the successor.
        """
        return self._loop.now() - self.last_confirmed < self._ttl

    def may_lead(self, shard: int) -> bool:
        """Whether this controller leads a shard and may act for it now."""
        return shard in self.leaderships and self.within_grace()

    # -- for this package

    def notify_elected(self, shard: int) -> None:
        """Tell the listeners of a shard that was added to `leaderships`."""
        leadership = self.leaderships[shard]
        for listener in self._listeners:
            listener.elected(shard, leadership)

    def step_down(self, shard: int) -> None:
        """Give up a shard, if it is led, and tell the listeners."""
        if self.leaderships.pop(shard, None) is None:
            return
        for listener in self._listeners:
            listener.deposed(shard)

    def clear_lease(self) -> None:
        """Give up everything that depended on the lease."""
        self.lease = None
        self.lease_confirmed_at = NEVER_CONFIRMED
        self.autoscaler_term = None
        for shard in list(self.leaderships):
            self.step_down(shard)
