"""The number of processors in the whole fleet that gangs leave to small tasks."""

from badgerroute.coordination.jobs.job_store import JobStore
from badgerroute.protocol.cloud import MachineType
from badgerroute.protocol.users import Submission
from badgerroute.scheduling.resources import capacity_of, need_of
from badgerroute.storage import records
from badgerroute.storage.keys import MACHINES
from badgerroute.storage.replica import Replica

MIN_SMALL_TASK_FRACTION = 0.25  # at least this part of all processors counts as available to small tasks


class SmallTaskCapacity:
    """Computes how many processors of the fleet are available to small tasks, the tasks of jobs that are not gangs."""

    def __init__(self, *, job_store: JobStore, replica: Replica, catalog: dict[str, MachineType]) -> None:
        self._job_store, self._replica, self._catalog = job_store, replica, catalog
        self._types: dict[str, str] = {}  # by the key of a machine's record; a machine's type never changes

    def processors(self) -> float:
        """Return the number of processors of all machines, minus those that waiting and running gangs need.

        For gangs, at most the processors of the machine types that they can use are subtracted. The result is at least
        `MIN_SMALL_TASK_FRACTION` of all processors.
        """
        by_type = self._processors_by_type()
        gangs = [record.job for _, record in self._job_store.schedulable() if record.job.gang]
        usable = sum(by_type[type_name] for type_name in self._usable_types(by_type, gangs))
        needed_by_gangs = min(sum(job.tasks * job.cpus for job in gangs), usable)
        total = sum(by_type.values())
        return max(total - needed_by_gangs, MIN_SMALL_TASK_FRACTION * total)

    def _processors_by_type(self) -> dict[str, float]:
        total: dict[str, float] = {}
        for key in self._replica.keys_under(MACHINES):
            type_name = self._types.get(key)
            if type_name is None:
                type_name = self._types[key] = records.read(
                    self._replica.existing_value(key), records.MachineRecord
                ).type
            if type_name in self._catalog:
                total[type_name] = total.get(type_name, 0.0) + self._catalog[type_name].cpus
        return total

    def _usable_types(self, by_type: dict[str, float], gangs: list[Submission]) -> set[str]:
        """Return the machine types that some gang can use."""
        return {
            type_name
            for type_name in by_type
            for job in gangs
            if capacity_of(self._catalog[type_name]).holds(need_of(job))
        }
