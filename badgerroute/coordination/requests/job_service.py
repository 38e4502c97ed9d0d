"""What users ask for: submissions, polls, cancellations. Everything that can't be decided is answered at once."""

import logging
from collections.abc import Callable

from badgerroute.coordination.jobs.job_lookup import (
    ActiveJob,
    FinishedJob,
    JobCondition,
    UnknownJob,
    UnknownJobError,
)
from badgerroute.coordination.jobs.job_reader import JobReader
from badgerroute.coordination.jobs.job_store import JobStore
from badgerroute.coordination.jobs.job_writer import JobWriter
from badgerroute.coordination.jobs.record_paging import RecordPager, RecordTooLargeError
from badgerroute.coordination.requests.job_splitting import split
from badgerroute.coordination.requests.responses import answer, error, retry_later
from badgerroute.protocol.cloud import MachineType
from badgerroute.protocol.common import MalformedError
from badgerroute.protocol.mesh import ShardSummary
from badgerroute.protocol.users import REF, Submission, parse_submission
from badgerroute.scheduling.model import Resources, capacity_of, need_of
from badgerroute.settings import Params, Team
from badgerroute.storage.budget import Urgency
from badgerroute.storage.key_value_client import LeaseExpiredError, OutcomeUnknownError, StoreUnavailableError
from badgerroute.storage.replica import Replica
from badgerroute.transport.http import Request, Response

log = logging.getLogger(__name__)


class JobService:
    """`running` tells how many tasks of a job run, for display."""

    def __init__(
        self,
        params: Params,
        job_store: JobStore,
        job_reader: JobReader,
        job_writer: JobWriter,
        pager: RecordPager,
        replica: Replica,
        catalog: dict[str, MachineType],
        summaries: Callable[[], list[ShardSummary]],
        running: Callable[[str], int],
    ) -> None:
        self._size, self._replica, self._catalog = params.size, replica, catalog
        self._job_store, self._job_reader, self._job_writer = job_store, job_reader, job_writer
        self._summaries, self._running = summaries, running
        self._pager = pager
        self._teams: dict[str, Team] = {team.name: team for team in params.teams}

    async def submit(self, request: Request) -> Response:
        """Answer a submission, new or repeated."""
        try:
            job = parse_submission(request.body)
        except MalformedError as malformed:
            log.info("event=submission_rejected error=%s", malformed)
            return error(400, str(malformed))
        if not self._replica.ready.done:
            return retry_later("starting")
        try:
            known = await self._known(job)
            if known is not None:
                return known
            if not self._catalog:
                return retry_later("machine types are not known yet")
            problem = self._impossible(job) or await self._unaccepted(job)
            if problem is not None:
                return await self._refused(job, problem)
            return await self._accept(job)
        except (StoreUnavailableError, OutcomeUnknownError, LeaseExpiredError) as trouble:
            log.info("event=submission_deferred job=%s error=%s", job.ref, trouble)
            return retry_later("the state service can't be reached")

    async def _accept(self, job: Submission) -> Response:
        try:
            accepted = await self._job_writer.accept(job, split(job, self._summaries(), self._size))
        except RecordTooLargeError as too_large:
            return await self._refused(job, str(too_large))
        if accepted:
            # One that names a job which is cancelled by now is accepted all the same, and cancelled at once.
            condition = JobCondition.QUEUED
            if job.predecessors:
                condition = await self._job_reader.condition_after_acceptance(job.ref)
            return answer(201, {"ref": job.ref, "condition": condition})
        lookup = await self._job_reader.look_up(job.ref, Urgency.SUBMIT)
        if isinstance(lookup, UnknownJob):
            return retry_later("undecided")
        return self._state_answer(200, job.ref, lookup)

    async def _refused(self, job: Submission, problem: str) -> Response:
        """Whoever accepted it may have known better: only a job that nobody knows can be refused."""
        lookup = await self._job_reader.look_up(job.ref, Urgency.SUBMIT)
        if not isinstance(lookup, UnknownJob):
            return self._state_answer(200, job.ref, lookup)
        log.info("event=submission_refused job=%s team=%s error=%s", job.ref, job.team, problem)
        return error(422, problem)

    async def _known(self, job: Submission) -> Response | None:
        if not self._job_store.is_accepted(job.ref):
            return None
        lookup = await self._job_reader.look_up(job.ref, Urgency.SUBMIT)
        return None if isinstance(lookup, UnknownJob) else self._state_answer(200, job.ref, lookup)

    def _state_answer(self, status: int, ref: str, lookup: ActiveJob | FinishedJob) -> Response:
        return answer(status, self._job_reader.view(ref, lookup, self._running(ref)))

    async def _unaccepted(self, job: Submission) -> str | None:
        """Users name only jobs that were accepted, by any node, in whatever state they are by now."""
        missing = await self._job_reader.find_unknown(job.predecessors or (), Urgency.SUBMIT)
        return f"follows {', '.join(missing[:3])}, which nobody accepted" if missing else None

    def _impossible(self, job: Submission) -> str | None:
        """Why a job can never run, if so."""
        if len(set(job.predecessors or ())) > self._pager.max_predecessors:
            return f"it follows more than {self._pager.max_predecessors} jobs"
        team = self._teams.get(job.team)
        if team is None:
            return f"unknown team {job.team}"
        need = need_of(job)
        fitting = [
            kind
            for kind in self._catalog.values()
            if (job.types is None or kind.name in job.types)
            and (job.zone is None or job.zone in kind.zones)
            and capacity_of(kind).holds(need)
        ]
        if not fitting:
            return "a task fits no allowed machine type"
        zones = {zone for kind in fitting for zone in kind.zones if job.zone in (None, zone)}
        if job.gang and job.spread and job.tasks > 1 and (job.together or len(zones) < 2):
            return "a gang that must be spread has one zone only"
        tasks = job.tasks if job.gang else 1
        if not Resources(*team.limits).holds(Resources(tasks * job.cpus, tasks * job.accelerators)):
            return "more than the team's limit"
        return None

    async def poll(self, ref: str) -> Response:
        """Answer a question about a job."""
        if not REF.match(ref):
            return error(404, "no such job")
        if not self._replica.ready.done:
            return retry_later("starting")
        try:
            lookup = await self._job_reader.look_up_replicated(ref)
        except (StoreUnavailableError, OutcomeUnknownError) as trouble:
            log.debug("event=poll_deferred job=%s error=%s", ref, trouble)
            return retry_later("the state service can't be reached")
        if isinstance(lookup, UnknownJob):
            return error(404, "no such job")
        return self._state_answer(200, ref, lookup)

    def poll_from_memory(self, ref: str) -> Response | None:
        """Answer a question that needs no reading: a final state that is known here. None: it does need that."""
        if not REF.match(ref):
            return error(404, "no such job")
        final = self._job_store.final(ref)
        return None if final is None else self._state_answer(200, ref, FinishedJob(final))

    async def cancel(self, ref: str) -> Response:
        """Answer a cancellation."""
        if not REF.match(ref):
            return error(404, "no such job")
        try:
            state = await self._job_writer.cancel(ref)
        except UnknownJobError:
            return error(404, "no such job")
        except (StoreUnavailableError, OutcomeUnknownError, LeaseExpiredError) as trouble:
            log.info("event=cancellation_deferred job=%s error=%s", ref, trouble)
            return retry_later("the state service can't be reached")
        return answer(200, {"ref": ref, "condition": state})
