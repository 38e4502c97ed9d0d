"""The phases of one attempt of a task, from the decision to start it until it has exited."""

from enum import Enum


class Phase(Enum):
    """The phase of an attempt. The values of the last four are the states that workers report."""

    RESERVED = "reserved"  # placed; the start command has not been sent
    SENT = "sent"  # the start command was sent in a heartbeat response; a later heartbeat shows whether it arrived
    FETCHING = "fetching"  # the machine fetches the image
    WAITING = "waiting"  # the image is fetched; the task waits for the other tasks of its gang
    RUNNING = "running"
    SAVING = "flushing"  # the task is stopping and saves its work


PHASES_WITHOUT_IMAGE = frozenset({Phase.RESERVED, Phase.SENT, Phase.FETCHING})
