"""Background task that looks up the final states of predecessors of waiting jobs."""

import logging
from datetime import timedelta

from badgerroute.coordination.jobs.job_reader import JobReader
from badgerroute.coordination.jobs.job_store import JobStore
from badgerroute.storage.errors import StoreUnavailableError
from badgerroute.storage.rate_limiter import Urgency
from badgerroute.transport.loop import Loop

log = logging.getLogger(__name__)
INTERVAL = timedelta(milliseconds=200)
RETRY_PAUSE = 5 * INTERVAL
REPEAT_INTERVAL = timedelta(seconds=2)  # between two look-ups of the same predecessor
MAX_LOOKUPS_PER_ROUND = 500


class UpstreamResolver:
    """Looks up predecessors for which this controller has neither a record nor a final state.

    The watch does not report jobs that ended before this controller started, and messages from peers may be lost.
    """

    def __init__(self, loop: Loop, job_store: JobStore, job_reader: JobReader) -> None:
        self._loop, self._job_store, self._job_reader = loop, job_store, job_reader
        self._looked_up: dict[str, timedelta] = {}  # predecessor -> when it was last looked up

    async def run(self) -> None:
        """Look up unknown predecessors in an endless loop. Each look-up adds its result to the job store."""
        while True:
            await self._loop.sleep(INTERVAL)
            unknown = self._predecessors_due()
            if not unknown:
                continue
            self._looked_up.update(dict.fromkeys(unknown, self._loop.now()))
            try:
                await self._job_reader.find_unknown(unknown, Urgency.COMPLETE)
            except StoreUnavailableError as error:
                log.info("event=upstream_lookup_failed jobs=%d error=%s", len(unknown), error)
                await self._loop.sleep(RETRY_PAUSE)

    def _predecessors_due(self) -> list[str]:
        now = self._loop.now()
        self._looked_up = {
            ref: looked_up_at for ref, looked_up_at in self._looked_up.items() if now - looked_up_at < REPEAT_INTERVAL
        }
        unknown = [ref for ref in self._job_store.unknown_predecessors() if ref not in self._looked_up]
        return unknown[:MAX_LOOKUPS_PER_ROUND]
