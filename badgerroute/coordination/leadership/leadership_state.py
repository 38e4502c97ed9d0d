"""The shards that this controller leads, and when its leadership was last confirmed.

Other packages read this state before they act for a shard; only the modules of this package change it.
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
    grace: timedelta  # for how long after this election an earlier leader may still act for the shard


class LeadershipListener(Protocol):
    """Is notified whenever this controller begins or ceases to lead a shard, synchronously with the change."""

    def elected(self, shard: int, leadership: Leadership) -> None:
        """This controller has been elected leader of the shard."""

    def deposed(self, shard: int) -> None:
        """This controller no longer leads the shard and must stop acting for it."""


class NotLeaderError(Exception):
    """Raised for a write for a shard that this controller does not lead; the write must not be sent."""

    def __init__(self, shard: int) -> None:
        super().__init__(f"this controller does not lead shard {shard}")
        self.shard = shard


class LeadershipState:
    """The shards that this controller leads, its lease, and when they were last confirmed.

    Invariant: a controller without a lease leads no shard. Times are readings of the event loop's monotonic clock.
    """

    def __init__(self, settings: Settings, loop: Loop, replica: Replica) -> None:
        self._loop, self._replica = loop, replica
        self._grace = settings.grace  # cached: each access computes the property anew, and every heartbeat needs it
        self._ttl = settings.operator.election.ttl
        self._listeners: list[LeadershipListener] = []
        self.leaderships: dict[int, Leadership] = {}  # by shard
        self.autoscaler_term: int | None = None  # None while this controller does not run the autoscaler
        self.lease: int | None = None  # None before the lease is granted and after it has expired
        self.lease_confirmed_at = NEVER_CONFIRMED  # when the last acknowledged grant or renewal was sent

    def register(self, listener: LeadershipListener) -> None:
        """Add a listener before the election runs. Listeners are called in the order of registration."""
        self._listeners.append(listener)

    # -- for other packages

    def leadership_condition(self, shard: int) -> Compare:
        """Return the compare that every write for a shard must include. Raise NotLeaderError if it is not led here."""
        leadership = self.leaderships.get(shard)
        if leadership is None:
            raise NotLeaderError(shard)
        return term_condition(shard, leadership.term)

    def leadership_condition_if_led(self, shard: int) -> Compare | None:
        """Return `leadership_condition(shard)`, or None if this controller does not lead the shard."""
        return self.leadership_condition(shard) if shard in self.leaderships else None

    @property
    def last_confirmed(self) -> timedelta:
        """The latest time at which this controller is known to have been the only leader of its shards.

        This is the earlier of the last lease renewal and the last watch response: even with a renewed lease, a shard
        may have a new leader that the watch has not reported yet.
        """
        return min(self.lease_confirmed_at, self._replica.last_confirmed)

    def within_grace(self) -> bool:
        """Whether the last confirmation is younger than the grace period, called G in docs/safety.md."""
        return self._loop.now() - self.last_confirmed < self._grace

    def lease_surely_valid(self) -> bool:
        """Whether the lease can't have expired yet, so that no other controller can lead one of its shards now.

        This is stricter than `within_grace`. During the grace period this controller may still act, because a new
        leader waits for the period to end, but it must not destroy anything that may already belong to that leader.
        """
        return self._loop.now() - self.last_confirmed < self._ttl

    def may_lead(self, shard: int) -> bool:
        """Whether this controller leads a shard and is still within the grace period."""
        return shard in self.leaderships and self.within_grace()

    # -- for the modules of this package

    def notify_elected(self, shard: int) -> None:
        """Notify the listeners of a shard that was added to `leaderships`."""
        leadership = self.leaderships[shard]
        for listener in self._listeners:
            listener.elected(shard, leadership)

    def step_down(self, shard: int) -> None:
        """Stop leading a shard and notify the listeners; do nothing if the shard is not led."""
        if self.leaderships.pop(shard, None) is None:
            return
        for listener in self._listeners:
            listener.deposed(shard)

    def clear_lease(self) -> None:
        """Forget the lease, and stop leading shards and running the autoscaler, which both require the lease."""
        self.lease = None
        self.lease_confirmed_at = NEVER_CONFIRMED
        self.autoscaler_term = None
        for shard in list(self.leaderships):
            self.step_down(shard)
