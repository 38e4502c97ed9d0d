"""Workers -> controllers (reports) and controllers -> workers (commands)."""

from typing import Annotated, Literal

import msgspec
from msgspec import UNSET, Meta, Struct, UnsetType, field

from badgerroute.protocol.common import NO_LIMIT, MalformedError, decode

Count = Annotated[int, Meta(ge=0)]
Text = Annotated[str, Meta(min_length=1, max_length=120)]
TaskId = Annotated[str, Meta(max_length=120, pattern=r"^.+/[0-9]{1,6}\Z")]


class TaskReport(Struct):
    """A task as its machine reports it."""

    task: TaskId = field(name="head")
    attempt: Count = field(name="try")
    state: Literal["fetching", "waiting", "running", "flushing", "exited"] = field(name="condition")
    cause: str | None = None
    kept: bool | None = None


class Report(Struct):
    """A machine's report: what is on it, and which messages it has seen."""

    machine: Text = field(name="mount")
    address: Text
    type: Text = field(name="breed")
    zone: Text = field(name="pasture")
    spot: bool = field(name="strays")
    session: Count = field(name="ride")
    seq: Count = field(name="tally")
    token: Count = field(name="crook")
    notice_s: float | None = field(name="recall_s", default=None)
    tasks: list[TaskReport] = field(name="heads", default_factory=list)

    def newer_than(self, session: int, seq: int) -> bool:
        """Whether the report was made after the message with this session and number."""
        return (self.session, self.seq) > (session, seq)


_report = msgspec.json.Decoder(Report)


def parse_report(body: bytes) -> Report:
    """A report from a message's body; MalformedError names the field that is wrong."""
    report = decode(body, _report)
    if max(report.session, report.seq, report.token) >= NO_LIMIT:
        raise MalformedError("a counter is out of range")
    host, _, port = report.address.rpartition(":")
    if not port.isdigit() or not 0 < int(port) < 65536 or not host:
        raise MalformedError("address: not host:port")
    for task in report.tasks:
        if task.attempt >= NO_LIMIT:
            raise MalformedError("try: out of range")
    return report


def split_task(task: str) -> tuple[str, int]:
    """A task's job and index."""
    ref, _, index = task.rpartition("/")
    return ref, int(index)


class Command(Struct, omit_defaults=True):
    """What a machine is to do with one task."""

    kind: Literal["start", "halt", "clear"] = field(name="call")
    task: str = field(name="head")
    attempt: int = field(name="try")
    grace_s: float | UnsetType = field(name="settle_s", default=UNSET)


class ReportAnswer(Struct):
    """The answer to a report, which renews the machine's lease."""

    token: int = field(name="crook")
    commands: list[Command] = field(name="calls", default_factory=list)


class DirectCommands(Struct):
    """Commands sent to a machine's own address."""

    token: int = field(name="crook")
    session: int = field(name="ride")
    commands: list[Command] = field(name="calls", default_factory=list)


class Redirect(Struct, omit_defaults=True):
    """Tells a machine to report to another controller."""

    leader: str | UnsetType = field(name="trail_boss", default=UNSET)
