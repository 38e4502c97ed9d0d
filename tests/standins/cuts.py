"""Half-open cuts: what is cut when, and what is counted of a day meanwhile."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from badgerroute.coordination.controller import Controller
from tests.standins.day import HOSTS, SECOND, Day, job

Change = Callable[[], None]


@dataclass
class CutCounts:
    """What was seen while links were cut."""

    shard_seconds_without_leader: float = 0.0
    hand_overs: int = 0
    claims: int = 0
    killed_by_lease: list[float] = field(default_factory=list)  # seconds after the watch began
    users_503: int = 0
    users_asked: int = 0
    relayed: int = 0
    modes: dict[str, list[str]] = field(default_factory=dict)  # host -> the modes it was in, one after the other


class CutWatch:
    """Counts from outside: what the key-value store, the workers and the users saw, and the modes."""

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
        self._ended = True
        claims = [
            one for one in self.day.store.log[self._log_start :] if str(one.get("write", "")).startswith("b/parts/")
        ]
        self.counts.hand_overs = sum(bool(one["value"].get("handed")) for one in claims)
        self.counts.claims = len(claims) - self.counts.hand_overs
        killed = [at for at in self.day.site.killed_by_lease if at > self._started_at]
        self.counts.killed_by_lease = [(at - self._started_at) / SECOND for at in killed]
        self.counts.relayed = sum(self._relayed_by_controller.values())
        return self.counts

    async def _sample_leaders(self) -> None:
        while not self._ended:
            await self.day.loop.sleep(self.SAMPLE_PERIOD)
            controllers = {host: one for host, (one, _) in self.day.controllers.items()}
            for shard in range(len(HOSTS)):
                if not any(self._may_lead(one, shard) for one in controllers.values()):
                    self.counts.shard_seconds_without_leader += self.SAMPLE_PERIOD / SECOND
            for host, one in controllers.items():
                self._record_mode(host, one)

    @staticmethod
    def _may_lead(controller: Controller, shard: int) -> bool:
        leader = controller.leaders.get(shard)
        return leader is not None and leader.ready and controller.leadership_state.may_lead(shard)

    def _record_mode(self, host: str, controller: Controller) -> None:
        if not hasattr(controller, "membership"):
            return  # an older version
        modes = self.counts.modes.setdefault(host, [])
        if not modes or modes[-1] != controller.membership.monitor.mode.value:
            modes.append(controller.membership.monitor.mode.value)
        self._relayed_by_controller[id(controller)] = controller.requests.heartbeat_handler.relayed_heartbeats

    async def _poll_unknown_job(self) -> None:
        """A user that asks another node every half second about a job that waits: a job nobody knows needs a read."""
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
    """Jobs of every sort that last as long as the cuts do."""
    day.run(4)
    for number in range(jobs):
        day.submit(job(f"run-a{number}", heads=16, trek_s=14.0, crew="blue"))
        day.submit(job(f"run-b{number}", heads=8, trek_s=20.0, crew="red", rank="idle", brand=f"img-{number}"))
        day.submit(job(f"run-g{number}", gait="group", heads=2, cpus=4.0, rank="urgent", waypoint_s=3.0, pen_s=1.0))
    day.run(3)


def between(day: Day, hosts: Iterable[str], others: Iterable[str], mode: str) -> tuple[Change, Change]:
    """How to cut and how to heal every link between the hosts and the others. `mode`: as `World.cut`, or `one_way`.

    `one_way`: what the others send to the hosts is held.
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


def from_workers(day: Day, hosts: Iterable[str], mode: str) -> tuple[Change, Change]:
    return between(day, list(hosts), list(day.site.workers), mode)


def from_store(day: Day, hosts: Iterable[str], mode: str) -> tuple[Change, Change]:
    """`refuse`: the key-value store answers 503 to these alone."""
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


def flap(day: Day, link: tuple[Change, Change], seconds: float, times: int) -> None:
    """Cut for so long, whole for as long, again and again."""
    cut, heal = link
    for _ in range(times):
        cut()
        day.run(seconds)
        heal()
        day.run(seconds)


def hold(day: Day, link: tuple[Change, Change], seconds: float) -> None:
    cut, heal = link
    cut()
    day.run(seconds)
    heal()
