"""Detects jobs that wait too long although machines have room for their tasks."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tests.standins.day import Day
    from tests.standins.workers import Worker

SECOND = timedelta(seconds=1)
MAX_WAIT = 90 * SECOND


class StarvationWatch:
    """Reports a job if none of its tasks runs for MAX_WAIT although the machines have room for one of them."""

    def __init__(self, day: Day) -> None:
        self.day = day
        self._waiting_since: dict[str, timedelta] = {}  # job -> since when it has waited although it could run
        self._enabled = False

    def begin(self) -> None:
        """Start the checks. Call it when all faults have been healed."""
        self._waiting_since.clear()
        self._enabled = True

    def check(self) -> None:
        """Check all accepted jobs. It is called twice a second."""
        if not self._enabled:
            return
        day, now = self.day, self.day.loop.now()
        running = {name.rpartition("/")[0] for name in day.rules.worker_by_task}
        for ref in day.accepted:
            ended = day.last_conditions.get(ref) in ("done", "withdrawn") or day.site.cancelled_at(ref)
            finished = f"{ref}/{day.site.jobs[ref]['heads'] - 1}" in day.site.finished
            if ended or finished or ref in running or ref in day.site.failing or not self._could_run(ref):
                self._waiting_since.pop(ref, None)
            elif now - self._waiting_since.setdefault(ref, now) > MAX_WAIT:
                day.rules.report_violation("left_waiting", ref)
                self._waiting_since[ref] = now

    def _could_run(self, ref: str) -> bool:
        """Return whether a task of the job (all tasks of a gang) fits on the machines and into the team's limit now."""
        job = self.day.site.jobs[ref]
        if not all(self.day.site.is_done(upstream) for upstream in job.get("follows") or ()):
            return False
        gang = job["gait"] == "group"
        needed = job["heads"] if gang else 1
        limit = self.day.site.limits[job["crew"]]
        if limit and self._used(job["crew"]) + needed * job["cpus"] > limit + 1e-6:
            return False
        fitting_by_zone: dict[str, int] = {}
        for worker in self.day.site.workers.values():
            fitting_by_zone[worker.zone] = fitting_by_zone.get(worker.zone, 0) + self._count_fitting_tasks(worker, job)
        if not gang:
            return any(fitting_by_zone.values())
        if job["spread"]:
            fitting_by_zone = {zone: min(fitting, (needed + 1) // 2) for zone, fitting in fitting_by_zone.items()}
        return (
            max(fitting_by_zone.values(), default=0) if job["together"] else sum(fitting_by_zone.values())
        ) >= needed

    def _used(self, team: str) -> float:
        """Return the CPUs that a team's tasks occupy."""
        jobs = self.day.site.jobs
        return sum(
            jobs[name.rpartition("/")[0]]["cpus"]
            for name in self.day.rules.worker_by_task
            if jobs[name.rpartition("/")[0]]["crew"] == team
        )

    def _count_fitting_tasks(self, worker: Worker, job: dict) -> int:
        """Return how many tasks of a job fit on a machine; 0 if the machine has a fault or is about to be preempted."""
        if (
            worker.unresponsive
            or worker.unreachable
            or worker.heartbeats_blocked
            or worker.fails_tasks
            or worker.notice_at is not None
        ):
            return 0
        if job["breeds"] is not None and worker.machine_type.name not in job["breeds"]:
            return 0
        if job["pasture"] not in (None, worker.zone) or (worker.spot and not job["strays"]):
            return 0
        cpus, memory = worker.machine_type.cpus, worker.machine_type.memory_gb
        for task in worker.tasks.values():
            if task.state != "exited":
                other = self.day.site.jobs[task.ref]
                cpus -= other["cpus"]
                memory -= other["ram_gb"]
        return max(0, int(min((cpus + 1e-6) / job["cpus"], (memory + 1e-6) / job["ram_gb"])))
