"""The changes that a message from a machine caused in the shard's state, for callers to act on."""

from dataclasses import dataclass, field

from badgerroute.scheduling.model import Machine


@dataclass(slots=True)
class Events:
    """Changes caused by one message from a machine."""

    progressed: set[str] = field(default_factory=set)  # IDs of jobs with newly completed tasks
    capacity_freed: bool = False  # a placement was removed
    quarantined: list[Machine] = field(default_factory=list)  # newly quarantined, because tasks fail on them
