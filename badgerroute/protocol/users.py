"""Messages from users to controllers: section "Users -> controller nodes" of the platform's protocol specification."""

import re
from enum import Enum
from typing import Annotated, Literal

import msgspec
from msgspec import UNSET, Meta, Struct, field

from badgerroute.protocol.common import MalformedError, decode

JOB_ID_PATTERN = re.compile(r"run-[0-9A-Za-z_.-]{1,60}\Z")
Text = Annotated[str, Meta(min_length=1, max_length=120)]
Amount = Annotated[float, Meta(ge=0, le=1e9)]


class Priority(Enum):
    """The priority of a job."""

    PRODUCTION = "prod"
    URGENT = "urgent"
    NORMAL = "normal"
    IDLE = "idle"

    @property
    def level(self) -> int:
        """The priority as a number; a larger one is more important."""
        return _LEVELS[self]


_LEVELS = {Priority.PRODUCTION: 3, Priority.URGENT: 2, Priority.NORMAL: 1, Priority.IDLE: 0}


class Submission(Struct, frozen=True, omit_defaults=True):
    """A job as submitted by its user: POST /v1/jobs. The resources are those that one task needs.

    `together`: all tasks must run in one zone. `spread`: at most half of the tasks (rounded up) may run in one zone.
    `spot`: whether the job is allowed to run on spot machines. `checkpoint_s`: 0 if the job saves no checkpoints.
    `save_s`: how long a task takes to save its progress when it is stopped. `types`, `zone`: the machine types and the
    zone to which the job is restricted, None for no restriction. `predecessors`: upstream jobs, which must be done
    before this job starts.
    """

    ref: Text
    job_class: Text = field(name="herd")
    team: Text = field(name="crew")
    kind: Literal["array", "group", "daemon"] = field(name="gait")
    priority: Priority = field(name="rank")
    tasks: Annotated[int, Meta(ge=1, le=100_000)] = field(name="heads")
    cpus: Amount
    accelerators: Amount
    memory_gb: Amount = field(name="ram_gb")
    image: Text = field(name="brand")
    image_gb: Amount
    together: bool
    spread: bool
    spot: bool = field(name="strays")
    estimate_s: Amount = field(name="trek_s")
    checkpoint_s: Amount = field(name="waypoint_s")
    save_s: Amount = field(name="pen_s")
    types: list[Text] | None = field(name="breeds", default=None)
    zone: Text | None = field(name="pasture", default=None)
    deadline_s: Amount | None = field(name="market_s", default=None)
    predecessors: list[Text] | None = field(name="follows", default=None)

    @property
    def gang(self) -> bool:
        """Whether the tasks must all run at the same time."""
        return self.kind == "group"


_submission_decoder = msgspec.json.Decoder(Submission)


def parse_submission(body: bytes) -> Submission:
    """Parse a job submission from a request's body. Raise MalformedError, with the invalid field, if it is invalid."""
    job = decode(body, _submission_decoder)
    if not JOB_ID_PATTERN.match(job.ref):
        raise MalformedError.for_field("ref", "not a job id")
    if job.estimate_s == 0 and job.kind != "daemon":  # a daemon job runs until it is cancelled; see docs/questions.md
        raise MalformedError.for_field("trek_s", "must be above 0")
    if job.cpus == 0 and job.accelerators == 0 and job.memory_gb == 0:
        raise MalformedError.for_field("cpus", "a task must take something of its machine")
    for ref in job.predecessors or ():
        if not JOB_ID_PATTERN.match(ref):
            raise MalformedError.for_field("follows", f"not a job id: {ref}")
    return job


class JobView(Struct, omit_defaults=True):
    """A job's state as shown to users: response to GET /v1/jobs/{id} and to POST /v1/jobs/{id}/cancel.

    `done`, `running`: the numbers of tasks in these states.
    """

    ref: str
    condition: Literal["queued", "running", "done", "withdrawn"]
    done: int | msgspec.UnsetType = UNSET
    running: int | msgspec.UnsetType = UNSET
