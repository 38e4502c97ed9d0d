"""The phases of one attempt of a task, from the decision to start it until its last report."""

from enum import Enum


class Phase(Enum):
    """Where an attempt of a task stands. The values of the last four are the states that workers report."""

    RESERVED = "reserved"  # decided; the start has not gone out to the machine
    SENT = "sent"  # the start went out in the answer to a heartbeat; only a later heartbeat shows whether it arrived
    FETCHING = "fetching"
    WAITING = "waiting"
    RUNNING = "running"
    SAVING = "flushing"


PHASES_WITHOUT_IMAGE = frozenset({Phase.RESERVED, Phase.SENT, Phase.FETCHING})
