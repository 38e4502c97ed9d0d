"""Heartbeats that workers send to controllers, and commands that controllers send to workers.

They are specified in the sections "Workers -> controller nodes" and "Controller nodes -> workers" of the platform's
protocol specification.
"""

from typing import Annotated, Literal

import msgspec
from msgspec import UNSET, Meta, Struct, UnsetType, field

from badgerroute.protocol.common import COUNTER_LIMIT, MalformedError, decode

Count = Annotated[int, Meta(ge=0)]
Text = Annotated[str, Meta(min_length=1, max_length=120)]
TaskId = Annotated[str, Meta(max_length=120, pattern=r"^.+/[0-9]{1,6}\Z")]


class TaskStatus(Struct):
    """The state of a task, as its machine reports it in a heartbeat. `checkpointed`: whether its progress was saved."""

    task: TaskId = field(name="head")
    attempt: Count = field(name="try")
    state: Literal["fetching", "waiting", "running", "flushing", "exited"] = field(name="condition")
    cause: str | None = None
    checkpointed: bool | None = field(name="kept", default=None)


class Heartbeat(Struct):
    """A machine's heartbeat: body of POST /checkin, and of the responses to POST /do and GET /status.

    `incarnation` increases whenever the machine's lease ends, `sequence` with every message that the machine sends.
    `fencing_token`: the highest fencing token that the machine has received. `preemption_notice_s`: seconds until the
    cloud preempts the machine, or None if it has received no preemption notice.
    """

    machine: Text = field(name="mount")
    address: Text
    type: Text = field(name="breed")
    zone: Text = field(name="pasture")
    spot: bool = field(name="strays")
    incarnation: Count = field(name="ride")
    sequence: Count = field(name="tally")
    fencing_token: Count = field(name="crook")
    preemption_notice_s: float | None = field(name="recall_s", default=None)
    tasks: list[TaskStatus] = field(name="heads", default_factory=list)

    def newer_than(self, incarnation: int, sequence: int) -> bool:
        """Return whether the heartbeat is newer than the message with this incarnation and sequence number."""
        return (self.incarnation, self.sequence) > (incarnation, sequence)


_heartbeat_decoder = msgspec.json.Decoder(Heartbeat)


def parse_heartbeat(body: bytes) -> Heartbeat:
    """Parse a heartbeat from a message's body. Raise MalformedError if it is invalid."""
    heartbeat = decode(body, _heartbeat_decoder)
    if max(heartbeat.incarnation, heartbeat.sequence, heartbeat.fencing_token) >= COUNTER_LIMIT:
        raise MalformedError("a counter is out of range")
    host, _, port = heartbeat.address.rpartition(":")
    if not port.isdigit() or not 0 < int(port) < 65536 or not host:
        raise MalformedError.for_field("address", "not host:port")
    for task in heartbeat.tasks:
        if task.attempt >= COUNTER_LIMIT:
            raise MalformedError.for_field("try", "out of range")
    return heartbeat


def split_task(task: str) -> tuple[str, int]:
    """Split a task's id into the job's id and the task's index."""
    ref, _, index = task.rpartition("/")
    return ref, int(index)


class Command(Struct, omit_defaults=True):
    """A command to a machine about one task.

    `grace_s`: how long the task is allowed to save its progress before it is killed.
    """

    kind: Literal["start", "halt", "clear"] = field(name="call")
    task: str = field(name="head")
    attempt: int = field(name="try")
    grace_s: float | UnsetType = field(name="settle_s", default=UNSET)


class HeartbeatResponse(Struct):
    """The response to a heartbeat, which renews the machine's lease: 200 response to POST /checkin."""

    fencing_token: int = field(name="crook")
    commands: list[Command] = field(name="calls", default_factory=list)


class DirectCommands(Struct):
    """Commands that a controller sends to a machine on its own initiative: POST /do. They don't renew the lease."""

    fencing_token: int = field(name="crook")
    incarnation: int = field(name="ride")
    commands: list[Command] = field(name="calls", default_factory=list)


class Redirect(Struct, omit_defaults=True):
    """Tells a machine to send its heartbeats to another controller: 421 response to POST /checkin."""

    leader: str | UnsetType = field(name="trail_boss", default=UNSET)
