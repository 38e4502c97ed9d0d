"""What the users expect, read from `params.objectives`, in the terms that decisions need."""

from datetime import timedelta

from badgerroute.protocol.users import Submission
from badgerroute.scheduling.model import ZERO, Job
from badgerroute.settings import Objective

PATIENT = timedelta(seconds=120)


class Objectives:
    """What users aim at, by job class: times to start and to be complete."""

    def __init__(self, objectives: list[Objective]) -> None:
        self._wait: dict[str, timedelta] = {}
        self._guarantee = PATIENT
        self._finish: dict[str, list[timedelta]] = {}
        self._times: dict[str, list[float]] = {}
        for objective in objectives:
            if objective.kind == "deadline" and objective.job_class is not None:
                self._times.setdefault(objective.job_class, []).append(objective.times or 1.0)
            if objective.within_s is None:
                continue
            within = timedelta(seconds=objective.within_s)
            if objective.kind == "wait" and objective.job_class is not None:
                self._wait[objective.job_class] = min(within, self._wait.get(objective.job_class, within))
            elif objective.kind == "finished" and objective.job_class is not None:
                self._finish.setdefault(objective.job_class, []).append(within)
            elif objective.kind == "guarantee":
                self._guarantee = min(self._guarantee, within)

    def start_within(self, job: Job) -> timedelta:
        """How soon the job's tasks are expected to start."""
        within = self._wait.get(job.spec.job_class, PATIENT)
        if job.start_by is not None:  # half of what is left, since stages that follow will need some of it too
            within = min(within, max(ZERO, (job.start_by - job.accepted) / 2))
        return min(within, self._guarantee) if job.guaranteed else within

    def due(self, spec: Submission, held_back: timedelta = ZERO) -> list[timedelta]:
        """The times after its acceptance, or its release, by which the job should be complete.

        Deadlines count from the acceptance however long the job was held back by others.
        """
        due = list(self._finish.get(spec.job_class, ()))
        if spec.deadline_s is not None:
            deadline = timedelta(seconds=spec.deadline_s)
            due += [deadline * times - held_back for times in self._times.get(spec.job_class, ())]
        return due

    def deadline(self, spec: Submission) -> timedelta | None:
        """The first deadline after its acceptance, its user's own."""
        if spec.deadline_s is None or spec.job_class not in self._times:
            return None
        return timedelta(seconds=spec.deadline_s) * min(self._times[spec.job_class])

    def missed(self, job: Job, now: timedelta, run: timedelta) -> int:
        """How many of the times by which the job should be complete can't be met any more."""
        late = job.start_by is not None and now > job.start_by
        return late + sum(now - job.accepted + run > due for due in self.due(job.spec, job.dependency_wait))

    @property
    def tightest(self) -> timedelta:
        """The shortest time in which any work is expected to start."""
        return min([self._guarantee, *self._wait.values()])
