"""Amounts of processors, accelerators and memory: what machines have, tasks need and quotas limit."""

from dataclasses import dataclass

from badgerroute.protocol.cloud import MachineType
from badgerroute.protocol.users import Submission

EPSILON = 1e-6  # differences below this are rounding errors of sums
MAX_TASKS = 1_000_000  # more tasks than a job may have


@dataclass(slots=True)
class Resources:
    """An amount of each resource. `add` and `take` change it in place, since sums are kept over many tasks.

    Amounts may be fractions, and below zero where a limit was lowered under what is in use.
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
        """How many times another amount fits; MAX_TASKS at most, which is also the answer for an empty amount."""
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
        """The same amount as an object of its own."""
        return Resources(self.cpus, self.accelerators, self.memory_gb)


def need_of(submission: Submission) -> Resources:
    """What each task of a job takes."""
    return Resources(submission.cpus, submission.accelerators, submission.memory_gb)


def capacity_of(machine_type: MachineType) -> Resources:
    """What an empty machine of a type offers."""
    return Resources(machine_type.cpus, machine_type.accelerators, machine_type.memory_gb)
