"""Which shard owns which tasks of a job: ranges of task numbers that do not overlap."""

from typing import NamedTuple


class TaskRange(NamedTuple):
    """The tasks from `first` to before `end` belong to `shard`. Stored as a list of three numbers."""

    shard: int
    first: int
    end: int


def assign_tasks(ranges: list[TaskRange], first: int, end: int, shard: int) -> list[TaskRange]:
    """The ranges after the tasks from `first` to before `end` were assigned to `shard`.

    Sorted by their first task; neighbours that belong to the same shard are joined.
    """
    pieces = [TaskRange(shard, first, end)]
    for task_range in ranges:
        before = task_range._replace(end=min(task_range.end, first))
        after = task_range._replace(first=max(task_range.first, end))
        pieces += [piece for piece in (before, after) if piece.first < piece.end]
    pieces.sort(key=lambda piece: piece.first)
    return _joined(pieces)


def _joined(pieces: list[TaskRange]) -> list[TaskRange]:
    """Sorted ranges, with neighbours of the same shard made one."""
    joined: list[TaskRange] = []
    for piece in pieces:
        if joined and joined[-1].shard == piece.shard and joined[-1].end == piece.first:
            joined[-1] = joined[-1]._replace(end=piece.end)
        else:
            joined.append(piece)
    return joined
