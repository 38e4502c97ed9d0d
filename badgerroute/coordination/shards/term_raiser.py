"""Raises a shard's term when a machine of the shard has seen a fencing token above the current term."""

import logging
from datetime import timedelta

from badgerroute.coordination.leadership.leader_election import LeaderElection, LeadershipNotGainedError
from badgerroute.scheduling.shard import Shard
from badgerroute.storage.errors import LeaseExpiredError, OutcomeUnknownError, StoreUnavailableError
from badgerroute.transport.loop import Future, Loop

log = logging.getLogger(__name__)
RAISE_WAIT_TIMEOUT = timedelta(seconds=1)  # for callers that wait until another caller has raised the term


class TermRaiser:
    """Raises the term of one shard. Concurrent callers share one write."""

    def __init__(self, *, shard: Shard, loop: Loop, election: LeaderElection) -> None:
        self._shard, self._loop, self._election = shard, loop, election
        self._pending_raise: Future | None = None  # the write in flight; its result is whether the term was raised

    async def raise_term(self) -> bool:
        """Obtain a higher term, since a machine has seen a higher fencing token. Return whether that succeeded."""
        if self._pending_raise is not None:
            # Wait for the result: if the term was not raised, the caller must not answer the machine, which would
            # ignore an answer in the old term but keep sending its heartbeats here until its lease expires.
            pending_raise = self._pending_raise
            return await self._loop.first(pending_raise, RAISE_WAIT_TIMEOUT) and pending_raise.result
        self._pending_raise = Future()
        raised = False
        try:
            self._shard.term = await self._election.raise_term(self._shard.number)
            raised = True
        except LeadershipNotGainedError:
            pass  # the old term stays, and the result is False
        except (StoreUnavailableError, OutcomeUnknownError, LeaseExpiredError) as error:
            log.info("event=term_raise_failed shard=%d error=%s", self._shard.number, error)
        finally:
            self._pending_raise.set(raised)
            self._pending_raise = None
        return raised
