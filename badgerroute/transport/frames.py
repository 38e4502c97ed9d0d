"""Mesh framing: a four-byte length and one msgpack message, over a kept connection."""

from badgerroute.transport.net import Stream

MAX_FRAME_BYTES = 1 << 20  # without the length before it
LENGTH_BYTES = 4


class FrameReader:
    """Splits a stream into frames."""

    __slots__ = ("_stream", "_data")

    def __init__(self, stream: Stream) -> None:
        self._stream = stream
        self._data = b""

    async def next(self) -> bytes:
        """The payload of the next frame; ConnectionError at the end of the stream, or if the frame is too large."""
        while True:
            if len(self._data) >= LENGTH_BYTES:
                length = int.from_bytes(self._data[:LENGTH_BYTES], "big")
                if length > MAX_FRAME_BYTES:
                    raise ConnectionError("frame too large")
                end = LENGTH_BYTES + length
                if len(self._data) >= end:
                    payload, self._data = self._data[LENGTH_BYTES:end], self._data[end:]
                    return payload
            chunk = await self._stream.read()
            if not chunk:
                raise ConnectionError("closed")
            self._data += chunk


def frame(payload: bytes) -> bytes:
    """A payload with its length before it."""
    return len(payload).to_bytes(LENGTH_BYTES, "big") + payload
