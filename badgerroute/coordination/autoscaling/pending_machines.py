"""Pending machines and their provisioning timeouts.

A pending machine has been rented but is not up yet. It is up when it has become a member of a shard.
"""

from collections.abc import Container, Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta

from badgerroute.protocol.cloud import MachineType
from badgerroute.scheduling.scale_out_planning import ExpectedMachines, MachinePool
from badgerroute.transport.loop import Loop

DEFAULT_BOOT_TIME = timedelta(seconds=60)  # for a machine type that is not in the catalog
# As multiples of the machine type's nominal boot time:
EXPECTED_WITHIN = 3  # after this, scale-out planning no longer counts on a machine and may rent a replacement
OVERTAKEN_TIMEOUT = 4  # provisioning timeout of a machine that was rented earlier than some machine that is up
PROVISIONING_TIMEOUT = 15  # provisioning timeout of any other machine


@dataclass(frozen=True, slots=True)
class PendingRental:
    """One machine that is not up yet, or the `count` machines of a rental request whose outcome is unknown."""

    pool: MachinePool
    count: int
    rented_at: timedelta  # by the loop's monotonic clock


class PendingMachines:
    """The pending rentals, by machine name, or by request name if the response to the request was lost.

    `max_list_age` is the greatest age of the cloud's list of machines, and so how long the list may lack a new machine.
    """

    def __init__(self, loop: Loop, catalog: Mapping[str, MachineType], max_list_age: timedelta) -> None:
        self._loop, self._catalog, self._max_list_age = loop, catalog, max_list_age
        self._rentals: dict[str, PendingRental] = {}
        self._latest_rented_at: timedelta | None = None  # the latest rental time of the machines that are up

    def __contains__(self, name: str) -> bool:
        return name in self._rentals

    def add(self, name: str, rental: PendingRental) -> None:
        """Add a rented machine, or the machines of a request whose outcome is unknown."""
        self._rentals[name] = rental

    def remove_started(self, names: Iterable[str]) -> None:
        """Remove machines that are up, and remember the latest of their rental times."""
        for name in names:
            rental = self._rentals.pop(name, None)
            if rental is not None and (self._latest_rented_at is None or rental.rented_at > self._latest_rented_at):
                self._latest_rented_at = rental.rented_at

    def machines_deleted(self, names: list[str]) -> None:
        """Remove machines whose deletion the cloud has confirmed."""
        for name in names:
            self._rentals.pop(name, None)

    def machine_count(self) -> int:
        """Return the number of pending machines, including those of requests whose outcome is unknown."""
        return sum(rental.count for rental in self._rentals.values())

    def expected(self) -> list[ExpectedMachines]:
        """Return the pending machines that were rented recently enough for scale-out planning to count on them."""
        rentals = self._rentals.values()
        return [ExpectedMachines(rental.pool, rental.count) for rental in rentals if self._is_expected(rental)]

    def expects(self, name: str) -> bool:
        """Return whether a machine is pending and was rented recently enough to count on it."""
        return name in self._rentals and self._is_expected(self._rentals[name])

    def remove_timed_out(self, members: Container[str], now: timedelta) -> list[str]:
        """Remove the rentals of members of shards and the timed-out rentals. Return the names of the timed-out ones."""
        timed_out = []
        for name, rental in list(self._rentals.items()):
            if name in members:
                self.remove_started([name])
            elif self.has_timed_out(rental.pool.type, rental.rented_at + self._max_list_age, now):
                del self._rentals[name]
                timed_out.append(name)
        return timed_out

    def has_timed_out(self, type_name: str, rented_at: timedelta, now: timedelta) -> bool:
        """Return whether a machine that was rented at this time and is not up will most likely never be up.

        The timeout is short only if a machine that was rented later is already up, which shows that this one is stuck.
        If every machine had the short timeout and booting was slow, all machines would be deleted just before they are
        up.
        """
        overtaken = self._latest_rented_at is not None and self._latest_rented_at > rented_at
        return now - rented_at > (OVERTAKEN_TIMEOUT if overtaken else PROVISIONING_TIMEOUT) * self._boot_time(type_name)

    def _is_expected(self, rental: PendingRental) -> bool:
        age = self._loop.now() - rental.rented_at
        return rental.pool.type not in self._catalog or age <= EXPECTED_WITHIN * self._boot_time(rental.pool.type)

    def _boot_time(self, type_name: str) -> timedelta:
        """Return the nominal boot time of a machine type."""
        machine_type = self._catalog.get(type_name)
        return timedelta(seconds=machine_type.boot_s) if machine_type is not None else DEFAULT_BOOT_TIME
