"""Distinguishes faulty machines, on which tasks of healthy jobs fail, from faulty jobs, which fail on every machine."""

import logging
from datetime import timedelta

from badgerroute.scheduling.events import Events
from badgerroute.scheduling.model import ZERO, Job, Machine, Placement
from badgerroute.scheduling.shard_state import ShardState

log = logging.getLogger(__name__)
QUARANTINE_JOBS = 2  # a machine on which at least this many jobs fail is quarantined
# A machine is also quarantined if a job that succeeds elsewhere fails on it at least this often.
QUARANTINE_FAILURES = 3
AVOID_AFTER_FAILURE = timedelta(seconds=5)  # how long no task is placed on a machine after a failure
# When a job has had no failure for this long, it may again use the machines on which it failed.
FAILURES_CLEARED_AFTER = timedelta(seconds=30)
FAILING_AFTER_MACHINES = 3  # a job that fails on at least this many machines, and succeeds on none, seems faulty
AVOID_AFTER_REFUSAL = timedelta(seconds=2)  # how long no task is placed on a machine that refused a start
# How long a job waits after an exit with the cause `no_such`. A failing job waits for this time, doubled with each
# failed try, but at most for MAX_BACKOFF.
BACKOFF_BASE = timedelta(seconds=2)
MAX_BACKOFF = timedelta(seconds=60)  # longest wait between two tries of a failing job


class FailureTracker:
    """Processes the task failures in one shard: quarantines machines and marks jobs as failing."""

    def __init__(self, shard: ShardState) -> None:
        self._shard = shard

    def record_failure(self, job: Job, placement: Placement, cause: str, events: Events, now: timedelta) -> None:
        """Process an attempt that exited before completion."""
        machine = placement.machine
        if cause == "error":
            job.failed_on[machine.name] = job.failed_on.get(machine.name, 0) + 1
            if self._seems_failing(job):
                self._mark_job_failing(job, machine, now)
            else:
                job.last_failure_at = now
                machine.avoid_until = now + AVOID_AFTER_FAILURE
                failed_again_later = now - machine.failed_jobs.setdefault(job.ref, now) >= FAILURES_CLEARED_AFTER
                job_succeeds_elsewhere = job.done | job.done_here and job.failed_on[machine.name] >= QUARANTINE_FAILURES
                # Give these jobs time to fail elsewhere too: two faulty jobs may happen to fail on this machine first.
                had_time_to_fail_elsewhere = now - min(machine.failed_jobs.values()) >= AVOID_AFTER_FAILURE
                if (
                    failed_again_later
                    or job_succeeds_elsewhere
                    or (had_time_to_fail_elsewhere and self._jobs_failing_only_on(machine) >= QUARANTINE_JOBS)
                ):
                    self._quarantine(machine, events)
        elif cause in ("no_room", "in_use"):
            machine.avoid_until = now + AVOID_AFTER_REFUSAL
        elif cause == "no_such":
            job.blocked_until = now + BACKOFF_BASE

    @staticmethod
    def _seems_failing(job: Job) -> bool:
        """Whether the job itself seems faulty: no task of it was ever done, and it failed on several machines.

        These machines may be faulty instead of the job. The job therefore seems faulty only if it failed on more
        machines than now run it without a failure.
        """
        if job.failing or job.done | job.done_here:
            return job.failing
        running = {
            placement.machine.name for placement in job.placements.values() if placement.running_since is not None
        }
        return len(job.failed_on) >= FAILING_AFTER_MACHINES and len(job.failed_on) > len(running - job.failed_on.keys())

    def _jobs_failing_only_on(self, machine: Machine) -> int:
        """How many jobs failed on this machine only. Jobs that failed elsewhere too may be faulty themselves."""
        jobs = [self._shard.jobs.get(ref) for ref in machine.failed_jobs]
        return sum(job is not None and job.failed_on.keys() == {machine.name} for job in jobs)

    def clear_failures(self, job: Job, now: timedelta) -> None:
        """Forget the old failures of a job, so that it may use the machines again on which it failed.

        If only these machines may run it, it would otherwise wait for ever.
        """
        if job.failed_on and not job.failing and now - job.last_failure_at >= FAILURES_CLEARED_AFTER:
            job.failed_on = {}

    def _mark_job_failing(self, job: Job, machine: Machine, now: timedelta) -> None:
        """Mark a job as failing, so that it is retried rarely and its failures do not quarantine healthy machines."""
        if not job.failing:
            log.info(
                "event=job_marked_failing job=%s shard=%d machines=%d", job.ref, self._shard.number, len(job.failed_on)
            )
            job.failing = True
            for name in job.failed_on:
                other = self._shard.machines.get(name)
                if other is not None and other.failed_jobs.pop(job.ref, None) is not None and not other.failed_jobs:
                    other.avoid_until = ZERO
        if now >= job.blocked_until:  # failures of tasks that were started together count once
            job.probe_count += 1
            job.blocked_until = now + min(MAX_BACKOFF, BACKOFF_BASE * 2 ** min(10, job.probe_count))
        job.failed_on = {machine.name: 1}  # the next try may use any machine but this one

    def attribute_to_machines(self, job: Job, machine: Machine, events: Events) -> None:
        """Count a job's earlier failures against the machines: a task was done on `machine`, so the job is healthy."""
        failed_on, job.failed_on = job.failed_on, {}
        job.failing, job.probe_count, job.blocked_until = False, 0, ZERO
        for name, tasks in failed_on.items():
            other = self._shard.machines.get(name)
            if other is None or other is machine or job.ref not in other.failed_jobs:
                continue
            if tasks >= QUARANTINE_FAILURES or len(other.failed_jobs) >= QUARANTINE_JOBS:
                self._quarantine(other, events)

    def _quarantine(self, machine: Machine, events: Events) -> None:
        if not machine.unschedulable:
            machine.unschedulable = True
            events.quarantined.append(machine)
            log.info("event=machine_quarantined machine=%s jobs=%d", machine.name, len(machine.failed_jobs))
