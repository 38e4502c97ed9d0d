"""How soon machines that cache an image should have capacity for the tasks that wait for it."""

from collections.abc import Callable
from datetime import timedelta

from badgerroute.scheduling.model import ZERO, Job, Machine
from badgerroute.scheduling.shard import Shard

MAX_ENDS = 512  # ends of tasks that are kept for an image: those that wait beyond have to look elsewhere anyway
FOREVER = timedelta(days=1)
MACHINES_BETWEEN_CLOCKS = 32


class LocalWaits:
    """One shard's images. A pass over its machines is done in slices, within the time of a round."""

    def __init__(self, shard: Shard, run_time: Callable[[Job], timedelta], valid_for: timedelta) -> None:
        self._shard, self._run_time, self._valid_for = shard, run_time, valid_for
        self._ends: dict[
            str, list[timedelta]
        ] = {}  # image -> when tasks on machines that cache it should end, soonest first
        self._waiting: dict[str, int] = {}  # image -> tasks that wait for it
        self._made_at: timedelta | None = None
        self._left: list[Machine] | None = None  # machines that the pass under way has not seen
        self._found: dict[str, list[timedelta]] = {}

    def advance(self, now: timedelta, over: Callable[[], bool]) -> bool:
        """Go on with the pass until the time is over; whether it came to its end."""
        if self._left is None:
            self._left = list(self._shard.machines.values())
            self._found = {}
        seen = 0
        while self._left:
            self._collect_ends(self._left.pop(), now)
            seen += 1
            if seen % MACHINES_BETWEEN_CLOCKS == 0 and over():
                return False
        self._finish(now)
        return True

    def _collect_ends(self, machine: Machine, now: timedelta) -> None:
        if not machine.usable:
            return
        ends = [
            now + max(ZERO, self._run_time(placement.job) - (now - placement.running_since))
            for placement in machine.placements.values()
            if placement.running_since is not None and not placement.job.gang
        ]
        for image in machine.fetched_images:
            self._found.setdefault(image, []).extend(ends)

    def _finish(self, now: timedelta) -> None:
        self._left = None
        self._ends = {image: sorted(ends)[:MAX_ENDS] for image, ends in self._found.items()}
        self._waiting = {}
        for job in self._shard.jobs.values():
            if job.startable and not job.gang:
                self._waiting[job.spec.image] = self._waiting.get(job.spec.image, 0) + job.startable
        self._made_at = now

    def expected(self, job: Job, now: timedelta) -> timedelta | None:
        """How long the last task that waits for a job's image should wait to run near it; None: unknown."""
        if self._made_at is None or now - self._made_at > self._valid_for or job.gang:
            return None
        waiting = self._waiting.get(job.spec.image, 0)
        if not waiting:
            return None
        ends = self._ends.get(job.spec.image, ())
        if waiting > len(ends):
            return FOREVER
        return max(ZERO, ends[waiting - 1] - now)
