"""Handles the exits of task attempts: the task is done, is restarted, or is released to wait again."""

from datetime import timedelta

from badgerroute.scheduling.failures import FailureTracker
from badgerroute.scheduling.model import Job, Machine, Placement
from badgerroute.scheduling.shard_state import ShardState
from badgerroute.scheduling.task_attempt import TaskAttempt
from badgerroute.scheduling.task_list_message import TaskListMessage
from badgerroute.scheduling.task_phase import Phase

CAUSES_IMPLYING_IMAGE = frozenset({"done", "alone"})  # a task exits with these causes only after its image was fetched
# A gang whose image is still not on all its machines after this many restarts of a waiting task is placed again.
MAX_GANG_WAIT_RESTARTS = 12


class TaskExits:
    """Processes the task exits that the machines of one shard report."""

    def __init__(self, shard: ShardState, failures: FailureTracker) -> None:
        self._shard, self._failures = shard, failures

    def process_exit(self, message: TaskListMessage, job: Job, task: TaskAttempt, cause: str) -> None:
        """Process the exit of an attempt of one of the shard's jobs."""
        machine = message.machine
        placement = self._placement_of(machine, task)
        if placement is not None and self._may_precede_restart(message, placement):
            return
        if cause in CAUSES_IMPLYING_IMAGE and job.spec.image in machine.images:
            machine.fetched_images.add(job.spec.image)
        if cause == "done":
            self._process_completion(message, job, task.number, placement)
        elif placement is not None:
            self._process_incomplete_exit(message, placement, cause)

    @staticmethod
    def _placement_of(machine: Machine, task: TaskAttempt) -> Placement | None:
        """Return the placement of the attempt that exited, or None if the attempt has none on the machine."""
        placement = machine.placements.get((task.ref, task.number))
        if placement is None or placement.attempt != task.attempt or placement.phase is Phase.RESERVED:
            return None
        return placement

    @staticmethod
    def _may_precede_restart(message: TaskListMessage, placement: Placement) -> bool:
        """Whether the exit may not be the last one of a restarted attempt: a restart keeps the attempt number.

        The exit may be from before the restart. And the answer with the restart also cleared the earlier exit, so a
        copy of it, if it is carried out yet, clears this exit too and starts the attempt once more.
        """
        if placement.gang_wait_restarts == 0:
            return False
        message.machine.forget_old_starts(message.now)
        if placement.task_attempt in message.machine.recent_starts:
            return True
        return placement.phase is Phase.SENT and not message.confirms_absence(placement)

    def _process_incomplete_exit(self, message: TaskListMessage, placement: Placement, cause: str) -> None:
        """Process an exit before completion: restart a task whose wait for its gang timed out, release others."""
        if cause == "alone" and self._may_continue_waiting(placement):
            # Other machines of the gang may still be fetching the image, which can take longer than a task waits for
            # its gang. Stopping the gang would cancel these fetches, so that they start over (docs/incidents.md).
            placement.phase, placement.sent = Phase.RESERVED, None
            placement.gang_wait_restarts += 1
            return
        message.events.capacity_freed = True
        self._failures.record_failure(placement.job, placement, cause, message.events, message.now)
        self._shard.release(placement, message.now)

    @staticmethod
    def _may_continue_waiting(placement: Placement) -> bool:
        """Whether a task whose wait for its gang timed out may be restarted, as the same attempt, to wait longer."""
        job = placement.job
        return (
            job.gang
            and len(job.placements) == job.spec.tasks  # waiting for an incomplete gang is useless
            and placement.gang_wait_restarts < MAX_GANG_WAIT_RESTARTS
            and placement.machine.usable
            and placement.attempt == job.gang_attempt
            and not any(other.stopping or other.running_since is not None for other in job.placements.values())
        )

    def _process_completion(self, message: TaskListMessage, job: Job, index: int, placement: Placement | None) -> None:
        """Process the completion of a task; `placement` is None if the shard has no placement for this attempt."""
        newly_done = self._record_done(message, job, index)
        if job.failed_on:
            self._failures.attribute_to_machines(job, message.machine, message.events)
        message.machine.failed_jobs.clear()
        if placement is not None:
            message.events.capacity_freed = True
            if message.timing_known and newly_done >> index & 1:
                self._learn_run_time(placement, message.now)
            self._shard.remove_placement(placement)

    @staticmethod
    def _record_done(message: TaskListMessage, job: Job, index: int) -> int:
        """Mark a task as done, or all tasks of a gang at once. Return the newly done tasks as a bit set."""
        ended = (1 << job.spec.tasks) - 1 if job.spec.gang else 1 << index
        newly_done = ended & job.owned & ~(job.done | job.done_here)
        if newly_done:
            job.done_here |= newly_done
            message.events.progressed.add(job.ref)
        return newly_done

    def _learn_run_time(self, placement: Placement, now: timedelta) -> None:
        """Add a run to the job's mean and to the estimate of its class, if the times of its start and end are known.

        A pause of this controller must not count as run time. Otherwise jobs that have just begun would seem late.
        """
        if placement.running_since is None or not placement.timing_known:
            return
        job = placement.job
        run = now - placement.running_since
        job.total_run_time += run
        job.finished_runs += 1
        if not (job.spec.checkpoint_s and job.requeued):
            self._shard.estimates.learn(job.spec.job_class, timedelta(seconds=job.spec.estimate_s), run)
