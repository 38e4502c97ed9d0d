"""Communication with other controllers: the messenger protocol, and the broadcast of applied writes."""

from collections.abc import Callable
from typing import Protocol

from badgerroute.protocol.mesh import Message, Push

Publish = Callable[[str, bytes | None, int], None]  # signature of `ChangePublisher.publish`: key, value, revision


class PeerMessenger(Protocol):
    """Sends messages to other controllers. Delivery is not guaranteed."""

    def send(self, host: str, message: Message) -> None:
        """Send a message to one controller, `host`."""

    def broadcast(self, message: Message) -> None:
        """Send a message to all other controllers."""


class ChangePublisher(Protocol):
    """Receives every write of this controller that the key-value store has applied."""

    def publish(self, key: str, value: bytes | None, revision: int) -> None:
        """Publish that a key was set to `value` at `revision`, or was removed if `value` is None."""


class ChangeBroadcast:
    """Pushes applied writes to all peers, so that they learn of them before their watches report them."""

    def __init__(self, messenger: PeerMessenger) -> None:
        self._messenger = messenger

    def publish(self, key: str, value: bytes | None, revision: int) -> None:
        """Push one applied write to all peers; the arguments are those of `ChangePublisher.publish`."""
        self._messenger.broadcast(Push(key, revision, value))
