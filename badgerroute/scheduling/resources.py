"""Amounts of processors, accelerators and memory, as provided by machines and used by tasks and quotas."""

from dataclasses import dataclass

from badgerroute.protocol.cloud import MachineType
from badgerroute.protocol.users import Submission

EPSILON = 1e-6  # differences below this are rounding errors of sums
MAX_TASKS = 1_000_000  # above the maximum number of tasks of a job


@dataclass(slots=True)
class Resources:
    """An amount of each resource. `add` and `take` change it in place, since sums are kept over many tasks.

    Amounts may be fractional, and negative where a limit was lowered below the usage.
    """

    cpus: float = 0.0
    accelerators: float = 0.0
    memory_gb: float = 0.0

    def add(self, other: "Resources") -> None:
        """Add another amount to this one."""
        self.cpus += other.cpus
        self.accelerators += other.accelerators
        self.memory_gb += other.memory_gb

    def take(self, other: "Resources") -> None:
        """Subtract another amount from this one."""
        self.cpus -= other.cpus
        self.accelerators -= other.accelerators
        self.memory_gb -= other.memory_gb

    def holds(self, other: "Resources") -> bool:
        """Whether another amount fits, rounding errors aside."""
        return (
            other.cpus <= self.cpus + EPSILON
            and other.accelerators <= self.accelerators + EPSILON
            and other.memory_gb <= self.memory_gb + EPSILON
        )

    def times(self, other: "Resources") -> int:
        """How many times another amount fits, at most MAX_TASKS, which is also the result for an empty amount."""
        counts = [
            (available + EPSILON) / needed
            for available, needed in (
                (self.cpus, other.cpus),
                (self.accelerators, other.accelerators),
                (self.memory_gb, other.memory_gb),
            )
            if needed > 0
        ]
        return max(0, int(min([MAX_TASKS, *counts])))

    def copy(self) -> "Resources":
        """Return a copy."""
        return Resources(self.cpus, self.accelerators, self.memory_gb)


def need_of(submission: Submission) -> Resources:
    """The resources that each task of a job uses."""
    return Resources(submission.cpus, submission.accelerators, submission.memory_gb)


def capacity_of(machine_type: MachineType) -> Resources:
    """The resources of an empty machine of a type."""
    return Resources(machine_type.cpus, machine_type.accelerators, machine_type.memory_gb)
