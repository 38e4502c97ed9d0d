"""The fleet: renting what is needed, deleting what is not. One controller rents; each owner deletes its members."""

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta

from badgerroute.coordination.claims import Claims
from badgerroute.protocol.cloud import ListedMachine, MachineType
from badgerroute.protocol.mesh import PartSummary, PendingDemand
from badgerroute.scheduling.model import Room, capacity_of
from badgerroute.scheduling.objectives import Objectives
from badgerroute.settings import Settings
from badgerroute.storage import records
from badgerroute.storage.cloud import (
    MAX_MACHINES_PER_DELETION,
    MAX_MACHINES_PER_RENTAL,
    CloudClient,
    CloudUnavailableError,
    NoCapacityError,
)
from badgerroute.storage.records import MachineRecord
from badgerroute.storage.replica import MACHINES, Replica
from badgerroute.transport.loop import Group, Loop

log = logging.getLogger("badgerroute.fleet")
ROUND = timedelta(seconds=1)
REFUSED_PAUSE = timedelta(seconds=10)
MAX_RENTAL_PAUSE = timedelta(seconds=60)
BOOT_PATIENCE = 4  # times the nominal boot time: what is not up by then, and is overtaken, most likely never will be
BOOT_LIMIT = 15  # and so is this, although nothing else came up meanwhile
BOOT_DUE = 3  # what is not up by then is not counted on, so another is rented in its place

Place = tuple[str, str, bool]  # type, zone, spot


@dataclass(slots=True)
class Pending:
    """A rental whose answer we don't know, or whose machines are not up yet."""

    place: Place
    count: int
    since: timedelta


def rents_ahead(settings: Settings, catalog: dict[str, MachineType]) -> bool:
    """Whether machines must be up before the work comes.

    Where work is expected to start sooner than a machine boots, renting on demand comes too late; where there is
    time to boot, an idle machine costs and serves nobody.
    """
    if settings.operator.fleet.return_idle is not None:
        return not settings.operator.fleet.return_idle
    if not catalog:
        return False
    boot = min(timedelta(seconds=kind.boot_s) for kind in catalog.values())
    return Objectives(settings.params.objectives).tightest < boot


class Fleet:
    """Rents machines, and has them deleted."""

    def __init__(
        self,
        settings: Settings,
        loop: Loop,
        group: Group,
        cloud: CloudClient,
        claims: Claims,
        replica: Replica,
        catalog: dict[str, MachineType],
        summaries: Callable[[], list[PartSummary]],
        deleted: Callable[[list[str]], None],
    ) -> None:
        self._settings, self._loop, self._group, self._cloud = settings, loop, group, cloud
        self._claims, self._replica, self._catalog = claims, replica, catalog
        self._summaries, self._deleted = summaries, deleted
        self._counter = 0
        self._refused: dict[Place, tuple[timedelta, timedelta]] = {}  # not before, pause
        self._pending: dict[str, Pending] = {}  # machine name, or request name while unanswered
        self._to_delete: dict[str, timedelta] = {}
        self._listed: dict[str, tuple[ListedMachine, timedelta]] = {}
        self._unclaimed: dict[str, timedelta] = {}
        self._latest_up: timedelta | None = None  # when the machine that came up, and was rented last, had been rented
        self._list_at: timedelta | None = None

    # -- deleting: any controller, for the machines of its own parts

    def delete(self, names: list[str]) -> None:
        for name in names:
            self._to_delete.setdefault(name, self._loop.now())

    def spare(self, names: Iterable[str]) -> None:
        """These machines are somebody else's now, who decides about them."""
        for name in names:
            self._to_delete.pop(name, None)

    def _belongs_to_others(self, name: str) -> bool:
        """It was thought useless, then came up after all and joined a part of somebody else, who may use it by now."""
        value = self._replica.value(MACHINES + name)
        return value is not None and records.read(value, MachineRecord).part not in self._claims.parts

    async def delete_duty(self) -> None:
        while True:
            await self._loop.sleep(timedelta(milliseconds=200))
            for name in [name for name in self._to_delete if self._belongs_to_others(name)]:
                del self._to_delete[name]
            names = list(self._to_delete)[:MAX_MACHINES_PER_DELETION]
            # A controller that stood still, or was cut off, once deleted machines that a new owner used by then.
            if not names or not self._claims.certain():
                continue
            try:
                await self._cloud.delete(names)
            except (CloudUnavailableError, NoCapacityError) as error:
                log.info("event=delete_failed machines=%d error=%s", len(names), error)
                await self._loop.sleep(ROUND)
                continue
            log.info("event=machines_deleted machines=%s", ",".join(names))
            for name in names:
                self._to_delete.pop(name, None)
                self._pending.pop(name, None)
            self._deleted(names)

    # -- renting: who holds the fleet claim

    async def rent_duty(self) -> None:
        while True:
            await self._loop.sleep(ROUND)
            if self._claims.fleet is None or not self._claims.fresh() or not self._catalog:
                self._list_at = None
                continue
            try:
                await self._look()
                await self._rent()
            except CloudUnavailableError as error:
                log.info("event=cloud_trouble error=%s", error)

    async def _look(self) -> None:
        """Read the machine list now and then: it lags, so it is only good for what stays as it is."""
        now = self._loop.now()
        every = max(timedelta(seconds=3), self._settings.params.cloud.list_lag / 2)
        if self._list_at is not None and now - self._list_at < every:
            return
        machines = await self._cloud.machines()
        self._list_at = now
        members = {key.removeprefix(MACHINES) for key in self._replica.under(MACHINES)}
        useless: list[str] = []
        listed = set()
        lag = 2 * self._settings.params.cloud.list_lag + timedelta(seconds=5)
        for one in machines:
            listed.add(one.name)
            kind = self._catalog.get(one.type)
            boot = timedelta(seconds=kind.boot_s if kind else 60.0)
            age = timedelta(seconds=one.age_s)
            if one.state == "failed":
                if not self._belongs_to_others(one.name):  # else its owner finds out sooner
                    useless.append(one.name)
            elif one.name in members:
                self._came_up(one.name)
            elif one.state == "booting":
                if self._hopeless(now - age, boot, now):
                    useless.append(one.name)
                elif one.name not in self._pending:
                    self._pending[one.name] = Pending((one.type, one.zone, one.spot), 1, now - age)
            elif one.name not in self._pending or not self._due(self._pending[one.name]):
                # Up, but it never reported to anybody. Its worker may be cut off; it must not cost for ever.
                since = self._unclaimed.setdefault(one.name, now)
                if now - since > 2 * lag + self._settings.params.workers.lease:
                    useless.append(one.name)
        self._unclaimed = {name: since for name, since in self._unclaimed.items() if name in listed}
        for name in [name for name in self._unclaimed if name in members]:
            del self._unclaimed[name]
        for name, pending in list(self._pending.items()):
            kind = self._catalog.get(pending.place[0])
            boot = timedelta(seconds=kind.boot_s if kind else 60.0)
            if name in members:
                self._came_up(name)
            elif self._hopeless(pending.since + lag, boot, now):
                del self._pending[name]
                if name in listed:
                    useless.append(name)
        if useless:
            log.info("event=machines_useless machines=%s", ",".join(useless))
            self.delete(useless)

    def _came_up(self, name: str) -> None:
        pending = self._pending.pop(name, None)
        if pending is not None and (self._latest_up is None or pending.since > self._latest_up):
            self._latest_up = pending.since

    def _hopeless(self, since: timedelta, boot: timedelta, now: timedelta) -> bool:
        """Whether a machine that boots since then will most likely never be up.

        On days when all machines boot slowly, only what was rented later and is up already shows that one is stuck:
        given up by its age alone, every machine was deleted just before it would have come.
        """
        age = now - since
        overtaken = self._latest_up is not None and self._latest_up > since
        return age > (BOOT_PATIENCE if overtaken else BOOT_LIMIT) * boot

    def _due(self, pending: Pending) -> bool:
        """Whether a machine on its way can still be counted on."""
        kind = self._catalog.get(pending.place[0])
        return kind is None or self._loop.now() - pending.since <= BOOT_DUE * timedelta(seconds=kind.boot_s)

    def _count(self) -> int:
        return len(self._replica.under(MACHINES)) + sum(one.count for one in self._pending.values())

    async def _rent(self) -> None:
        for key in self._replica.under(MACHINES):
            self._came_up(key.removeprefix(MACHINES))
        most = self._settings.operator.fleet.most_machines - self._count()
        if most <= 0:
            return
        if rents_ahead(self._settings, self._catalog):
            wanted = {place: MAX_MACHINES_PER_RENTAL for place in self._places() if self._may_ask(place)}
        else:
            wanted = self._wanted()
        for place, count in sorted(wanted.items(), key=lambda one: self._price(one[0])):
            count = min(count, most)
            if count > 0:
                most -= await self._rent_at(place, count)

    def _places(self) -> list[Place]:
        return [
            (kind.name, zone, spot)
            for kind in self._catalog.values()
            for zone in kind.zones
            for spot in ((True, False) if kind.spot_price else (False,))
        ]

    def _price(self, place: Place) -> float:
        kind = self._catalog[place[0]]
        return (kind.spot_price if place[2] else kind.price) / max(kind.cpus, 1e-9)

    def _may_ask(self, place: Place) -> bool:
        return self._loop.now() >= self._refused.get(place, (timedelta(0), timedelta(0)))[0]

    async def _rent_at(self, place: Place, count: int) -> int:
        """Rent some machines; how many are on their way. A lost answer is asked for again by the same name."""
        self._counter += 1
        request = f"r-{self._claims.fleet}-{self._counter}"
        count = min(count, MAX_MACHINES_PER_RENTAL)
        for _ in range(3):
            if self._claims.fleet is None:
                return count
            try:
                names = await self._cloud.rent(request, *place, count)
            except NoCapacityError:
                names = []
            except CloudUnavailableError as error:
                log.info("event=rent_unanswered request=%s error=%s", request, error)
                await self._loop.sleep(ROUND)
                continue
            now = self._loop.now()
            for name in names:
                self._pending[name] = Pending(place, 1, now)
            if names:
                log.info(
                    "event=rented request=%s type=%s zone=%s spot=%s asked=%d got=%d",
                    request,
                    *place,
                    count,
                    len(names),
                )
            if len(names) < count:
                pause = self._refused.get(place, (now, REFUSED_PAUSE / 2))[1]
                pause = REFUSED_PAUSE if names else min(2 * pause, MAX_RENTAL_PAUSE)
                self._refused[place] = (now + pause, pause)
            else:
                self._refused.pop(place, None)
            return len(names)
        self._pending[request] = Pending(place, count, self._loop.now())
        return count

    # -- what is needed

    def _wanted(self) -> dict[Place, int]:
        """Machines that the waiting tasks need beyond the free room there is and is coming."""
        summaries = self._summaries()
        capacities: list[tuple[Place, Room]] = []
        used: dict[str, float] = {}
        used_gpus: dict[str, float] = {}
        demands: list[PendingDemand] = []
        for part in summaries:
            for one in part.capacities:
                room = Room(one.cpus, one.accelerators, one.memory_gb)
                capacities.extend(((one.type, one.zone, one.spot), room.copy()) for _ in range(one.count))
            for name, (cpus, gpus) in part.used.items():
                used[name] = used.get(name, 0.0) + cpus
                used_gpus[name] = used_gpus.get(name, 0.0) + gpus
            demands.extend(part.demands)
        for pending in self._pending.values():
            kind = self._catalog.get(pending.place[0])
            if kind is not None and self._due(pending):
                capacities.extend((pending.place, capacity_of(kind)) for _ in range(pending.count))
        teams = {team.name: team for team in self._settings.params.teams}
        wanted: dict[Place, int] = {}
        soon = sum(part.freeing for part in summaries)
        demands.sort(key=lambda want: (not want.guaranteed, -want.level, -want.waited_s))
        for want in demands:
            team = teams.get(want.team)
            if team is None:
                continue
            cpus, gpus = team.limits
            left = Room(cpus - used.get(team.name, 0.0), gpus - used_gpus.get(team.name, 0.0))
            count = min(want.count, left.times(Room(want.cpus, want.accelerators)))
            if want.gang and count < want.count:
                continue
            used[team.name] = used.get(team.name, 0.0) + count * want.cpus
            used_gpus[team.name] = used_gpus.get(team.name, 0.0) + count * want.accelerators
            if not want.gang and want.cpus > 0:
                # Running tasks will have ended, and left their images behind, before a new machine is of use.
                waits = min(count, int(soon / want.cpus))
                soon -= waits * want.cpus
                count -= waits
            self._fit(want, count, capacities, wanted)
        return wanted

    def _fit(
        self, want: PendingDemand, count: int, capacities: list[tuple[Place, Room]], wanted: dict[Place, int]
    ) -> None:
        need = Room(want.cpus, want.accelerators, want.memory_gb)

        def allowed(place: Place) -> bool:
            kind, zone, spot = place
            return (
                (want.types is None or kind in want.types)
                and (want.zone is None or want.zone == zone)
                and (want.spot or not spot)
            )

        for place, room in capacities:
            if count <= 0:
                return
            if not room.holds(need) or not allowed(place):
                continue
            fitting = min(count, room.times(need))
            room.take(Room(need.cpus * fitting, need.accelerators * fitting, need.memory_gb * fitting))
            count -= fitting
        options = [
            place
            for place in self._places()
            if allowed(place) and self._may_ask(place) and capacity_of(self._catalog[place[0]]).holds(need)
        ]
        if not options:
            return
        place = min(options, key=lambda one: (self._price(one), wanted.get(one, 0)))
        while count > 0:
            room = capacity_of(self._catalog[place[0]])
            fitting = min(count, room.times(need))
            room.take(Room(need.cpus * fitting, need.accelerators * fitting, need.memory_gb * fitting))
            capacities.append((place, room))
            wanted[place] = wanted.get(place, 0) + 1
            count -= fitting
            if wanted[place] >= MAX_MACHINES_PER_RENTAL:
                return
