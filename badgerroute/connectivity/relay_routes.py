"""Decides what a controller does with a heartbeat for a shard that it does not lead: relay it, or redirect the machine.

A machine that returns soon after a redirect can't reach its shard's leader, so its heartbeats are relayed from then on.
It is redirected again after a delay, which doubles each time, to find out whether it can reach the leader again.
"""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

# A machine that returns within this time after a redirect could not reach its leader: its request to the leader times
# out after 4 s, and it tries the next controller 1 s later.
REDIRECT_FAILURE_WINDOW = timedelta(seconds=9)
MIN_REDIRECT_DELAY = timedelta(seconds=10)
MAX_REDIRECT_DELAY = timedelta(seconds=80)
ROUTE_TTL = timedelta(seconds=120)
REDIRECT_SPREAD_PERIOD = timedelta(seconds=4)  # redirects to a recovered leader are spread over this time
REDIRECT_BUCKETS = 16
NEVER = timedelta(0)


class Route(Enum):
    """What to do with a heartbeat of a machine whose shard another controller leads."""

    REDIRECT = "redirect"
    RELAY = "relay"


@dataclass(slots=True)
class _MachineRoute:
    leader: str
    last_heartbeat: timedelta  # when this controller received the last heartbeat
    relayed: bool
    next_redirect_at: timedelta  # when to redirect the machine again
    redirected_at: timedelta | None = None  # None if the last heartbeat was relayed instead
    redirect_failed_at: timedelta = NEVER
    redirect_delay: timedelta = MIN_REDIRECT_DELAY


class RelayRoutes:
    """The routes of all machines that send heartbeats here although another controller leads their shard."""

    def __init__(self) -> None:
        self._routes: dict[str, _MachineRoute] = {}  # by machine
        self._last_cleanup = NEVER
        self._leaders_without_workers: set[str] = set()  # leaders that reported it at the last decision
        self._leader_recovered_at: dict[str, timedelta] = {}  # leader -> when its workers could reach it again

    def __len__(self) -> int:
        return len(self._routes)

    def decide(self, machine: str, leader: str, workers_unreachable: bool, has_tasks: bool, now: timedelta) -> Route:
        """Decide whether to relay or redirect a heartbeat.

        `workers_unreachable` means that the leader reports that its workers can't reach it; `has_tasks`, that the
        heartbeat lists tasks. The first heartbeat of a machine with tasks is relayed: if the machine can't reach its
        leader, its lease might expire before a redirect to the leader times out.
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
        """Record that a redirected machine is back; if it returned soon, it could not reach its leader."""
        if route.redirected_at is not None and now - route.redirected_at < REDIRECT_FAILURE_WINDOW:
            if route.redirect_failed_at != NEVER:
                route.redirect_delay = min(MAX_REDIRECT_DELAY, 2 * route.redirect_delay)
            route.redirect_failed_at = now
            route.next_redirect_at = now + route.redirect_delay
            route.relayed = True
        route.redirected_at = None

    def _may_redirect(self, route: _MachineRoute, machine: str, now: timedelta) -> bool:
        """Whether to redirect a machine now. Redirects after the leader's recovery are spread over several seconds."""
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
