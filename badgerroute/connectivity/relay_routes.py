"""At a controller that does not own a machine: whether to send its heartbeat on to the leader, or the machine there.

A machine that comes back soon after it was told to heartbeat to its leader can't reach it. Its heartbeats are relayed
from then on. Now and then it is told once more, with a pause that doubles, to find out whether the cut is over.
"""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

BOUNCED_WITHIN = timedelta(seconds=9)  # a worker gives a node up after 4 s, and tries the next 1 s later
FIRST_TRIAL = timedelta(seconds=10)
LONGEST_TRIAL = timedelta(seconds=80)
FORGOTTEN = timedelta(seconds=120)
RETURN_SPREAD = timedelta(seconds=4)  # over which machines go back to a leader that hears its workers again
SPREAD_BUCKETS = 16
NEVER = timedelta(0)


class Route(Enum):
    """What happens to a heartbeat of a machine that is not ours."""

    REDIRECT = "redirect"
    RELAY = "relay"


@dataclass(slots=True)
class _MachineRoute:
    leader: str
    asked: timedelta  # when the machine reported here last
    relayed: bool
    next_trial: timedelta
    redirected: timedelta | None = None
    bounced: timedelta = NEVER
    pause: timedelta = FIRST_TRIAL


class RelayRoutes:
    """The routes of all machines that heartbeat here and are not ours; one small entry for each."""

    def __init__(self) -> None:
        self._routes: dict[str, _MachineRoute] = {}
        self._swept = NEVER
        self._without_workers: set[str] = set()  # leaders that lacked their workers when last looked at
        self._heard_again: dict[str, timedelta] = {}

    def __len__(self) -> int:
        return len(self._routes)

    def decide(self, machine: str, leader: str, workers_unreachable: bool, busy: bool, now: timedelta) -> Route:
        """What to do with a heartbeat. `workers_unreachable`: its leader says that it lacks its workers; `busy`: it
        names tasks.

        The first heartbeat of a busy machine is relayed: if it can't reach its leader, to find that out may take it
        more than is left of its lease.
        """
        self._sweep(now)
        self._note_leader(leader, workers_unreachable, now)
        route = self._routes.get(machine)
        if route is None or route.leader != leader:
            route = self._routes[machine] = _MachineRoute(leader, now, relayed=busy, next_trial=now)
            if busy:
                return Route.RELAY
        route.asked = now
        if route.redirected is not None:
            self._came_back(route, now)
        if workers_unreachable or not self._may_try(route, machine, now):
            route.relayed = True
            return Route.RELAY
        route.redirected = now
        return Route.REDIRECT

    def _note_leader(self, leader: str, workers_unreachable: bool, now: timedelta) -> None:
        if workers_unreachable:
            self._without_workers.add(leader)
        elif leader in self._without_workers:
            self._without_workers.discard(leader)
            self._heard_again[leader] = now

    @staticmethod
    def _came_back(route: _MachineRoute, now: timedelta) -> None:
        """A machine is here again that was redirected to its leader: soon after that, it can't reach the leader."""
        if route.redirected is not None and now - route.redirected < BOUNCED_WITHIN:
            if route.bounced != NEVER:
                route.pause = min(LONGEST_TRIAL, 2 * route.pause)
            route.bounced = now
            route.next_trial = now + route.pause
            route.relayed = True
        route.redirected = None

    def _may_try(self, route: _MachineRoute, machine: str, now: timedelta) -> bool:
        """Whether a machine may be told to go to its leader: a few at a time once the leader hears workers again."""
        if not route.relayed:
            return True
        heard_again = self._heard_again.get(route.leader, NEVER)
        if route.bounced >= heard_again:
            return now >= route.next_trial
        bucket = sum(machine.encode()) % SPREAD_BUCKETS
        return now - heard_again >= RETURN_SPREAD * bucket / SPREAD_BUCKETS

    def _sweep(self, now: timedelta) -> None:
        if now - self._swept >= FORGOTTEN:
            self._swept = now
            self._routes = {name: route for name, route in self._routes.items() if now - route.asked < FORGOTTEN}
