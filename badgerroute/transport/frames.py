"""Framing of the mesh protocol: each message on a connection is preceded by its length in four bytes, big-endian."""

from badgerroute.transport.net import Stream

MAX_FRAME_BYTES = 1 << 20  # maximum size of a payload, without the length prefix
LENGTH_BYTES = 4


class FrameReader:
    """Splits a stream into frames."""

    __slots__ = ("_stream", "_buffer")

    def __init__(self, stream: Stream) -> None:
        self._stream = stream
        self._buffer = b""

    async def next(self) -> bytes:
        """Return the payload of the next frame. Raise ConnectionError if the stream ends or the frame is too large."""
        while True:
            if len(self._buffer) >= LENGTH_BYTES:
                length = int.from_bytes(self._buffer[:LENGTH_BYTES], "big")
                if length > MAX_FRAME_BYTES:
                    raise ConnectionError("frame too large")
                end = LENGTH_BYTES + length
                if len(self._buffer) >= end:
                    payload, self._buffer = self._buffer[LENGTH_BYTES:end], self._buffer[end:]
                    return payload
            chunk = await self._stream.read()
            if not chunk:
                raise ConnectionError("connection closed by peer")
            self._buffer += chunk


def frame(payload: bytes) -> bytes:
    """Return a payload with its length prefix."""
    return len(payload).to_bytes(LENGTH_BYTES, "big") + payload
