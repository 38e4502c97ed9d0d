"""What machines really did with each task, and a checker that reads it afterwards."""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass, field
from datetime import timedelta
from statistics import median


@dataclass
class Run:
    """One start of a task, until it was off the machine."""

    task: str
    machine: str
    attempt: int
    began: timedelta
    ended: timedelta | None = None
    cause: str | None = None
    kept: bool = False
    cleared: bool = False
    lost_with_lease: bool = (
        False  # its end was forgotten with its machine's lease, maybe before anybody had heard of it
    )


@dataclass
class History:
    """Runs by task, in the order of their starts."""

    runs: dict[str, list[Run]] = field(default_factory=dict)
    submitted: dict[str, timedelta] = field(default_factory=dict)  # job -> first attempt to submit
    answers: dict[str, list[str]] = field(default_factory=dict)  # job -> final answers that its user got
    done_at: dict[str, timedelta] = field(default_factory=dict)  # job -> when its user was first told that it is done

    def started(self, task: str, machine: str, attempt: int, now: timedelta) -> None:
        self.runs.setdefault(task, []).append(Run(task, machine, attempt, now))

    def ended(self, task: str, machine: str, now: timedelta, cause: str | None, kept: bool) -> None:
        for run in reversed(self.runs.get(task, [])):
            if run.machine == machine and run.ended is None:
                run.ended, run.cause, run.kept = now, cause, kept
                return

    def machine_reset(self, machine: str) -> None:
        """A machine forgets all its tasks: what had ended there and was not cleared may have been heard by nobody."""
        for runs in self.runs.values():
            for run in runs:
                run.lost_with_lease = run.lost_with_lease or (run.machine == machine and not run.cleared)

    def cleared(self, task: str, machine: str) -> None:
        """A controller had a machine forget an end, since that was durable."""
        for run in self.runs.get(task, []):
            run.cleared = run.cleared or (run.machine == machine and run.ended is not None)

    def answered(self, ref: str, condition: str, now: timedelta) -> None:
        if condition in ("done", "withdrawn"):
            self.answers.setdefault(ref, []).append(condition)
        if condition == "done":  # starts on their way when a job is cancelled are halted instead
            self.done_at.setdefault(ref, now)

    def problems(self, expected: dict[str, int], gangs: Container[str] = ()) -> list[str]:
        """What is wrong; `expected` are the accepted jobs that nobody cancelled, with their tasks.

        A task may be started again after it was done if its machine forgot that: the workers keep its result, and the
        second start only tells it. Of a gang one done task is enough: they complete together.
        """
        found = []
        for task, runs in self.runs.items():
            for before, after in zip(runs, runs[1:], strict=False):
                if before.ended is None or before.ended > after.began:
                    found.append(f"doubled: {task} on {before.machine} and {after.machine}")
            done = [run for run in runs if run.cause == "done"]
            if sum(not run.lost_with_lease for run in done) > 1:
                found.append(f"counted twice: {task} on {[run.machine for run in done]}")
        for ref, tasks in expected.items():
            missing = [index for index in range(tasks) if not self._done(f"{ref}/{index}")]
            if missing and (ref not in gangs or len(missing) == tasks):
                found.append(f"lost: {ref} lacks {missing[:3]}")
            finals = set(self.answers.get(ref, []))
            if finals != {"done"}:
                found.append(f"answers: {ref} got {sorted(finals)}")
        return found + self._starts_after_completion()

    def _starts_after_completion(self) -> list[str]:
        """Starts of tasks whose user had been told that the job is done."""
        return [
            f"started after its end: {run.task} on {run.machine}"
            for task, runs in self.runs.items()
            for run in runs
            if (told := self.done_at.get(task.rpartition("/")[0])) is not None and run.began > told
        ]

    def _done(self, task: str) -> bool:
        return any(run.cause == "done" for run in self.runs.get(task, []))

    def stops(self) -> list[Run]:
        """Runs that ended by command."""
        return [run for runs in self.runs.values() for run in runs if run.cause == "stopped"]

    def waits(self, teams: dict[str, str]) -> dict[str, list[float]]:
        """Seconds from the submission of each task's job to its first start, by team (job -> team)."""
        found: dict[str, list[float]] = {}
        for task, runs in self.runs.items():
            ref = task.rpartition("/")[0]
            if ref in self.submitted and ref in teams:
                found.setdefault(teams[ref], []).append((runs[0].began - self.submitted[ref]).total_seconds())
        return found


def wait_ratios(waits: dict[str, list[float]]) -> dict[str, float]:
    """Each team's median wait, in medians of the whole fleet."""
    fleet = max(0.5, median(wait for team in waits.values() for wait in team))
    return {team: median(own) / fleet for team, own in waits.items()}
