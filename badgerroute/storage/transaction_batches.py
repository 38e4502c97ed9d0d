"""Divides changes into transactions of a permitted size."""

from collections.abc import Callable, Iterable, Iterator
from typing import TypeVar

Item = TypeVar("Item")
# A transaction may have 64 KiB in all. The rest is for its keys and conditions.
MAX_TRANSACTION_VALUE_BYTES = 40_000


def transaction_batches(
    items: Iterable[Item], size_of: Callable[[Item], int], max_items: int, max_bytes: int = MAX_TRANSACTION_VALUE_BYTES
) -> Iterator[list[Item]]:
    """Yield the items in order, in batches of at most `max_items` items and `max_bytes` bytes of values.

    `size_of` returns the size of an item's value in bytes. An item above `max_bytes` is a batch of its own.
    """
    batch: list[Item] = []
    batch_bytes = 0
    for item in items:
        size = size_of(item)
        if batch and (len(batch) >= max_items or batch_bytes + size > max_bytes):
            yield batch
            batch, batch_bytes = [], 0
        batch.append(item)
        batch_bytes += size
    if batch:
        yield batch
