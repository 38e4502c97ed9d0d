"""A message from a machine with its task list, and what the list proves."""

from dataclasses import dataclass, field
from datetime import timedelta

from badgerroute.protocol.workers import Heartbeat
from badgerroute.scheduling.events import Events
from badgerroute.scheduling.model import Machine, Placement


@dataclass(slots=True)
class TaskListMessage:
    """A task list that is newer than all others processed for its machine.

    `periodic`: the message is a heartbeat, not the response to a direct command. `timing_known`: the previous message
    was processed recently. After a gap, since the machine or this controller was silent, it is unknown when the changes
    in the list happened. `events` collects the changes that the message causes.
    """

    machine: Machine
    heartbeat: Heartbeat
    periodic: bool
    timing_known: bool
    now: timedelta
    events: Events = field(default_factory=Events)

    def confirms_absence(self, placement: Placement) -> bool:
        """Whether a task missing from this list proves that its start command was not and will not be executed.

        A worker has one heartbeat in flight and ignores late responses, so only a later *heartbeat* proves it.
        """
        return self.periodic and placement.sent is not None and self.heartbeat.newer_than(*placement.sent)
