"""Results of looking up a job, and the conditions of a job that users are shown."""

from dataclasses import dataclass
from enum import StrEnum

from badgerroute.storage.records import JobRecord, JobState


class JobCondition(StrEnum):
    """A job's condition in answers to users. The values are part of the API."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "withdrawn"


@dataclass(frozen=True, slots=True)
class ActiveJob:
    """An unfinished job: its record, and the revision at which that was read."""

    record: JobRecord
    revision: int


@dataclass(frozen=True, slots=True)
class FinishedJob:
    """A job that has its final state, or is certain to get it because a predecessor is cancelled."""

    state: JobState


@dataclass(frozen=True, slots=True)
class UnknownJob:
    """No controller ever accepted such a job."""


JobLookup = ActiveJob | FinishedJob | UnknownJob


class UnknownJobError(Exception):
    """A request names a job that no controller ever accepted. Repeating it is of no use before the job is submitted."""

    def __init__(self, ref: str) -> None:
        super().__init__(f"job {ref} is not known")
        self.ref = ref
