"""What messages from machines change, for those who act on it."""

from dataclasses import dataclass, field

from badgerroute.scheduling.model import Machine


@dataclass(slots=True)
class Events:
    """What a message changed that others must hear of."""

    progressed: set[str] = field(default_factory=set)  # jobs with tasks newly done
    capacity_freed: bool = False
    quarantined: list[Machine] = field(default_factory=list)
