"""The history of all task runs on the machines, and the checks of this history at the end of a simulated run."""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass, field
from datetime import timedelta
from statistics import median


@dataclass
class Run:
    """One run of a task on a machine, from its start until the machine no longer runs it."""

    task: str
    machine: str
    attempt: int
    began: timedelta
    ended: timedelta | None = None
    cause: str | None = None
    kept: bool = False  # the task saved a checkpoint before it was stopped
    cleared: bool = False  # after the result was stored, a controller told the machine to discard it
    lost_with_lease: bool = False  # an uncleared result was discarded and might not have reached any controller


@dataclass
class History:
    """The runs of each task in the order of their starts, and the final answers that users got about their jobs."""

    runs: dict[str, list[Run]] = field(default_factory=dict)
    submitted: dict[str, timedelta] = field(default_factory=dict)  # job -> time of the first submission
    answers: dict[str, list[str]] = field(default_factory=dict)  # job -> the final conditions that its user was told
    done_at: dict[str, timedelta] = field(default_factory=dict)  # job -> when a user was first told that it is done

    def started(self, task: str, machine: str, attempt: int, now: timedelta) -> None:
        self.runs.setdefault(task, []).append(Run(task, machine, attempt, now))

    def ended(self, task: str, machine: str, now: timedelta, cause: str | None, kept: bool) -> None:
        for run in reversed(self.runs.get(task, [])):
            if run.machine == machine and run.ended is None:
                run.ended, run.cause, run.kept = now, cause, kept
                return

    def machine_reset(self, machine: str) -> None:
        """Record that a machine has discarded all its tasks. Uncleared results might not have reached a controller."""
        for runs in self.runs.values():
            for run in runs:
                run.lost_with_lease = run.lost_with_lease or (run.machine == machine and not run.cleared)

    def cleared(self, task: str, machine: str) -> None:
        """Record that a controller told a machine to discard a task's result, which is by then stored durably."""
        for run in self.runs.get(task, []):
            run.cleared = run.cleared or (run.machine == machine and run.ended is not None)

    def answered(self, ref: str, condition: str, now: timedelta) -> None:
        """Record an answer to a user. Only final conditions are kept."""
        if condition in ("done", "withdrawn"):
            self.answers.setdefault(ref, []).append(condition)
        if condition == "done":  # a cancelled job is left out: start commands in flight might still take effect
            self.done_at.setdefault(ref, now)

    def problems(self, expected: dict[str, int], gangs: Container[str] = ()) -> list[str]:
        """Return the violations. `expected`: the number of tasks of each accepted job that was not cancelled.

        A completed task is allowed to start again if its machine lost the result: workers keep the outputs of tasks, so
        the second run ends immediately. One completed task of a gang is enough, because the tasks of a gang complete
        together.
        """
        violations = []
        for task, runs in self.runs.items():
            for before, after in zip(runs, runs[1:], strict=False):
                if before.ended is None or before.ended > after.began:
                    violations.append(f"doubled: {task} on {before.machine} and {after.machine}")
            done = [run for run in runs if run.cause == "done"]
            if sum(not run.lost_with_lease for run in done) > 1:
                violations.append(f"counted twice: {task} on {[run.machine for run in done]}")
        for ref, tasks in expected.items():
            missing = [index for index in range(tasks) if not self._done(f"{ref}/{index}")]
            if missing and (ref not in gangs or len(missing) == tasks):
                violations.append(f"lost: {ref} lacks {missing[:3]}")
            finals = set(self.answers.get(ref, []))
            if finals != {"done"}:
                violations.append(f"answers: {ref} got {sorted(finals)}")
        return violations + self._starts_after_completion()

    def _starts_after_completion(self) -> list[str]:
        """Return the starts of tasks that came after a user had been told that the job is done."""
        return [
            f"started after its end: {run.task} on {run.machine}"
            for task, runs in self.runs.items()
            for run in runs
            if (done_at := self.done_at.get(task.rpartition("/")[0])) is not None and run.began > done_at
        ]

    def _done(self, task: str) -> bool:
        return any(run.cause == "done" for run in self.runs.get(task, []))

    def stops(self) -> list[Run]:
        """Return the runs that a controller stopped."""
        return [run for runs in self.runs.values() for run in runs if run.cause == "stopped"]

    def waits(self, teams: dict[str, str]) -> dict[str, list[float]]:
        """Return, for each team, the waits of all tasks: seconds from the job's submission to the task's first start.

        `teams` maps jobs to teams; other jobs are left out.
        """
        waits: dict[str, list[float]] = {}
        for task, runs in self.runs.items():
            ref = task.rpartition("/")[0]
            if ref in self.submitted and ref in teams:
                waits.setdefault(teams[ref], []).append((runs[0].began - self.submitted[ref]).total_seconds())
        return waits


def wait_ratios(waits: dict[str, list[float]]) -> dict[str, float]:
    """Return each team's median wait divided by the median wait of all tasks, which counts as at least 0.5 s."""
    fleet = max(0.5, median(wait for team in waits.values() for wait in team))
    return {team: median(team_waits) / fleet for team, team_waits in waits.items()}
