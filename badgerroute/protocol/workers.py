"""Workers -> controllers (heartbeats) and controllers -> workers (commands).

PROTOCOL, "Workers -> controller nodes" and "Controller nodes -> workers".
"""

from typing import Annotated, Literal

import msgspec
from msgspec import UNSET, Meta, Struct, UnsetType, field

from badgerroute.protocol.common import NO_LIMIT, MalformedError, decode

Count = Annotated[int, Meta(ge=0)]
Text = Annotated[str, Meta(min_length=1, max_length=120)]
TaskId = Annotated[str, Meta(max_length=120, pattern=r"^.+/[0-9]{1,6}\Z")]


class TaskStatus(Struct):
    """A task as its machine reports it (`heads` of POST /checkin). `checkpointed`: its progress was saved."""

    task: TaskId = field(name="head")
    attempt: Count = field(name="try")
    state: Literal["fetching", "waiting", "running", "flushing", "exited"] = field(name="condition")
    cause: str | None = None
    checkpointed: bool | None = field(name="kept", default=None)


class Heartbeat(Struct):
    """A machine's heartbeat: POST /checkin, and response of POST /do and GET /status.

    `incarnation` increases whenever the machine's lease ends, `sequence` with every message of the machine.
    `fencing_token` is the highest one that it has seen. `preemption_notice_s`: seconds until the cloud takes it away.
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
        """Whether the heartbeat was made after the message with this incarnation and sequence number."""
        return (self.incarnation, self.sequence) > (incarnation, sequence)


_heartbeat_decoder = msgspec.json.Decoder(Heartbeat)


def parse_heartbeat(body: bytes) -> Heartbeat:
    """A heartbeat from a message's body; MalformedError names the field that is wrong."""
    heartbeat = decode(body, _heartbeat_decoder)
    if max(heartbeat.incarnation, heartbeat.sequence, heartbeat.fencing_token) >= NO_LIMIT:
        raise MalformedError("a counter is out of range")
    host, _, port = heartbeat.address.rpartition(":")
    if not port.isdigit() or not 0 < int(port) < 65536 or not host:
        raise MalformedError.of_field("address", "not host:port")
    for task in heartbeat.tasks:
        if task.attempt >= NO_LIMIT:
            raise MalformedError.of_field("try", "out of range")
    return heartbeat


def split_task(task: str) -> tuple[str, int]:
    """A task's job and index."""
    ref, _, index = task.rpartition("/")
    return ref, int(index)


class Command(Struct, omit_defaults=True):
    """What a machine is to do with one task (`calls`). `grace_s`: how long the task may save before it is killed."""

    kind: Literal["start", "halt", "clear"] = field(name="call")
    task: str = field(name="head")
    attempt: int = field(name="try")
    grace_s: float | UnsetType = field(name="settle_s", default=UNSET)


class HeartbeatResponse(Struct):
    """The answer to a heartbeat, which renews the machine's lease: 200 of POST /checkin."""

    fencing_token: int = field(name="crook")
    commands: list[Command] = field(name="calls", default_factory=list)


class DirectCommands(Struct):
    """Commands sent to a machine's own address: POST /do. They do not renew its lease."""

    fencing_token: int = field(name="crook")
    incarnation: int = field(name="ride")
    commands: list[Command] = field(name="calls", default_factory=list)


class Redirect(Struct, omit_defaults=True):
    """Tells a machine to heartbeat to another controller: 421 of POST /checkin."""

    leader: str | UnsetType = field(name="trail_boss", default=UNSET)
