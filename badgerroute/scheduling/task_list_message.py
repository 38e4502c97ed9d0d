"""A message with a machine's task list, and what a task's absence from the list proves."""

from dataclasses import dataclass, field
from datetime import timedelta

from badgerroute.protocol.workers import Heartbeat
from badgerroute.scheduling.events import Events
from badgerroute.scheduling.model import Machine, Placement


@dataclass(slots=True)
class TaskListMessage:
    """A machine's task list, newer than all task lists of the machine that were processed before.

    `periodic`: the message is a heartbeat, not the response to a direct command. `timing_known`: the machine's previous
    message was processed recently. If not, because the machine or this controller was silent, it is unknown when the
    changes in the list happened. `events` collects the changes to the shard that the message causes.
    """

    machine: Machine
    heartbeat: Heartbeat
    periodic: bool
    timing_known: bool
    now: timedelta
    events: Events = field(default_factory=Events)

    def confirms_absence(self, placement: Placement) -> bool:
        """Whether a task missing from this list proves that its start command was not and will not be executed.

        A worker has at most one heartbeat in flight and ignores late responses. So a heartbeat proves it if it was sent
        after the one whose response carried the command. The response to a direct command proves nothing.
        """
        return self.periodic and placement.sent is not None and self.heartbeat.newer_than(*placement.sent)
