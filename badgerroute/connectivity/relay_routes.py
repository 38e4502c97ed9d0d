"""For a controller that does not lead a machine's shard: whether to relay its heartbeat to the leader, or redirect it.

A machine that comes back soon after a redirect can't reach its leader, and its heartbeats are relayed from then on. Now
and then it is redirected once more, with a delay that doubles, to find out whether the cut is over.
"""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

FAILED_REDIRECT = timedelta(seconds=9)  # a worker gives a node up after 4 s, and tries the next 1 s later
MIN_RETRY_DELAY = timedelta(seconds=10)
MAX_RETRY_DELAY = timedelta(seconds=80)
ROUTE_TTL = timedelta(seconds=120)
RETURN_SPREAD = timedelta(seconds=4)  # over which machines go back to a leader that its workers reach again
SPREAD_BUCKETS = 16
NEVER = timedelta(0)


class Route(Enum):
    """What happens to a heartbeat of a machine whose shard another controller leads."""

    REDIRECT = "redirect"
    RELAY = "relay"


@dataclass(slots=True)
class _MachineRoute:
    leader: str
    last_heartbeat: timedelta  # that came here
    relayed: bool
    next_retry: timedelta  # when to redirect the machine once more
    redirected_at: timedelta | None = None  # None: not redirected since its last heartbeat here
    redirect_failed_at: timedelta = NEVER
    retry_delay: timedelta = MIN_RETRY_DELAY


class RelayRoutes:
    """The routes of all machines that heartbeat here and are led elsewhere; one small entry for each."""

    def __init__(self) -> None:
        self._routes: dict[str, _MachineRoute] = {}  # by machine
        self._swept_at = NEVER
        self._without_workers: set[str] = set()  # leaders that lacked their workers at the last heartbeat
        self._recovered_at: dict[str, timedelta] = {}  # leader -> when its workers reached it again

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
            route = self._routes[machine] = _MachineRoute(leader, now, relayed=busy, next_retry=now)
            if busy:
                return Route.RELAY
        route.last_heartbeat = now
        if route.redirected_at is not None:
            self._note_return(route, now)
        if workers_unreachable or not self._may_redirect(route, machine, now):
            route.relayed = True
            return Route.RELAY
        route.redirected_at = now
        return Route.REDIRECT

    def _note_leader(self, leader: str, workers_unreachable: bool, now: timedelta) -> None:
        if workers_unreachable:
            self._without_workers.add(leader)
        elif leader in self._without_workers:
            self._without_workers.discard(leader)
            self._recovered_at[leader] = now

    @staticmethod
    def _note_return(route: _MachineRoute, now: timedelta) -> None:
        """A machine that was redirected heartbeats here again: soon after that, it can't reach its leader."""
        if route.redirected_at is not None and now - route.redirected_at < FAILED_REDIRECT:
            if route.redirect_failed_at != NEVER:
                route.retry_delay = min(MAX_RETRY_DELAY, 2 * route.retry_delay)
            route.redirect_failed_at = now
            route.next_retry = now + route.retry_delay
            route.relayed = True
        route.redirected_at = None

    def _may_redirect(self, route: _MachineRoute, machine: str, now: timedelta) -> bool:
        """Whether to redirect a machine to its leader: a few at a time once workers reach the leader again."""
        if not route.relayed:
            return True
        recovered_at = self._recovered_at.get(route.leader, NEVER)
        if route.redirect_failed_at >= recovered_at:
            return now >= route.next_retry
        bucket = sum(machine.encode()) % SPREAD_BUCKETS
        return now - recovered_at >= RETURN_SPREAD * bucket / SPREAD_BUCKETS

    def _sweep(self, now: timedelta) -> None:
        if now - self._swept_at >= ROUTE_TTL:
            self._swept_at = now
            self._routes = {
                machine: route for machine, route in self._routes.items() if now - route.last_heartbeat < ROUTE_TTL
            }
