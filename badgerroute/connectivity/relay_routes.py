"""For a controller that does not lead a machine's shard: whether to relay its heartbeat to the leader, or redirect it.

A machine that comes back soon after a redirect can't reach its leader, and its heartbeats are relayed from then on. Now
and then it is redirected once more, with a delay that doubles, to find out whether the cut is over.
"""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

REDIRECT_FAILURE_WINDOW = timedelta(seconds=9)  # a worker gives a node up after 4 s, and tries the next 1 s later
MIN_REDIRECT_DELAY = timedelta(seconds=10)
MAX_REDIRECT_DELAY = timedelta(seconds=80)
ROUTE_TTL = timedelta(seconds=120)
REDIRECT_SPREAD_PERIOD = timedelta(seconds=4)  # over which machines go back to a leader that its workers reach again
REDIRECT_BUCKETS = 16
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
    next_redirect_at: timedelta  # when to redirect the machine once more
    redirected_at: timedelta | None = None  # None: not redirected since its last heartbeat here
    redirect_failed_at: timedelta = NEVER
    redirect_delay: timedelta = MIN_REDIRECT_DELAY


class RelayRoutes:
    """The routes of all machines that heartbeat here and are led elsewhere; one small entry for each."""

    def __init__(self) -> None:
        self._routes: dict[str, _MachineRoute] = {}  # by machine
        self._last_cleanup = NEVER
        self._leaders_without_workers: set[str] = set()  # leaders that lacked their workers at the last heartbeat
        self._leader_recovered_at: dict[str, timedelta] = {}  # leader -> when its workers reached it again

    def __len__(self) -> int:
        return len(self._routes)

    def decide(self, machine: str, leader: str, workers_unreachable: bool, has_tasks: bool, now: timedelta) -> Route:
        """What to do with a heartbeat. `workers_unreachable`: its leader says that it lacks its workers; `busy`: it
        names tasks.

        The first heartbeat of a busy machine is relayed: if it can't reach its leader, to find that out may take it
        more than is left of its lease.
        """
        self._remove_expired_routes(now)
        self._record_leader_state(leader, workers_unreachable, now)
        route = self._routes.get(machine)
        if route is None or route.leader != leader:
            route = self._routes[machine] = _MachineRoute(leader, now, relayed=has_tasks, next_redirect_at=now)
            if has_tasks:
                return Route.RELAY
        route.last_heartbeat = now
        if route.redirected_at is not None:
            self._record_return(route, now)
        if workers_unreachable or not self._may_redirect(route, machine, now):
            route.relayed = True
            return Route.RELAY
        route.redirected_at = now
        return Route.REDIRECT

    def _record_leader_state(self, leader: str, workers_unreachable: bool, now: timedelta) -> None:
        if workers_unreachable:
            self._leaders_without_workers.add(leader)
        elif leader in self._leaders_without_workers:
            self._leaders_without_workers.discard(leader)
            self._leader_recovered_at[leader] = now

    @staticmethod
    def _record_return(route: _MachineRoute, now: timedelta) -> None:
        """A machine that was redirected heartbeats here again: soon after that, it can't reach its leader."""
        if route.redirected_at is not None and now - route.redirected_at < REDIRECT_FAILURE_WINDOW:
            if route.redirect_failed_at != NEVER:
                route.redirect_delay = min(MAX_REDIRECT_DELAY, 2 * route.redirect_delay)
            route.redirect_failed_at = now
            route.next_redirect_at = now + route.redirect_delay
            route.relayed = True
        route.redirected_at = None

    def _may_redirect(self, route: _MachineRoute, machine: str, now: timedelta) -> bool:
        """Whether to redirect a machine to its leader: a few at a time once workers reach the leader again."""
        if not route.relayed:
            return True
        leader_recovered_at = self._leader_recovered_at.get(route.leader, NEVER)
        if route.redirect_failed_at >= leader_recovered_at:
            return now >= route.next_redirect_at
        redirect_bucket = sum(machine.encode()) % REDIRECT_BUCKETS
        return now - leader_recovered_at >= REDIRECT_SPREAD_PERIOD * redirect_bucket / REDIRECT_BUCKETS

    def _remove_expired_routes(self, now: timedelta) -> None:
        if now - self._last_cleanup >= ROUTE_TTL:
            self._last_cleanup = now
            self._routes = {
                machine: route for machine, route in self._routes.items() if now - route.last_heartbeat < ROUTE_TTL
            }
