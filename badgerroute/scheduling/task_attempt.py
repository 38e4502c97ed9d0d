"""The identity of one attempt of one task, as machines report it."""

from typing import NamedTuple


class TaskAttempt(NamedTuple):
    """One attempt of a task: the job's reference, the task's number in it, and the attempt number."""

    ref: str
    number: int
    attempt: int

    @property
    def task(self) -> str:
        """The task as messages name it."""
        return f"{self.ref}/{self.number}"
