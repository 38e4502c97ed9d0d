"""Amounts of processors, accelerators, memory and heartbeat space, as provided by machines and used by tasks.

Quotas use the same class for processors and accelerators.
"""

from dataclasses import dataclass

from badgerroute.protocol.cloud import MachineType
from badgerroute.protocol.message_sizes import TASK_LIST_BYTES, max_task_status_bytes
from badgerroute.protocol.users import Submission

EPSILON = 1e-6  # differences below this are rounding errors of sums
MAX_COUNT = 1_000_000  # limit for the result of `Resources.count_fitting`; no job has as many tasks


@dataclass(slots=True)
class Resources:
    """An amount of each resource. `add` and `subtract` change it in place, to keep sums over many tasks cheaply.

    Amounts may be fractional. They may be negative, for example unused quota after a limit was lowered below the
    usage. `list_bytes`: the space in a machine's heartbeat, which lists all its tasks and whose size is limited.
    """

    cpus: float = 0.0
    accelerators: float = 0.0
    memory_gb: float = 0.0
    list_bytes: int = 0

    def add(self, other: "Resources") -> None:
        """Add another amount to this one."""
        self.cpus += other.cpus
        self.accelerators += other.accelerators
        self.memory_gb += other.memory_gb
        self.list_bytes += other.list_bytes

    def subtract(self, other: "Resources") -> None:
        """Subtract another amount from this one."""
        self.cpus -= other.cpus
        self.accelerators -= other.accelerators
        self.memory_gb -= other.memory_gb
        self.list_bytes -= other.list_bytes

    def holds(self, other: "Resources") -> bool:
        """Whether another amount fits in this one, rounding errors aside."""
        return (
            other.cpus <= self.cpus + EPSILON
            and other.accelerators <= self.accelerators + EPSILON
            and other.memory_gb <= self.memory_gb + EPSILON
            and other.list_bytes <= self.list_bytes
        )

    def count_fitting(self, other: "Resources") -> int:
        """How many times another amount fits in this one, at most MAX_COUNT.

        An empty amount fits MAX_COUNT times.
        """
        counts = [
            (available + EPSILON) / needed
            for available, needed in (
                (self.cpus, other.cpus),
                (self.accelerators, other.accelerators),
                (self.memory_gb, other.memory_gb),
                (self.list_bytes, other.list_bytes),
            )
            if needed > 0
        ]
        return max(0, int(min([MAX_COUNT, *counts])))

    def copy(self) -> "Resources":
        """Return a copy, which can be changed without changing this amount."""
        return Resources(self.cpus, self.accelerators, self.memory_gb, self.list_bytes)

    def times(self, count: int) -> "Resources":
        """Return this amount `count` times."""
        return Resources(self.cpus * count, self.accelerators * count, self.memory_gb * count, self.list_bytes * count)


def need_of(submission: Submission) -> Resources:
    """The resources that each task of a job uses."""
    return Resources(
        submission.cpus, submission.accelerators, submission.memory_gb, max_task_status_bytes(submission.ref)
    )


def capacity_of(machine_type: MachineType) -> Resources:
    """The resources of an empty machine of a type."""
    return Resources(machine_type.cpus, machine_type.accelerators, machine_type.memory_gb, TASK_LIST_BYTES)
