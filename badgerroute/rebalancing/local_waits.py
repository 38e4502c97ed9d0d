"""Estimates how soon machines that cache an image will have free capacity for the waiting tasks that use it."""

from collections.abc import Callable
from datetime import timedelta

from badgerroute.scheduling.model import ZERO, Job, Machine
from badgerroute.scheduling.shard import Shard

MAX_ENDS_PER_IMAGE = 512  # further ends are ignored: tasks that would wait for them start on other machines anyway
FOREVER = timedelta(days=1)  # the estimate if more tasks wait for an image than run on the machines that cache it
MACHINES_PER_TIME_CHECK = 32  # number of machines visited between two checks of the time limit


class LocalWaits:
    """Estimates how long the waiting tasks of one shard wait for a machine that caches their image, for each image.

    The estimates are computed in passes over the shard's machines. A pass that exceeds the time limit of one scheduling
    round continues in the next rounds. The estimates of a pass are used for at most `valid_for` after its completion.
    """

    def __init__(self, shard: Shard, run_time: Callable[[Job], timedelta], valid_for: timedelta) -> None:
        self._shard, self._run_time, self._valid_for = shard, run_time, valid_for
        # image -> when tasks on machines that cache it are expected to end, soonest first
        self._task_ends: dict[str, list[timedelta]] = {}
        self._waiting_tasks: dict[str, int] = {}  # image -> number of waiting tasks that use it
        self._completed_at: timedelta | None = None  # when the last pass was completed
        self._unvisited: list[Machine] | None = None  # machines that the current pass has not visited yet
        # like `_task_ends`, but unsorted: the ends that the current pass has collected so far
        self._ends_so_far: dict[str, list[timedelta]] = {}

    def advance(self, now: timedelta, out_of_time: Callable[[], bool]) -> bool:
        """Continue the current pass until it is complete or `out_of_time` returns true. Return whether it completed."""
        if self._unvisited is None:
            self._unvisited = list(self._shard.machines.values())
            self._ends_so_far = {}
        visited = 0
        while self._unvisited:
            self._collect_ends(self._unvisited.pop(), now)
            visited += 1
            if visited % MACHINES_PER_TIME_CHECK == 0 and out_of_time():
                return False
        self._complete_pass(now)
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
            self._ends_so_far.setdefault(image, []).extend(ends)

    def _complete_pass(self, now: timedelta) -> None:
        self._unvisited = None
        self._task_ends = {image: sorted(ends)[:MAX_ENDS_PER_IMAGE] for image, ends in self._ends_so_far.items()}
        self._waiting_tasks = {}
        for job in self._shard.jobs.values():
            if job.startable and not job.gang:
                self._waiting_tasks[job.spec.image] = self._waiting_tasks.get(job.spec.image, 0) + job.startable
        self._completed_at = now

    def expected_wait(self, job: Job, now: timedelta) -> timedelta | None:
        """Return how long the waiting tasks that use a job's image are expected to wait for machines that cache it.

        The result is the wait of the last of these tasks. It is None if no such task waits, if the job is a gang, or if
        no pass was completed within the last `valid_for`.
        """
        if self._completed_at is None or now - self._completed_at > self._valid_for or job.gang:
            return None
        waiting = self._waiting_tasks.get(job.spec.image, 0)
        if not waiting:
            return None
        ends = self._task_ends.get(job.spec.image, ())
        if waiting > len(ends):
            return FOREVER
        return max(ZERO, ends[waiting - 1] - now)
