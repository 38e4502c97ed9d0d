"""Submissions, polls and cancellations of users. What can't be decided now is answered at once, with 503."""

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
from badgerroute.protocol.users import REF, Submission, parse_submission
from badgerroute.storage.rate_limiter import Urgency
from badgerroute.storage.replica import Replica
from badgerroute.transport.http import Request, Response

log = logging.getLogger(__name__)


class JobService:
    """Answers users' requests from the job records.

    `summaries` gives what is known of all shards, `running` how many tasks of a job run (for display only).
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
        """Answer a submission, new or repeated."""
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
        repeated = await self._answer_to_repetition(job)
        if repeated is not None:
            return repeated
        if not self._catalog:
            return retry_later("machine types are not known yet")
        self._admission.check(job)
        await self._check_upstream_jobs(job)
        return await self._accept(job)

    async def _answer_to_repetition(self, job: Submission) -> Response | None:
        """The state of a job that was accepted before; None if this controller does not know it."""
        if not self._job_store.is_accepted(job.ref):
            return None
        lookup = await self._job_reader.look_up(job.ref, Urgency.SUBMIT)
        return None if isinstance(lookup, UnknownJob) else self._state_response(200, job.ref, lookup)

    async def _check_upstream_jobs(self, job: Submission) -> None:
        """Users may name only jobs that were accepted, by any controller, in whatever state these are by now."""
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
            # One that names a cancelled job is accepted all the same, and cancelled at once.
            condition = JobCondition.QUEUED
            if job.predecessors:
                condition = await self._job_reader.condition_after_acceptance(job.ref)
            return answer(201, {"ref": job.ref, "condition": condition})
        lookup = await self._job_reader.look_up(job.ref, Urgency.SUBMIT)
        if isinstance(lookup, UnknownJob):
            return retry_later("undecided")
        return self._state_response(200, job.ref, lookup)

    async def _refuse(self, job: Submission, reason: str) -> Response:
        """Refuse a job that nobody knows.

        A job that another controller accepted gets its state: that controller may have known better.
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
        """Answer a question about a job."""
        if not REF.match(ref):
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
        """Answer a question whose answer is in memory: a final state. None: the key-value store has to be read."""
        if not REF.match(ref):
            return no_such_job()
        final = self._job_store.final(ref)
        return None if final is None else self._state_response(200, ref, FinishedJob(final))

    async def cancel(self, ref: str) -> Response:
        """Answer a cancellation."""
        if not REF.match(ref):
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
