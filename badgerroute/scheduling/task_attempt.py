"""The identity of one attempt of one task, as workers report it."""

from typing import NamedTuple


class TaskAttempt(NamedTuple):
    """One attempt of a task: the job's ID, the task's number within the job, and the attempt number."""

    ref: str
    number: int
    attempt: int

    @property
    def task(self) -> str:
        """The task's name in messages: `job/number`."""
        return f"{self.ref}/{self.number}"
