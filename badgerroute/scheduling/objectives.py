"""What the users expect, read from `params.objectives`, in the terms that decisions need."""

from datetime import timedelta

from badgerroute.scheduling.model import Job
from badgerroute.settings import Objective

PATIENT = timedelta(seconds=120)


class Objectives:
    def __init__(self, objectives: list[Objective]) -> None:
        self._wait: dict[str, timedelta] = {}
        self._guarantee = PATIENT
        for one in objectives:
            if one.within_s is None:
                continue
            within = timedelta(seconds=one.within_s)
            if one.kind == "wait" and one.job_class is not None:
                self._wait[one.job_class] = min(within, self._wait.get(one.job_class, within))
            elif one.kind == "guarantee":
                self._guarantee = min(self._guarantee, within)

    def start_within(self, job: Job) -> timedelta:
        """How soon the job's tasks are expected to start."""
        within = self._wait.get(job.spec.job_class, PATIENT)
        return min(within, self._guarantee) if job.guaranteed else within

    @property
    def tightest(self) -> timedelta:
        return min([self._guarantee, *self._wait.values()])
