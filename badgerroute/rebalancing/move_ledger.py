"""A record of recent moves, by which the next ones are limited."""

from dataclasses import dataclass, field
from datetime import timedelta

from badgerroute.scheduling.model import Placement


@dataclass(slots=True)
class MoveLedger:
    """What was moved lately, so that no task is moved back and forth and no period sees too many moves."""

    period: timedelta
    rest: timedelta  # how long a moved task stays where it is, and away from where it was
    most: int  # moves in a period
    moved: dict[tuple[str, int], timedelta] = field(default_factory=dict)  # task, by Placement.key -> when
    _recent: list[timedelta] = field(default_factory=list)  # when each move of this period was made
    count: int = 0  # since the shard was taken over
    cost: float = 0.0  # processor-seconds that the moves were expected to cost

    def left(self, now: timedelta) -> int:
        """How many moves this period still allows."""
        self._recent = [at for at in self._recent if now - at < self.period]
        return self.most - len(self._recent)

    def resting(self, placement: Placement, now: timedelta) -> bool:
        """Whether a task was moved so lately that it must not be moved again."""
        moved_at = self.moved.get(placement.key)
        return moved_at is not None and now - moved_at < self.rest

    def record(self, placement: Placement, loss: float, now: timedelta) -> None:
        """A task is moved; its job does not go back to that machine before it has rested."""
        self.moved = {key: at for key, at in self.moved.items() if now - at < self.rest}
        self.moved[placement.key] = now
        self._recent.append(now)
        self.count += 1
        self.cost += loss
        job = placement.job
        job.no_return_until = {name: until for name, until in job.no_return_until.items() if until > now}
        job.no_return_until[placement.machine.name] = now + self.rest
