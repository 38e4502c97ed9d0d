"""Transfers the leadership of a shard to another controller by writing the shard's leader record."""

import logging

from badgerroute.coordination.leadership.leader_records import LeaderRecords
from badgerroute.coordination.leadership.leadership_state import LeadershipState
from badgerroute.storage.errors import CompareFailedError, LeaseExpiredError, OutcomeUnknownError, StoreUnavailableError
from badgerroute.storage.records import ShardLeaderRecord

log = logging.getLogger(__name__)


class ShardTransfer:
    """Carries out leadership transfers; `coordination.membership` decides when to transfer which shard."""

    def __init__(self, leadership_state: LeadershipState, leader_records: LeaderRecords) -> None:
        self._state, self._records = leadership_state, leader_records

    async def transfer(self, shard: int, host: str, lease: int) -> None:
        """Make another host the leader of a shard, under that host's lease.

        This controller steps down before it writes the record. If the write fails, the failure is logged and the next
        election chooses a leader for the shard.
        """
        leadership = self._state.leaderships.get(shard)
        if leadership is None or shard in self._records.pending_writes:
            return
        with self._records.pending_write(shard):
            self._state.step_down(shard)
            record = ShardLeaderRecord(host, self._records.grace_end(shard), transferred=True)
            try:
                term = await self._records.write(shard, record, leadership.term, lease)
                self._records.learn(shard, record, term)
                log.info("event=leadership_transferred shard=%d to=%s", shard, host)
            except (StoreUnavailableError, OutcomeUnknownError, CompareFailedError, LeaseExpiredError) as error:
                log.info("event=leadership_transfer_failed shard=%d error=%s", shard, error)
