"""A record of a shard's recent moves of running tasks, which limits how many tasks are moved and how often."""

from dataclasses import dataclass, field
from datetime import timedelta

from badgerroute.scheduling.model import Placement


@dataclass(slots=True)
class MoveLedger:
    """The recent moves of a shard.

    It keeps a task from moving back and forth, and limits the number of moves within any `period`.
    """

    period: timedelta
    rest_time: timedelta  # after a move, the task must not move again and its job must not use the machine it left
    max_moves: int  # the maximum number of moves within any `period`
    last_moved_at: dict[tuple[str, int], timedelta] = field(default_factory=dict)  # by Placement.key
    _moves_in_period: list[timedelta] = field(default_factory=list)  # times of the moves within the last `period`
    total_moves: int = 0  # since this controller began to lead the shard
    total_cost: float = 0.0  # expected cost of all `total_moves` moves, in CPU-seconds

    def remaining_moves(self, now: timedelta) -> int:
        """Return how many more tasks may be moved now: `max_moves` less the moves within the last `period`."""
        self._moves_in_period = [moved_at for moved_at in self._moves_in_period if now - moved_at < self.period]
        return self.max_moves - len(self._moves_in_period)

    def is_resting(self, placement: Placement, now: timedelta) -> bool:
        """Return whether a task was moved so recently that it must not be moved again."""
        moved_at = self.last_moved_at.get(placement.key)
        return moved_at is not None and now - moved_at < self.rest_time

    def record(self, placement: Placement, loss: float, now: timedelta) -> None:
        """Record the move of a task and its expected cost in CPU-seconds (`loss`).

        During the rest time, no task of the same job may start on the machine that the moved task leaves.
        """
        self.last_moved_at = {
            key: moved_at for key, moved_at in self.last_moved_at.items() if now - moved_at < self.rest_time
        }
        self.last_moved_at[placement.key] = now
        self._moves_in_period.append(now)
        self.total_moves += 1
        self.total_cost += loss
        job = placement.job
        job.no_return_until = {name: until for name, until in job.no_return_until.items() if until > now}
        job.no_return_until[placement.machine.name] = now + self.rest_time
