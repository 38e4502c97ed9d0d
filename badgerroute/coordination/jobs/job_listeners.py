"""Listeners for what the job store finds out about jobs."""

from typing import Protocol


class JobReleaseListener(Protocol):
    """Acts on jobs whose predecessors are all done."""

    def job_released(self, ref: str) -> None:
        """A job no longer waits for others, so its tasks may be scheduled."""


class CancellationListener(Protocol):
    """Acts on cancelled jobs."""

    def job_cancelled(self, ref: str, revision: int, confirming: bool) -> None:
        """A job's final state, written at this revision, is that it is cancelled.

        `confirming`: a user of this controller is about to be answered that it is.
        """
