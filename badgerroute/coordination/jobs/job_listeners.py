"""Listeners for what the job store finds out about jobs."""

from collections.abc import Mapping
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


class JobObserver(Protocol):
    """A shard's leader, as far as this package knows it."""

    ready: bool

    def job_changed(self, ref: str) -> None:
        """Something about a job has changed that may matter to the shard."""


class JobChangeNotifier:
    """Notifies the leaders of this controller's shards. The map of leaders, by shard, changes while this is in use."""

    def __init__(self, leaders: Mapping[int, JobObserver]) -> None:
        self._leaders = leaders

    def job_released(self, ref: str) -> None:
        """See `JobReleaseListener`."""
        self.job_changed(ref)

    def job_changed(self, ref: str) -> None:
        """Notify every leader that has taken over its shard."""
        for leader in self._leaders.values():
            if leader.ready:
                leader.job_changed(ref)
