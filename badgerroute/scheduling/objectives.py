"""What the users expect, read from `params.objectives`, in the terms that decisions need."""

from datetime import timedelta

from badgerroute.protocol.users import Submission
from badgerroute.scheduling.model import Job
from badgerroute.settings import Objective

PATIENT = timedelta(seconds=120)


class Objectives:
    def __init__(self, objectives: list[Objective]) -> None:
        self._wait: dict[str, timedelta] = {}
        self._guarantee = PATIENT
        self._finish: dict[str, list[timedelta]] = {}
        self._times: dict[str, list[float]] = {}
        for one in objectives:
            if one.kind == "deadline" and one.job_class is not None:
                self._times.setdefault(one.job_class, []).append(one.times or 1.0)
            if one.within_s is None:
                continue
            within = timedelta(seconds=one.within_s)
            if one.kind == "wait" and one.job_class is not None:
                self._wait[one.job_class] = min(within, self._wait.get(one.job_class, within))
            elif one.kind == "finished" and one.job_class is not None:
                self._finish.setdefault(one.job_class, []).append(within)
            elif one.kind == "guarantee":
                self._guarantee = min(self._guarantee, within)

    def start_within(self, job: Job) -> timedelta:
        """How soon the job's tasks are expected to start."""
        within = self._wait.get(job.spec.job_class, PATIENT)
        return min(within, self._guarantee) if job.guaranteed else within

    def due(self, spec: Submission) -> list[timedelta]:
        """The times after its acceptance by which the job should be complete."""
        due = list(self._finish.get(spec.job_class, ()))
        if spec.deadline_s is not None:
            deadline = timedelta(seconds=spec.deadline_s)
            due += [deadline * times for times in self._times.get(spec.job_class, ())]
        return due

    def missed(self, job: Job, now: timedelta, run: timedelta) -> int:
        """How many of the times by which the job should be complete can't be met any more."""
        return sum(now - job.accepted + run > one for one in self.due(job.spec))

    @property
    def tightest(self) -> timedelta:
        return min([self._guarantee, *self._wait.values()])
