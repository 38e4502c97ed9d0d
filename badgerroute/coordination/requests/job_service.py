"""Answers users' submissions, polls and cancellations.

A request that cannot be decided at the moment, for example in an outage of the key-value store, gets status 503 without
delay.
"""

import logging
from collections.abc import Callable

from badgerroute.coordination.jobs.job_lookup import ActiveJob, FinishedJob, JobCondition, UnknownJob, UnknownJobError
from badgerroute.coordination.jobs.job_reader import JobReader
from badgerroute.coordination.jobs.job_store import JobStore
from badgerroute.coordination.jobs.job_writer import JobWriter
from badgerroute.coordination.jobs.record_paging import RecordTooLargeError
from badgerroute.coordination.requests.admission import AdmissionControl, JobRefusedError
from badgerroute.coordination.requests.job_splitting import split
from badgerroute.coordination.requests.responses import (
    UNDECIDED_ERRORS,
    answer,
    error,
    no_such_job,
    retry_later,
    store_unreachable,
)
from badgerroute.protocol.cloud import MachineType
from badgerroute.protocol.common import MalformedError
from badgerroute.protocol.mesh import ShardSummary
from badgerroute.protocol.users import JOB_ID_PATTERN, Submission, parse_submission
from badgerroute.storage.rate_limiter import Urgency
from badgerroute.storage.replica import Replica
from badgerroute.transport.http import Request, Response

log = logging.getLogger(__name__)


class JobService:
    """Answers users' requests from the stored jobs.

    `summaries` returns the known summaries of all shards. `running` returns the number of running tasks of a job, which
    is shown to users and used for nothing else.
    """

    def __init__(
        self,
        *,
        shard_count: int,
        job_store: JobStore,
        job_reader: JobReader,
        job_writer: JobWriter,
        admission: AdmissionControl,
        replica: Replica,
        catalog: dict[str, MachineType],
        summaries: Callable[[], list[ShardSummary]],
        running: Callable[[str], int],
    ) -> None:
        self._shard_count, self._replica, self._catalog = shard_count, replica, catalog
        self._job_store, self._job_reader, self._job_writer = job_store, job_reader, job_writer
        self._admission = admission
        self._summaries, self._running = summaries, running

    # -- submissions

    async def submit(self, request: Request) -> Response:
        """Answer a new or repeated submission."""
        try:
            job = parse_submission(request.body)
        except MalformedError as malformed:
            log.info("event=submission_rejected error=%s", malformed)
            return error(400, str(malformed))
        if not self._replica.ready.done:
            return retry_later("starting")
        try:
            return await self._submit(job)
        except JobRefusedError as refused:
            return await self._refuse(job, str(refused))
        except UNDECIDED_ERRORS as failure:
            log.info("event=submission_deferred job=%s error=%s", job.ref, failure)
            return store_unreachable()

    async def _submit(self, job: Submission) -> Response:
        repeated = await self._answer_if_repeated(job)
        if repeated is not None:
            return repeated
        if not self._catalog:
            return retry_later("machine types are not known yet")
        self._admission.check(job)
        await self._check_upstream_jobs(job)
        return await self._accept(job)

    async def _answer_if_repeated(self, job: Submission) -> Response | None:
        """Return the state of a job that was accepted before, or None if this controller does not know the job."""
        if not self._job_store.is_accepted(job.ref):
            return None
        lookup = await self._job_reader.look_up(job.ref, Urgency.SUBMIT)
        return None if isinstance(lookup, UnknownJob) else self._state_response(200, job.ref, lookup)

    async def _check_upstream_jobs(self, job: Submission) -> None:
        """Raise JobRefusedError if the job names predecessors that no controller has accepted.

        Their states do not matter: a predecessor may already be done or cancelled.
        """
        missing = await self._job_reader.find_unknown(job.predecessors or (), Urgency.SUBMIT)
        if missing:
            raise JobRefusedError(f"follows {', '.join(missing[:3])}, which nobody accepted")

    async def _accept(self, job: Submission) -> Response:
        ranges = split(job, self._summaries(), self._shard_count)
        try:
            accepted = await self._job_writer.accept(job, ranges)
        except RecordTooLargeError as too_large:
            raise JobRefusedError(str(too_large)) from too_large
        if accepted:
            # A job with a cancelled predecessor is accepted nevertheless, and then cancelled at once.
            condition = JobCondition.QUEUED
            if job.predecessors:
                condition = await self._job_reader.condition_after_acceptance(job.ref)
            return answer(201, {"ref": job.ref, "condition": condition})
        lookup = await self._job_reader.look_up(job.ref, Urgency.SUBMIT)
        if isinstance(lookup, UnknownJob):
            return retry_later("undecided")
        return self._state_response(200, job.ref, lookup)

    async def _refuse(self, job: Submission, reason: str) -> Response:
        """Refuse a job, unless another controller has accepted it; in that case answer with the job's state.

        The other controller may have had more recent information when it accepted the job.
        """
        try:
            lookup = await self._job_reader.look_up(job.ref, Urgency.SUBMIT)
        except UNDECIDED_ERRORS as failure:
            log.info("event=submission_deferred job=%s error=%s", job.ref, failure)
            return store_unreachable()
        if not isinstance(lookup, UnknownJob):
            return self._state_response(200, job.ref, lookup)
        log.info("event=submission_refused job=%s team=%s error=%s", job.ref, job.team, reason)
        return error(422, reason)

    # -- polls and cancellations

    async def poll(self, ref: str) -> Response:
        """Answer a poll of a job's state."""
        if not JOB_ID_PATTERN.match(ref):
            return no_such_job()
        if not self._replica.ready.done:
            return retry_later("starting")
        try:
            lookup = await self._job_reader.look_up_replicated(ref)
        except UNDECIDED_ERRORS as failure:
            log.debug("event=poll_deferred job=%s error=%s", ref, failure)
            return store_unreachable()
        return no_such_job() if isinstance(lookup, UnknownJob) else self._state_response(200, ref, lookup)

    def poll_from_memory(self, ref: str) -> Response | None:
        """Answer a poll if the job's final state is in memory; return None if the key-value store must be read."""
        if not JOB_ID_PATTERN.match(ref):
            return no_such_job()
        final = self._job_store.final_state(ref)
        return None if final is None else self._state_response(200, ref, FinishedJob(final))

    async def cancel(self, ref: str) -> Response:
        """Cancel a job, and answer with its final state."""
        if not JOB_ID_PATTERN.match(ref):
            return no_such_job()
        try:
            state = await self._job_writer.cancel(ref)
        except UnknownJobError:
            return no_such_job()
        except UNDECIDED_ERRORS as failure:
            log.info("event=cancellation_deferred job=%s error=%s", ref, failure)
            return store_unreachable()
        return answer(200, {"ref": ref, "condition": state})

    def _state_response(self, status: int, ref: str, lookup: ActiveJob | FinishedJob) -> Response:
        return answer(status, self._job_reader.view(ref, lookup, self._running(ref)))
