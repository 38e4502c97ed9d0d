"""Network cuts in simulated runs, including one-way cuts, and measurements of the service while links are cut.

A cut is described by two functions without arguments: one that cuts the links and one that heals them. The names of
`from_workers` and `from_store` are part of test ids, so these functions must not be renamed.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from badgerroute.coordination.controller import Controller
from tests.standins.day import HOSTS, SECOND, Day, job

Action = Callable[[], None]


@dataclass
class CutCounts:
    """What a `CutWatch` measured while links were cut."""

    shard_seconds_without_leader: float = 0.0
    hand_overs: int = 0  # leadership transfers, in which a leader writes its successor into the store
    claims: int = 0  # elections, in which a controller writes itself into the store as the leader of a shard
    killed_by_lease: list[float] = field(default_factory=list)  # times of task kills, in seconds after the watch began
    users_503: int = 0  # requests of the simulated user of `CutWatch` that were answered 503
    users_asked: int = 0  # all requests of that user
    relayed: int = 0  # heartbeats that one controller relayed to another
    modes: dict[str, list[str]] = field(default_factory=dict)  # host -> the controller's modes, in order


class CutWatch:
    """Takes the measurements of `CutCounts` in a simulated run, from the creation of the watch until `end`."""

    SAMPLE_PERIOD = SECOND / 4

    def __init__(self, day: Day) -> None:
        self.day, self.counts = day, CutCounts()
        self._log_start = len(day.store.log)
        self._started_at = day.loop.now()
        self._relayed_by_controller: dict[int, int] = {}
        self._ended = False
        day.group.spawn(self._sample_leaders(), "cut-watch")
        day.group.spawn(self._poll_unknown_job(), "cut-polls")

    def end(self) -> CutCounts:
        """Stop measuring and return the results."""
        self._ended = True
        claims = [
            change
            for change in self.day.store.log[self._log_start :]
            if str(change.get("write", "")).startswith("b/parts/")
        ]
        self.counts.hand_overs = sum(bool(change["value"].get("handed")) for change in claims)
        self.counts.claims = len(claims) - self.counts.hand_overs
        kill_times = [time for time in self.day.site.killed_by_lease if time > self._started_at]
        self.counts.killed_by_lease = [(time - self._started_at) / SECOND for time in kill_times]
        self.counts.relayed = sum(self._relayed_by_controller.values())
        return self.counts

    async def _sample_leaders(self) -> None:
        while not self._ended:
            await self.day.loop.sleep(self.SAMPLE_PERIOD)
            controllers = {host: controller for host, (controller, _) in self.day.controllers.items()}
            for shard in range(len(HOSTS)):
                if not any(self._may_lead(controller, shard) for controller in controllers.values()):
                    self.counts.shard_seconds_without_leader += self.SAMPLE_PERIOD / SECOND
            for host, controller in controllers.items():
                self._record_mode(host, controller)

    @staticmethod
    def _may_lead(controller: Controller, shard: int) -> bool:
        leader = controller.leaders.get(shard)
        return leader is not None and leader.ready and controller.leadership_state.may_lead(shard)

    def _record_mode(self, host: str, controller: Controller) -> None:
        if not hasattr(controller, "membership"):
            return  # the version in production has no modes
        modes = self.counts.modes.setdefault(host, [])
        if not modes or modes[-1] != controller.membership.monitor.mode.value:
            modes.append(controller.membership.monitor.mode.value)
        self._relayed_by_controller[id(controller)] = controller.requests.heartbeat_handler.relayed_heartbeats

    async def _poll_unknown_job(self) -> None:
        """Ask the controllers in turn, twice a second, for an unknown job, which they have to look up in the store."""
        turn = 0
        while not self._ended:
            await self.day.loop.sleep(SECOND / 2)
            turn += 1
            await self._poll(HOSTS[turn % len(HOSTS)])

    async def _poll(self, host: str) -> None:
        status = await self.day.status_of("GET", "/v1/jobs/run-nobody", host)
        self.counts.users_asked += 1
        self.counts.users_503 += status == 503


def workload(day: Day, jobs: int = 4) -> None:
    """Submit arrays and gangs of two teams and three priorities, which run for about as long as the links are cut."""
    day.run(4)
    for number in range(jobs):
        day.submit(job(f"run-a{number}", heads=16, trek_s=14.0, crew="blue"))
        day.submit(job(f"run-b{number}", heads=8, trek_s=20.0, crew="red", rank="idle", brand=f"img-{number}"))
        day.submit(job(f"run-g{number}", gait="group", heads=2, cpus=4.0, rank="urgent", waypoint_s=3.0, pen_s=1.0))
    day.run(3)


def between(day: Day, hosts: Iterable[str], others: Iterable[str], mode: str) -> tuple[Action, Action]:
    """Return the functions that cut and heal every link between the hosts and the others.

    `mode` is a mode of `World.cut`, or `one_way`: packets from the others to the hosts are held until the link heals.
    """
    pairs = [(host, other) for host in hosts for other in others if host != other]
    world = day.world

    def cut() -> None:
        for host, other in pairs:
            if mode == "one_way":
                world.cut_one_way(other, host)
            else:
                world.cut(host, other, mode)

    def heal() -> None:
        for host, other in pairs:
            if mode == "one_way":
                world.heal_one_way(other, host)
            else:
                world.heal(host, other)

    return cut, heal


def from_workers(day: Day, hosts: Iterable[str], mode: str) -> tuple[Action, Action]:
    """Return the functions that cut and heal the links between the hosts and the workers that exist now."""
    return between(day, list(hosts), list(day.site.workers), mode)


def from_store(day: Day, hosts: Iterable[str], mode: str) -> tuple[Action, Action]:
    """Return the functions that cut the hosts off from the key-value store and connect them again.

    `mode` is a mode of `between`, or `refuse`: the store answers 503 to these hosts only.
    """
    hosts = list(hosts)
    if mode == "refuse":
        return lambda: day.store.refused_hosts.update(hosts), lambda: day.store.refused_hosts.difference_update(hosts)
    links = [between(day, [host], [f"state-{host}"], mode) for host in hosts]

    def cut() -> None:
        for link in links:
            link[0]()

    def heal() -> None:
        for link in links:
            link[1]()

    return cut, heal


def flap(day: Day, link: tuple[Action, Action], seconds: float, times: int) -> None:
    """Cut and heal a link `times` times in a row; run for `seconds` after each cut and after each healing."""
    cut, heal = link
    for _ in range(times):
        cut()
        day.run(seconds)
        heal()
        day.run(seconds)


def hold(day: Day, link: tuple[Action, Action], seconds: float) -> None:
    """Run for `seconds` with the link cut, then heal it."""
    cut, heal = link
    cut()
    day.run(seconds)
    heal()
