"""Results of a job look-up, and the job conditions shown to users."""

from dataclasses import dataclass
from enum import StrEnum

from badgerroute.storage.records import JobRecord, JobState


class JobCondition(StrEnum):
    """A job's condition in responses to users. The values are part of the HTTP API."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "withdrawn"


@dataclass(frozen=True, slots=True)
class ActiveJob:
    """An unfinished job: its record and the revision of that record."""

    record: JobRecord
    revision: int


@dataclass(frozen=True, slots=True)
class FinishedJob:
    """A job that has a final state, or is certain to be cancelled because a predecessor is cancelled."""

    state: JobState


@dataclass(frozen=True, slots=True)
class UnknownJob:
    """A job that no controller has ever accepted."""


JobLookup = ActiveJob | FinishedJob | UnknownJob


class UnknownJobError(Exception):
    """A request names a job that no controller has ever accepted. A retry cannot succeed until the job is submitted."""

    def __init__(self, ref: str) -> None:
        super().__init__(f"no controller has accepted job {ref}")
        self.ref = ref
