"""Machines that are rented and have not reported yet, with their provisioning timeouts."""

from collections.abc import Container, Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta

from badgerroute.protocol.cloud import MachineType
from badgerroute.scheduling.scale_out_planning import ExpectedMachines, MachinePool
from badgerroute.transport.loop import Loop

DEFAULT_BOOT_TIME = timedelta(seconds=60)  # of a machine type that the catalog lacks
# In nominal boot times of the machine type:
EXPECTED_WITHIN = 3  # a machine that is not up by then is not counted on, so another may be rented in its place
OVERTAKEN_TIMEOUT = 4  # for a machine if one that was rented later is up
PROVISIONING_TIMEOUT = 15  # for a machine that none has overtaken


@dataclass(frozen=True, slots=True)
class PendingRental:
    """A machine that is not up yet, or several of which it is not known whether they were rented."""

    pool: MachinePool
    count: int
    since: timedelta  # when it was rented, by the loop's clock


class PendingMachines:
    """The pending rentals, by machine name, or by request name if the answer to the request was lost.

    `list_age` is how old the cloud's list of machines may be, and so for how long a machine may be missing there.
    """

    def __init__(self, loop: Loop, catalog: Mapping[str, MachineType], list_age: timedelta) -> None:
        self._loop, self._catalog, self._list_age = loop, catalog, list_age
        self._rentals: dict[str, PendingRental] = {}
        self._latest_started: timedelta | None = None  # when the machine was rented that was rented last of those up

    def __contains__(self, name: str) -> bool:
        return name in self._rentals

    def add(self, name: str, rental: PendingRental) -> None:
        """A machine, or the machines of a request, may come up."""
        self._rentals[name] = rental

    def started(self, names: Iterable[str]) -> None:
        """These machines are up."""
        for name in names:
            rental = self._rentals.pop(name, None)
            if rental is not None and (self._latest_started is None or rental.since > self._latest_started):
                self._latest_started = rental.since

    def machines_deleted(self, names: list[str]) -> None:
        """See `MachineDeletionListener`."""
        for name in names:
            self._rentals.pop(name, None)

    def machine_count(self) -> int:
        """How many machines may come up."""
        return sum(rental.count for rental in self._rentals.values())

    def expected(self) -> list[ExpectedMachines]:
        """The machines that a plan can count on."""
        rentals = self._rentals.values()
        return [ExpectedMachines(rental.pool, rental.count) for rental in rentals if self._is_expected(rental)]

    def expects(self, name: str) -> bool:
        """Whether a machine is pending and can still be counted on."""
        return name in self._rentals and self._is_expected(self._rentals[name])

    def remove_timed_out(self, members: Container[str], now: timedelta) -> list[str]:
        """Forget the rentals that most likely never come up, and those of members; the names that have timed out."""
        timed_out = []
        for name, rental in list(self._rentals.items()):
            if name in members:
                self.started([name])
            elif self.has_timed_out(rental.pool.type, rental.since + self._list_age, now):
                del self._rentals[name]
                timed_out.append(name)
        return timed_out

    def has_timed_out(self, type_name: str, since: timedelta, now: timedelta) -> bool:
        """Whether a machine that has booted since then will most likely never be up.

        When all machines boot slowly, only one that was rented later and is up already shows that another is stuck. A
        timeout by age alone would delete every machine just before it is up.
        """
        overtaken = self._latest_started is not None and self._latest_started > since
        return now - since > (OVERTAKEN_TIMEOUT if overtaken else PROVISIONING_TIMEOUT) * self._boot_time(type_name)

    def _is_expected(self, rental: PendingRental) -> bool:
        age = self._loop.now() - rental.since
        return rental.pool.type not in self._catalog or age <= EXPECTED_WITHIN * self._boot_time(rental.pool.type)

    def _boot_time(self, type_name: str) -> timedelta:
        """The nominal boot time of a machine type."""
        machine_type = self._catalog.get(type_name)
        return timedelta(seconds=machine_type.boot_s) if machine_type is not None else DEFAULT_BOOT_TIME
