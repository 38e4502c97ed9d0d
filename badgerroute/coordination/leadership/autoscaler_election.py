"""Elects the controller that runs the autoscaler. There is one autoscaler for the whole cluster."""

import logging

from badgerroute.coordination.leadership.leadership_state import LeadershipState
from badgerroute.storage import records
from badgerroute.storage.errors import CompareFailedError
from badgerroute.storage.key_value_client import KeyValueClient
from badgerroute.storage.keys import AUTOSCALER_LEADER
from badgerroute.storage.operations import compare, put
from badgerroute.storage.rate_limiter import Urgency
from badgerroute.storage.records import AutoscalerLeaderRecord
from badgerroute.storage.replica import Replica

log = logging.getLogger(__name__)


class AutoscalerElection:
    """Campaigns for the autoscaler leader key, and ends the term of this controller when the key changes later."""

    def __init__(self, store: KeyValueClient, replica: Replica, leadership_state: LeadershipState, host: str) -> None:
        self._store, self._replica, self._state, self._host = store, replica, leadership_state, host
        replica.listen(AUTOSCALER_LEADER, self._record_changed)

    async def campaign(self) -> None:
        """Write the leader key if it does not exist or was written by an earlier run of this controller.

        Raises LeaseExpiredError, StoreUnavailableError or OutcomeUnknownError.
        """
        if self._state.autoscaler_term is not None or self._led_by_another():
            return
        record = records.write(AutoscalerLeaderRecord(self._host))
        lease = self._state.lease
        try:
            term = await self._store.transact(
                [compare(AUTOSCALER_LEADER, self._replica.revision_of(AUTOSCALER_LEADER))],
                [put(AUTOSCALER_LEADER, record, lease)],
                Urgency.LEADERSHIP,
            )
        except CompareFailedError:
            return  # another controller was elected; the watch will deliver its record
        if lease != self._state.lease:
            return  # the lease ended during the write, and the key was deleted with it
        self._replica.apply_early(AUTOSCALER_LEADER, bytes(record), term)
        if self._replica.revision_of(AUTOSCALER_LEADER) != term:
            return  # the watch reported a later change of the key before the response arrived
        self._state.autoscaler_term = term
        log.info("event=autoscaler_elected term=%d", term)

    def _led_by_another(self) -> bool:
        value = self._replica.value(AUTOSCALER_LEADER)
        return value is not None and records.read(value, AutoscalerLeaderRecord).leader != self._host

    def _record_changed(self, key: str, value: bytes | None, revision: int) -> None:
        if self._state.autoscaler_term is not None and revision > self._state.autoscaler_term:
            self._state.autoscaler_term = None
