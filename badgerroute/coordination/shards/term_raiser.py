"""Raises a shard's term when some machine has seen a higher fencing token than ours."""

import logging
from datetime import timedelta

from badgerroute.coordination.leadership.leader_election import LeaderElection, LeadershipNotGainedError
from badgerroute.scheduling.shard import Shard
from badgerroute.storage.errors import LeaseExpiredError, OutcomeUnknownError, StoreUnavailableError
from badgerroute.transport.loop import Future, Loop

log = logging.getLogger(__name__)
RAISE_LIMIT = timedelta(seconds=1)  # for a caller that waits for another's attempt


class TermRaiser:
    """Raises one shard's term, with one attempt at a time for all that need it."""

    def __init__(self, *, shard: Shard, loop: Loop, election: LeaderElection) -> None:
        self._shard, self._loop, self._election = shard, loop, election
        self._attempt: Future | None = None  # under way; its result tells whether the term was raised

    async def raise_term(self) -> bool:
        """Get a term above the token that some machine has seen elsewhere; whether that succeeded."""
        if self._attempt is not None:
            # Whoever waits for another's attempt must learn how it went: an answer in the old term would be dropped
            # by its machine, which stays here all the same while its lease runs out.
            attempt = self._attempt
            return await self._loop.first(attempt, RAISE_LIMIT) and attempt.result
        self._attempt = Future()
        raised = False
        try:
            self._shard.term = await self._election.raise_term(self._shard.number)
            raised = True
        except LeadershipNotGainedError:
            pass  # the old term stands, and the result says so
        except (StoreUnavailableError, OutcomeUnknownError, LeaseExpiredError) as error:
            log.info("event=term_raise_failed shard=%d error=%s", self._shard.number, error)
        finally:
            self._attempt.set(raised)
            self._attempt = None
        return raised
