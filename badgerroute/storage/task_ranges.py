"""The assignment of a job's tasks to shards, as ranges of task numbers that do not overlap."""

from typing import NamedTuple


class TaskRange(NamedTuple):
    """The tasks from `first` up to, but not including, `end` belong to `shard`. Stored as a list of three numbers."""

    shard: int
    first: int
    end: int


def assign_tasks(ranges: list[TaskRange], first: int, end: int, shard: int) -> list[TaskRange]:
    """Return the ranges with the tasks from `first` up to, but not including, `end` reassigned to `shard`.

    The result is sorted by first task, and adjacent ranges of the same shard are merged.
    """
    pieces = [TaskRange(shard, first, end)]
    for task_range in ranges:
        before = task_range._replace(end=min(task_range.end, first))
        after = task_range._replace(first=max(task_range.first, end))
        pieces += [piece for piece in (before, after) if piece.first < piece.end]
    pieces.sort(key=lambda piece: piece.first)
    return _joined(pieces)


def _joined(pieces: list[TaskRange]) -> list[TaskRange]:
    """Merge adjacent ranges of the same shard in a sorted list."""
    joined: list[TaskRange] = []
    for piece in pieces:
        if joined and joined[-1].shard == piece.shard and joined[-1].end == piece.first:
            joined[-1] = joined[-1]._replace(end=piece.end)
        else:
            joined.append(piece)
    return joined
