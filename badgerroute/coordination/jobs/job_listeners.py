"""Protocols for objects that the job store notifies of released and cancelled jobs."""

from typing import Protocol


class JobReleaseListener(Protocol):
    """Is notified of jobs whose predecessors are all done."""

    def job_released(self, ref: str) -> None:
        """Handle a job that no longer waits for predecessors, so that its tasks may be scheduled."""


class CancellationListener(Protocol):
    """Is notified of cancelled jobs."""

    def job_cancelled(self, ref: str, revision: int, awaited_by_user: bool) -> None:
        """Handle a job whose final state, written at `revision`, is "cancelled".

        If `awaited_by_user` is set, a user of this controller is waiting for the confirmation of the cancellation.
        """
