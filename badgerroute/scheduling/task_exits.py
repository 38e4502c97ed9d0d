"""What follows from the end of an attempt of a task: done, to be restarted, or released to wait again."""

from datetime import timedelta

from badgerroute.scheduling.failures import FailureTracker
from badgerroute.scheduling.model import Job, Machine, Placement
from badgerroute.scheduling.shard_state import ShardState
from badgerroute.scheduling.task_attempt import TaskAttempt
from badgerroute.scheduling.task_list_message import TaskListMessage
from badgerroute.scheduling.task_phase import Phase

CAUSES_IMPLYING_IMAGE = frozenset({"done", "alone"})  # tasks that end for these causes had their image
MAX_GANG_WAIT_RESTARTS = 12  # a gang that still lacks an image on some machine after so many waits is placed anew


class TaskExits:
    """Takes in the ends of attempts that machines of one shard report."""

    def __init__(self, shard: ShardState, failures: FailureTracker) -> None:
        self._shard, self._failures = shard, failures

    def process_exit(self, message: TaskListMessage, job: Job, task: TaskAttempt, cause: str) -> None:
        """Take in the end of an attempt of one of the shard's jobs."""
        machine = message.machine
        placement = self._placement_of(machine, task)
        if placement is not None and self._may_precede_restart(message, placement):
            machine.last_task_list = None
            return
        if cause in CAUSES_IMPLYING_IMAGE and job.spec.image in machine.images:
            machine.fetched_images.add(job.spec.image)
        if cause == "done":
            self._process_completion(message, job, task.number, placement)
        elif placement is not None:
            self._process_incomplete(message, placement, cause)

    @staticmethod
    def _placement_of(machine: Machine, task: TaskAttempt) -> Placement | None:
        """The placement that ended; None if the end is that of an older attempt, which says nothing of this one."""
        placement = machine.placements.get((task.ref, task.number))
        if placement is None or placement.attempt != task.attempt or placement.phase is Phase.RESERVED:
            return None
        return placement

    @staticmethod
    def _may_precede_restart(message: TaskListMessage, placement: Placement) -> bool:
        """Whether the end may be that of the run before a restart, which has the same attempt number."""
        return (
            placement.phase is Phase.SENT
            and placement.gang_wait_restarts > 0
            and not message.confirms_absence(placement)
        )

    def _process_incomplete(self, message: TaskListMessage, placement: Placement, cause: str) -> None:
        """An attempt ended without being done: restart a gang task that only waited, release any other."""
        if cause == "alone" and self._may_wait_on(placement):
            # Its gang may still be fetching the image, which can take longer than a task waits for its gang. To stop
            # the gang would give those fetches up (docs/incidents.md, gangs begun anew).
            placement.phase, placement.sent = Phase.RESERVED, None
            placement.gang_wait_restarts += 1
            return
        message.events.capacity_freed = True
        self._failures.record_failure(placement.job, placement, cause, message.events, message.now)
        self._shard.release(placement, message.now)

    @staticmethod
    def _may_wait_on(placement: Placement) -> bool:
        """Whether a gang task that has waited too long may go on waiting: started again, with the same number."""
        job = placement.job
        return (
            job.gang
            and len(job.placed) == job.spec.tasks  # else there is no whole gang to wait for
            and placement.gang_wait_restarts < MAX_GANG_WAIT_RESTARTS
            and placement.machine.usable
            and placement.attempt == job.gang_attempt
            and not any(other.stopping or other.running_since is not None for other in job.placed.values())
        )

    def _process_completion(self, message: TaskListMessage, job: Job, index: int, placement: Placement | None) -> None:
        """A task was done; `placement` is None if the books do not have this attempt on the machine."""
        newly_done = self._record_done(message, job, index)
        if job.failed_on:
            self._failures.attribute_to_machines(job, message.machine, message.events)
        message.machine.failed_jobs.clear()
        if placement is not None:
            message.events.capacity_freed = True
            if message.timing_known and newly_done >> index & 1:
                self._learn_run_time(placement, message.now)
            self._shard.forget(placement)

    @staticmethod
    def _record_done(message: TaskListMessage, job: Job, index: int) -> int:
        """Mark a task as done, or a whole gang, which completes together; bit set of those that are newly done."""
        ended = (1 << job.spec.tasks) - 1 if job.spec.gang else 1 << index
        newly_done = ended & job.owned & ~(job.done | job.done_here)
        if newly_done:
            job.done_here |= newly_done
            message.events.progressed.add(job.ref)
        return newly_done

    def _learn_run_time(self, placement: Placement, now: timedelta) -> None:
        """Count a run towards the mean and the class's estimate, if both its ends were seen in time.

        A pause of this controller must not count as run time: jobs would be taken for late that have only begun.
        """
        if placement.running_since is None or not placement.timing_known:
            return
        job = placement.job
        run = now - placement.running_since
        job.total_run_time += run
        job.finished_runs += 1
        if not (job.spec.checkpoint_s and job.requeued):
            self._shard.estimates.learn(job.spec.job_class, timedelta(seconds=job.spec.estimate_s), run)
