"""The queue of frames to be sent to one peer."""

from collections import deque

from badgerroute.transport.loop import Future

MAX_QUEUED_BYTES = 4 << 20  # per peer; enough for a burst of messages that concern thousands of machines


class SendQueue:
    """A bounded queue that drops its oldest frames when it is full, as happens while the peer is unreachable."""

    def __init__(self) -> None:
        self._frames: deque[bytes] = deque()
        self.queued_bytes = 0
        self._wake = Future()

    def __len__(self) -> int:
        return len(self._frames)

    def add(self, frame: bytes) -> None:
        """Queue a frame, and drop the oldest frames while the queue exceeds MAX_QUEUED_BYTES."""
        self._frames.append(frame)
        self.queued_bytes += len(frame)
        while self.queued_bytes > MAX_QUEUED_BYTES:
            self.queued_bytes -= len(self._frames.popleft())
        self._wake.set()

    async def wait(self) -> None:
        """Wait until a frame is queued or `wake` is called."""
        if not self._frames:
            self._wake = Future()
            await self._wake

    def wake(self) -> None:
        """End a `wait` even if no frame is queued."""
        self._wake.set()

    def take_all(self) -> bytes:
        """Remove all frames, and return them joined for a single write."""
        data = b"".join(self._frames)
        self._frames.clear()
        self.queued_bytes = 0
        return data
