"""Admission control: decides whether a submitted job can ever run. Jobs that cannot are refused with status 422."""

from badgerroute.coordination.jobs.record_paging import RecordPager
from badgerroute.protocol.cloud import MachineType
from badgerroute.protocol.users import Submission
from badgerroute.scheduling.resources import Resources, capacity_of, need_of
from badgerroute.settings import Team


class JobRefusedError(Exception):
    """A job can never run as submitted. The text is the reason, which is sent to the user."""


class AdmissionControl:
    """Checks submissions against the machine types, the teams' limits and the limit on predecessors."""

    def __init__(self, teams: list[Team], catalog: dict[str, MachineType], pager: RecordPager) -> None:
        self._teams = {team.name: team for team in teams}
        self._catalog = catalog
        self._pager = pager

    def check(self, job: Submission) -> None:
        """Raise JobRefusedError if the job can never run. Makes no request to the key-value store."""
        if len(set(job.predecessors or ())) > self._pager.max_predecessors:
            # To users, a job "follows" its predecessors: the field that lists them is called `follows`.
            raise JobRefusedError(f"it follows more than {self._pager.max_predecessors} jobs")
        team = self._teams.get(job.team)
        if team is None:
            raise JobRefusedError(f"unknown team {job.team}")
        fitting_types = self._fitting_types(job)
        if not fitting_types:
            raise JobRefusedError("a task fits no allowed machine type")
        zones = {zone for machine_type in fitting_types for zone in machine_type.zones if job.zone in (None, zone)}
        if job.gang and job.spread and job.tasks > 1 and (job.together or len(zones) < 2):
            raise JobRefusedError("a gang that must be spread has one zone only")
        simultaneous_tasks = job.tasks if job.gang else 1
        required = Resources(simultaneous_tasks * job.cpus, simultaneous_tasks * job.accelerators)
        if not Resources(*team.limits).holds(required):
            raise JobRefusedError("more than the team's limit")

    def _fitting_types(self, job: Submission) -> list[MachineType]:
        """Return the machine types that the job allows and that are large enough for one of its tasks."""
        task_resources = need_of(job)
        return [
            machine_type
            for machine_type in self._catalog.values()
            if (job.types is None or machine_type.name in job.types)
            and (job.zone is None or job.zone in machine_type.zones)
            and capacity_of(machine_type).holds(task_resources)
        ]
