"""Sets of task numbers as bits of an integer: task 0 is the lowest bit."""

import base64

PAGE_TASKS = 4096  # tasks whose bits one page holds. Small whatever the store's limits, and the same for all versions


def pack(bits: int) -> str:
    """A bit set as text: its bytes, lowest first, in base64."""
    return base64.b64encode(bits.to_bytes((bits.bit_length() + 7) // 8, "little")).decode()


def unpack(text: str) -> int:
    """The bit set that `pack` wrote down as this text."""
    return int.from_bytes(base64.b64decode(text), "little")


def page_of(bits: int, number: int) -> int:
    """The bits of page `number`, its first task lowest. Page n is of the PAGE_TASKS tasks from n * PAGE_TASKS on."""
    return (bits >> (number * PAGE_TASKS)) & ((1 << PAGE_TASKS) - 1)


def trailing_ones(bits: int) -> int:
    """How many of the lowest bits are set without a gap."""
    return (~bits & (bits + 1)).bit_length() - 1


def span(first: int, end: int) -> int:
    """The bit set of all tasks from `first` to before `end`."""
    return ((1 << (end - first)) - 1) << first


def lowest(bits: int) -> int:
    """The number of the lowest bit that is set; -1 if none is."""
    return (bits & -bits).bit_length() - 1
