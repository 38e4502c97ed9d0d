"""How this package reaches the other controllers: the messenger that it needs, and the broadcast of applied writes."""

from collections.abc import Callable
from typing import Protocol

from badgerroute.protocol.mesh import Message, Push

Publish = Callable[[str, bytes | None, int], None]  # `ChangePublisher.publish`: key, value, revision


class PeerMessenger(Protocol):
    """Sends messages to other controllers. Delivery is not guaranteed."""

    def send(self, host: str, message: Message) -> None:
        """Send a message to one controller."""

    def broadcast(self, message: Message) -> None:
        """Send a message to all other controllers."""


class ChangePublisher(Protocol):
    """Is given every write of this controller that the key-value store has applied."""

    def publish(self, key: str, value: bytes | None, revision: int) -> None:
        """A key has this value since a revision; a value of None: it was removed."""


class ChangeBroadcast:
    """Pushes applied writes to all peers, which so learn of them before their watches report them."""

    def __init__(self, messenger: PeerMessenger) -> None:
        self._messenger = messenger

    def publish(self, key: str, value: bytes | None, revision: int) -> None:
        """Push one write; see `ChangePublisher`."""
        self._messenger.broadcast(Push(key, revision, value))
