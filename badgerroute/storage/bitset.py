"""Sets of task numbers, represented as the bits of an integer: task 0 is the lowest bit."""

import base64

# Large bit sets are stored as pages, each with the bits of this many consecutive tasks. The number is so small that a
# page fits any limit that the store may have on the size of a value. Pages remain stored when the controllers are
# upgraded, so all versions must use the same number.
PAGE_TASKS = 4096


def pack(bits: int) -> str:
    """Encode a bit set as text: its bytes in little-endian order, in base64."""
    return base64.b64encode(bits.to_bytes((bits.bit_length() + 7) // 8, "little")).decode()


def unpack(text: str) -> int:
    """Decode a bit set that `pack` encoded."""
    return int.from_bytes(base64.b64decode(text), "little")


def page_of(bits: int, number: int) -> int:
    """Return the bits of page `number`, with the page's first task as the lowest bit.

    Page n holds the PAGE_TASKS tasks that start at task n * PAGE_TASKS.
    """
    return (bits >> (number * PAGE_TASKS)) & ((1 << PAGE_TASKS) - 1)


def trailing_ones(bits: int) -> int:
    """Return how many consecutive bits are set, starting with the lowest bit."""
    return (~bits & (bits + 1)).bit_length() - 1


def task_span(first: int, end: int) -> int:
    """Return the bit set of all tasks from `first` up to, but not including, `end`."""
    return ((1 << (end - first)) - 1) << first


def lowest_bit(bits: int) -> int:
    """Return the number of the lowest bit that is set, or -1 if none is."""
    return (bits & -bits).bit_length() - 1
