"""The processors of the whole fleet that the gangs leave for small tasks."""

from badgerroute.coordination.jobs.job_store import JobStore
from badgerroute.protocol.cloud import MachineType
from badgerroute.protocol.users import Submission
from badgerroute.scheduling.resources import capacity_of, need_of
from badgerroute.storage import records
from badgerroute.storage.keys import MACHINES
from badgerroute.storage.replica import Replica

LEAST_SHARE = 0.25  # of the processors that small tasks get at least, whatever the gangs need


class SmallTaskCapacity:
    """Counts processors by machine type, over the members of all shards."""

    def __init__(self, *, job_store: JobStore, replica: Replica, catalog: dict[str, MachineType]) -> None:
        self._job_store, self._replica, self._catalog = job_store, replica, catalog
        self._types: dict[str, str] = {}  # member -> machine type, which never changes

    def processors(self) -> float:
        """All processors, less those that the waiting and running gangs need of the types that they can use."""
        by_type = self._processors_by_type()
        gangs = [record.job for _, record in self._job_store.schedulable() if record.job.gang]
        usable = sum(by_type[kind] for kind in self._usable_types(by_type, gangs))
        taken = min(sum(job.tasks * job.cpus for job in gangs), usable)
        total = sum(by_type.values())
        return max(total - taken, LEAST_SHARE * total)

    def _processors_by_type(self) -> dict[str, float]:
        total: dict[str, float] = {}
        for key in self._replica.under(MACHINES):
            kind = self._types.get(key)
            if kind is None:
                kind = self._types[key] = records.read(self._replica.stored(key), records.MachineRecord).type
            if kind in self._catalog:
                total[kind] = total.get(kind, 0.0) + self._catalog[kind].cpus
        return total

    def _usable_types(self, by_type: dict[str, float], gangs: list[Submission]) -> set[str]:
        """Machine types that some gang can use."""
        return {kind for kind in by_type for job in gangs if capacity_of(self._catalog[kind]).holds(need_of(job))}
