"""The users' service-level objectives, from `params.objectives`, in the form that scheduling decisions need."""

from datetime import timedelta

from badgerroute.protocol.users import Submission
from badgerroute.scheduling.model import ZERO, Job
from badgerroute.settings import Objective

DEFAULT_START_WITHIN = timedelta(seconds=120)  # for jobs whose class has no objective for waiting


class Objectives:
    """By job class, how soon jobs should start and complete."""

    def __init__(self, objectives: list[Objective]) -> None:
        self._start_within: dict[str, timedelta] = {}
        self._guaranteed_start_within = DEFAULT_START_WITHIN
        self._complete_within: dict[str, list[timedelta]] = {}
        self._deadline_multiples: dict[str, list[float]] = {}
        for objective in objectives:
            if objective.kind == "deadline" and objective.job_class is not None:
                self._deadline_multiples.setdefault(objective.job_class, []).append(objective.times or 1.0)
            if objective.within_s is None:
                continue
            within = timedelta(seconds=objective.within_s)
            if objective.kind == "wait" and objective.job_class is not None:
                self._start_within[objective.job_class] = min(
                    within, self._start_within.get(objective.job_class, within)
                )
            elif objective.kind == "finished" and objective.job_class is not None:
                self._complete_within.setdefault(objective.job_class, []).append(within)
            elif objective.kind == "guarantee":
                self._guaranteed_start_within = min(self._guaranteed_start_within, within)

    def start_within(self, job: Job) -> timedelta:
        """The longest time that the job's tasks are expected to wait before they start."""
        within = self._start_within.get(job.spec.job_class, DEFAULT_START_WITHIN)
        if job.start_by is not None:  # at most half of the time until `start_by`, since downstream jobs need some of it
            within = min(within, max(ZERO, (job.start_by - job.accepted) / 2))
        return min(within, self._guaranteed_start_within) if job.guaranteed else within

    def due(self, spec: Submission, dependency_wait: timedelta = ZERO) -> list[timedelta]:
        """The due times of a job, as durations since its release, or since its acceptance if it waited for no jobs.

        Deadlines count from the acceptance, however long the job waited for upstream jobs (`dependency_wait`).
        """
        due = list(self._complete_within.get(spec.job_class, ()))
        if spec.deadline_s is not None:
            deadline = timedelta(seconds=spec.deadline_s)
            due += [deadline * times - dependency_wait for times in self._deadline_multiples.get(spec.job_class, ())]
        return due

    def deadline(self, spec: Submission) -> timedelta | None:
        """The job's earliest deadline, as a duration since its acceptance, or None if it has none."""
        if spec.deadline_s is None or spec.job_class not in self._deadline_multiples:
            return None
        return timedelta(seconds=spec.deadline_s) * min(self._deadline_multiples[spec.job_class])

    def count_missed_due_times(self, job: Job, now: timedelta, run: timedelta) -> int:
        """How many due times a job will miss if it runs for `run` from now on.

        `start_by`, which is inherited from downstream jobs, counts as one of them.
        """
        late = job.start_by is not None and now > job.start_by
        return late + sum(now - job.accepted + run > due for due in self.due(job.spec, job.dependency_wait))

    @property
    def shortest_start_within(self) -> timedelta:
        """The shortest time within which the jobs of any class are expected to start."""
        return min([self._guaranteed_start_within, *self._start_within.values()])
