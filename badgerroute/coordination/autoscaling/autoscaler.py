"""The fleet: renting what is needed, deleting what is not. One controller rents; each leader deletes its members."""

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta

from badgerroute.connectivity.modes import Action
from badgerroute.coordination.leadership.action_policy import ActionPolicy
from badgerroute.coordination.leadership.leader_election import LeaderElection
from badgerroute.protocol.cloud import ListedMachine, MachineType
from badgerroute.protocol.mesh import ShardSummary
from badgerroute.scheduling.scale_out_planning import (
    ExpectedMachines,
    MachinePool,
    ScaleOutPlan,
    machine_pools,
    price_per_cpu,
    scales_out_ahead,
)
from badgerroute.settings import Settings
from badgerroute.storage import records
from badgerroute.storage.cloud_client import MAX_MACHINES_PER_DELETION, MAX_MACHINES_PER_RENTAL, CloudClient
from badgerroute.storage.errors import CloudUnavailableError, NoCapacityError
from badgerroute.storage.keys import MACHINES
from badgerroute.storage.records import MachineRecord
from badgerroute.storage.replica import Replica
from badgerroute.transport.loop import Loop, TaskGroup

log = logging.getLogger(__name__)
ROUND = timedelta(seconds=1)
LIST_PAUSE = timedelta(seconds=3)  # between two looks at the machine list
MAX_LIST_SHARE = 0.5  # of the calls to the cloud: at 4,000 machines a list takes eight pages
REFUSED_PAUSE = timedelta(seconds=10)
MAX_RENTAL_PAUSE = timedelta(seconds=60)
BOOT_PATIENCE = 4  # times the nominal boot time: what is not up by then, and is overtaken, most likely never will be
BOOT_LIMIT = 15  # and so is this, although nothing else came up meanwhile
DEFAULT_BOOT = timedelta(seconds=60)  # of a machine type that the catalog lacks
BOOT_DUE = 3  # what is not up by then is not counted on, so another is rented in its place


@dataclass(slots=True)
class Pending:
    """A rental whose answer we don't know, or whose machines are not up yet."""

    place: MachinePool
    count: int
    since: timedelta


class Autoscaler:
    """Rents machines, and has them deleted."""

    def __init__(
        self,
        settings: Settings,
        loop: Loop,
        group: TaskGroup,
        cloud: CloudClient,
        election: LeaderElection,
        policy: ActionPolicy,
        replica: Replica,
        catalog: dict[str, MachineType],
        summaries: Callable[[], list[ShardSummary]],
        on_deleted: Callable[[list[str]], None],
    ) -> None:
        self._settings, self._loop, self._group, self._cloud = settings, loop, group, cloud
        self._election, self._replica, self._catalog = election, replica, catalog
        self._policy = policy
        self._summaries, self._on_deleted = summaries, on_deleted
        self._counter = 0
        self._refused: dict[MachinePool, tuple[timedelta, timedelta]] = {}  # not before, pause
        self._pending: dict[str, Pending] = {}  # machine name, or request name while unanswered
        self._to_delete: dict[str, timedelta] = {}
        self._listed: dict[str, tuple[ListedMachine, timedelta]] = {}
        self._unassigned: dict[str, timedelta] = {}
        self._latest_up: timedelta | None = None  # when the machine that came up, and was rented last, had been rented
        self._list_at: timedelta | None = None
        self._listing_time = timedelta(0)  # that a list of all machines takes at our share of the calls

    # -- deleting: any controller, for the machines of its own shards

    def delete(self, names: list[str]) -> None:
        """Have machines deleted; asked for again until the cloud confirms it."""
        for name in names:
            self._to_delete.setdefault(name, self._loop.now())

    def cancel_deletion(self, names: Iterable[str]) -> None:
        """These machines are somebody else's now, who decides about them."""
        for name in names:
            self._to_delete.pop(name, None)

    def _belongs_to_others(self, name: str) -> bool:
        """It was thought useless, then came up after all and joined a shard of somebody else, who may use it by now."""
        value = self._replica.value(MACHINES + name)
        return value is not None and records.read(value, MachineRecord).shard not in self._election.leaderships

    async def run_deletion(self) -> None:
        """Delete what is to be deleted, a batch at a time, while nobody else can hold our shards."""
        while True:
            await self._loop.sleep(timedelta(milliseconds=200))
            for name in [name for name in self._to_delete if self._belongs_to_others(name)]:
                del self._to_delete[name]
            names = list(self._to_delete)[:MAX_MACHINES_PER_DELETION]
            # A controller that was paused, or was cut off, once deleted machines that a new leader used by then.
            if not names or not self._policy.allows(Action.DELETE):
                continue
            try:
                await self._cloud.delete(names)
            except (CloudUnavailableError, NoCapacityError) as error:
                log.info("event=machine_deletion_failed machines=%d error=%s", len(names), error)
                await self._loop.sleep(ROUND)
                continue
            log.info("event=machines_deleted machines=%s", ",".join(names))
            for name in names:
                self._to_delete.pop(name, None)
                self._pending.pop(name, None)
            self._on_deleted(names)

    # -- renting: who holds the autoscaler leadership

    async def run_scale_out(self) -> None:
        """Rent what is needed, while this controller holds the autoscaler leadership."""
        while True:
            await self._loop.sleep(ROUND)
            if self._election.autoscaler_term is None or not self._policy.allows(Action.RENT) or not self._catalog:
                self._list_at = None
                continue
            try:
                await self._look()
                await self._scale_out()
            except CloudUnavailableError as error:
                log.info("event=cloud_request_failed error=%s", error)

    async def _look(self) -> None:
        """Read the machine list now and then: it lags, so it is only good for what stays as it is."""
        now = self._loop.now()
        every = max(LIST_PAUSE, self._settings.params.cloud.list_lag / 2, self._listing_time / MAX_LIST_SHARE)
        if self._list_at is not None and now - self._list_at < every:
            return
        machines = await self._cloud.machines()
        self._list_at = now
        self._listing_time = self._cloud.listing_time(len(machines))
        members = {key.removeprefix(MACHINES) for key in self._replica.under(MACHINES)}
        listed = {machine.name for machine in machines}
        useless = [machine.name for machine in machines if self._is_useless(machine, members, now)]
        self._unassigned = {
            name: since for name, since in self._unassigned.items() if name in listed and name not in members
        }
        useless += self._give_up_pending(members, listed, now)
        if useless:
            log.info("event=machines_discarded machines=%s", ",".join(useless))
            self.delete(useless)

    def _is_useless(self, machine: ListedMachine, members: set[str], now: timedelta) -> bool:
        """Whether a machine that is listed costs money and will most likely never serve."""
        if machine.state == "failed":
            return not self._belongs_to_others(machine.name)  # else its leader finds out sooner
        if machine.name in members:
            self._came_up(machine.name)
            return False
        if machine.state == "booting":
            rented_at = now - timedelta(seconds=machine.age_s)
            if self._unavailable(rented_at, self._boot_time(machine.type), now):
                return True
            if machine.name not in self._pending:
                place = MachinePool(machine.type, machine.zone, machine.spot)
                self._pending[machine.name] = Pending(place, 1, rented_at)
            return False
        if machine.name in self._pending and self._due(self._pending[machine.name]):
            return False
        # Up, but it never reported to anybody. Its worker may be cut off; it must not cost for ever.
        since = self._unassigned.setdefault(machine.name, now)
        return now - since > 2 * self._list_lag() + self._settings.params.workers.lease

    def _give_up_pending(self, members: set[str], listed: set[str], now: timedelta) -> list[str]:
        """Forget what most likely never comes up; the names that are listed and have to be deleted."""
        useless = []
        for name, pending in list(self._pending.items()):
            if name in members:
                self._came_up(name)
            elif self._unavailable(pending.since + self._list_lag(), self._boot_time(pending.place.type), now):
                del self._pending[name]
                if name in listed:
                    useless.append(name)
        return useless

    def _list_lag(self) -> timedelta:
        """How old the machine list may be."""
        return 2 * self._settings.params.cloud.list_lag + timedelta(seconds=5)

    def _boot_time(self, type_name: str) -> timedelta:
        """The nominal boot time of a machine type."""
        machine_type = self._catalog.get(type_name)
        return timedelta(seconds=machine_type.boot_s) if machine_type is not None else DEFAULT_BOOT

    def _came_up(self, name: str) -> None:
        pending = self._pending.pop(name, None)
        if pending is not None and (self._latest_up is None or pending.since > self._latest_up):
            self._latest_up = pending.since

    def _unavailable(self, since: timedelta, boot: timedelta, now: timedelta) -> bool:
        """Whether a machine that boots since then will most likely never be up.

        On days when all machines boot slowly, only what was rented later and is up already shows that one is stuck:
        given up by its age alone, every machine was deleted just before it would have come.
        """
        age = now - since
        overtaken = self._latest_up is not None and self._latest_up > since
        return age > (BOOT_PATIENCE if overtaken else BOOT_LIMIT) * boot

    def _due(self, pending: Pending) -> bool:
        """Whether a machine on its way can still be counted on."""
        age = self._loop.now() - pending.since
        return pending.place.type not in self._catalog or age <= BOOT_DUE * self._boot_time(pending.place.type)

    def _count(self) -> int:
        return len(self._replica.under(MACHINES)) + sum(pending.count for pending in self._pending.values())

    async def _scale_out(self) -> None:
        for key in self._replica.under(MACHINES):
            self._came_up(key.removeprefix(MACHINES))
        most = self._settings.operator.fleet.most_machines - self._count()
        if most <= 0:
            return
        for place, count in sorted(self._wanted().items(), key=lambda item: price_per_cpu(item[0], self._catalog)):
            count = min(count, most)
            if count > 0:
                most -= await self._rent_in(place, count)

    def _wanted(self) -> dict[MachinePool, int]:
        """What to ask for now: all that can be had where machines must be up before the work comes, else by need."""
        if scales_out_ahead(self._settings, self._catalog):
            places = machine_pools(self._catalog)
            return {place: MAX_MACHINES_PER_RENTAL for place in places if self._may_ask(place)}
        expected = [
            ExpectedMachines(pending.place, pending.count) for pending in self._pending.values() if self._due(pending)
        ]
        plan = ScaleOutPlan(self._catalog, self._settings.params.teams, self._may_ask, MAX_MACHINES_PER_RENTAL)
        return plan.machines_wanted(self._summaries(), expected)

    def _may_ask(self, place: MachinePool) -> bool:
        return self._loop.now() >= self._refused.get(place, (timedelta(0), timedelta(0)))[0]

    async def _rent_in(self, place: MachinePool, count: int) -> int:
        """Rent some machines; how many are on their way. A lost answer is asked for again by the same name."""
        self._counter += 1
        request = f"r-{self._election.autoscaler_term}-{self._counter}"
        count = min(count, MAX_MACHINES_PER_RENTAL)
        for _ in range(3):
            if self._election.autoscaler_term is None:
                return count
            try:
                names = await self._cloud.rent(request, *place, count)
            except NoCapacityError:
                names = []
            except CloudUnavailableError as error:
                log.info("event=scale_out_failed request=%s error=%s", request, error)
                await self._loop.sleep(ROUND)
                continue
            now = self._loop.now()
            for name in names:
                self._pending[name] = Pending(place, 1, now)
            if names:
                log.info(
                    "event=machines_rented request=%s type=%s zone=%s spot=%s asked=%d got=%d",
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
