"""The frames that wait to be sent to one peer."""

from collections import deque

from badgerroute.transport.loop import Future

MAX_QUEUED_BYTES = 4 << 20  # for one peer: the frames of thousands of machines that come at once, and no more


class SendQueue:
    """A bounded queue: while the peer can't be reached, the oldest frames make way for new ones."""

    def __init__(self) -> None:
        self._frames: deque[bytes] = deque()
        self.queued_bytes = 0
        self._wake = Future()

    def __len__(self) -> int:
        return len(self._frames)

    def add(self, data: bytes) -> None:
        """Queue a frame, dropping the oldest ones beyond MAX_QUEUED_BYTES."""
        self._frames.append(data)
        self.queued_bytes += len(data)
        while self.queued_bytes > MAX_QUEUED_BYTES:
            self.queued_bytes -= len(self._frames.popleft())
        self._wake.set()

    async def wait(self) -> None:
        """Wait until there is a frame, or `wake` is called."""
        if not self._frames:
            self._wake = Future()
            await self._wake

    def wake(self) -> None:
        """End a `wait` although there may be no frame."""
        self._wake.set()

    def take_all(self) -> bytes:
        """Remove all frames, to be written at once."""
        data = b"".join(self._frames)
        self._frames.clear()
        self.queued_bytes = 0
        return data
