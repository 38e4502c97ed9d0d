"""Who is to blame when tasks fail: machines that fail what runs elsewhere, or jobs that fail wherever they go."""

import logging
from datetime import timedelta

from badgerroute.scheduling.events import Events
from badgerroute.scheduling.model import ZERO, Job, Machine, Placement
from badgerroute.scheduling.shard_state import ShardState

log = logging.getLogger(__name__)
QUARANTINE_JOBS = 2  # so many different jobs failing on a machine make it suspect
QUARANTINE_FAILURES = 3
AVOID_AFTER_FAILURE = timedelta(seconds=5)
FAILURES_CLEARED_AFTER = timedelta(seconds=30)  # after so long a job may go back to a machine on which it failed
FAILING_AFTER_MACHINES = 3  # a job that fails on so many, and is done on none, is taken to be at fault itself
AVOID_AFTER_REFUSAL = timedelta(seconds=2)
BACKOFF_BASE = timedelta(seconds=2)
MAX_BACKOFF = timedelta(seconds=60)


class FailureTracker:
    """Judges the failures in one shard."""

    def __init__(self, shard: ShardState) -> None:
        self._shard = shard

    def record_failure(self, job: Job, placement: Placement, cause: str, events: Events, now: timedelta) -> None:
        """An attempt ended without being done."""
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
                # Time for the same jobs to fail elsewhere: two failing ones may happen to fail here first.
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
        """Whether the job's failures are its own: no task of it was ever done, and it fails wherever it goes.

        Many machines may be faulty at once, so it must have failed on more of them than it runs on.
        """
        if job.failing or job.done | job.done_here:
            return job.failing
        running = {placement.machine.name for placement in job.placed.values() if placement.running_since is not None}
        return len(job.failed_on) >= FAILING_AFTER_MACHINES and len(job.failed_on) > len(running - job.failed_on.keys())

    def _jobs_failing_only_on(self, machine: Machine) -> int:
        """How many jobs failed on this machine and nowhere else; those that fail elsewhere too may be failing jobs."""
        jobs = [self._shard.jobs.get(ref) for ref in machine.failed_jobs]
        return sum(job is not None and job.failed_on.keys() == {machine.name} for job in jobs)

    def clear_failures(self, job: Job, now: timedelta) -> None:
        """Else a job would wait for ever where only machines that it once failed on may run it."""
        if job.failed_on and not job.failing and now - job.last_failure_at >= FAILURES_CLEARED_AFTER:
            job.failed_on = {}

    def _mark_job_failing(self, job: Job, machine: Machine, now: timedelta) -> None:
        """The job itself fails: try it seldom, and count its failures against no machine, or good ones are drained."""
        if not job.failing:
            log.info(
                "event=job_marked_failing job=%s shard=%d machines=%d", job.ref, self._shard.number, len(job.failed_on)
            )
            job.failing = True
            for name in job.failed_on:
                other = self._shard.machines.get(name)
                if other is not None and other.failed_jobs.pop(job.ref, None) is not None and not other.failed_jobs:
                    other.avoid_until = ZERO
        if now >= job.blocked_until:  # the rest of a wave that was started before says nothing new
            job.probe_count += 1
            job.blocked_until = now + min(MAX_BACKOFF, BACKOFF_BASE * 2 ** min(10, job.probe_count))
        job.failed_on = {machine.name: 1}  # any other will do for the next probe

    def attribute_to_machines(self, job: Job, machine: Machine, events: Events) -> None:
        """A task of the job was done, so there is nothing wrong with it: its failures were their machines'."""
        failed_on, job.failed_on = job.failed_on, {}
        job.failing, job.probe_count, job.blocked_until = False, 0, ZERO
        for name, tasks in failed_on.items():
            other = self._shard.machines.get(name)
            if other is None or other is machine or job.ref not in other.failed_jobs:
                continue
            if tasks >= QUARANTINE_FAILURES or len(other.failed_jobs) >= QUARANTINE_JOBS:
                self._quarantine(other, events)

    def _quarantine(self, machine: Machine, events: Events) -> None:
        if not machine.draining:
            machine.draining = True
            events.quarantined.append(machine)
            log.info("event=machine_quarantined machine=%s jobs=%d", machine.name, len(machine.failed_jobs))
