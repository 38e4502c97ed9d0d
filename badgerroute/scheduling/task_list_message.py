"""A machine's message, and what its task list proves."""

from dataclasses import dataclass, field
from datetime import timedelta

from badgerroute.protocol.workers import Heartbeat
from badgerroute.scheduling.events import Events
from badgerroute.scheduling.model import Machine, Placement


@dataclass(slots=True)
class TaskListMessage:
    """A task list that is newer than all that was taken in of its machine.

    `periodic`: it is a heartbeat; the answer to a direct command is not one. `prompt`: neither the machine nor this
    controller was silent before it. After a silence there is no telling when the changes that it shows came about.
    `events` collects what it changes.
    """

    machine: Machine
    heartbeat: Heartbeat
    periodic: bool
    timing_known: bool
    now: timedelta
    events: Events = field(default_factory=Events)

    def confirms_absence(self, placement: Placement) -> bool:
        """Whether a start's absence from this message proves that it was not and will not be executed.

        A worker keeps one heartbeat in flight and drops late answers, so only a later *heartbeat* proves it.
        """
        return self.periodic and placement.sent is not None and self.heartbeat.newer_than(*placement.sent)
