"""Operators' requests to drain machines, written to the key-value store. The machine's leader acts on them."""

from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum

from badgerroute.storage import records
from badgerroute.storage.errors import CompareFailedError, OutcomeUnknownError, StoreUnavailableError
from badgerroute.storage.key_value_client import KeyValueClient
from badgerroute.storage.keys import DRAINS, MACHINES, TOMBSTONES
from badgerroute.storage.operations import compare, put, remove
from badgerroute.storage.rate_limiter import Urgency
from badgerroute.storage.records import DrainRecord, TombstoneRecord
from badgerroute.transport.loop import Loop

MAX_TRIES = 5
RETRY_PAUSE = timedelta(milliseconds=300)


class DrainAnswer(StrEnum):
    """What became of a request."""

    DRAINING = "draining"
    ALREADY_DRAINING = "already draining"
    NOT_DRAINING = "not draining"
    NO_LONGER_DRAINING = "no longer draining"
    UNKNOWN = "unknown machine"
    GONE = "this machine was deleted"


@dataclass(frozen=True, slots=True)
class DrainOutcome:
    """A request's answer, and the deadline on record (time of day, seconds since 1970), if there is one."""

    answer: DrainAnswer
    deadline: float | None = None


class DrainRequests:
    """Each request is one conditional write. After a lost answer, the keys are read back.

    Raises StoreUnavailableError if the outcome is not known; the request may be repeated.
    """

    def __init__(self, loop: Loop, store: KeyValueClient) -> None:
        self._loop, self._store = loop, store

    async def drain(self, machine: str, within: timedelta, delete: bool = False) -> DrainOutcome:
        """Have a machine emptied within so long. One that is draining keeps the deadline it has."""
        for _ in range(MAX_TRIES):
            member = await self._store.get(MACHINES + machine, Urgency.SUBMIT)
            if member is None:
                return DrainOutcome(DrainAnswer.GONE if await self._was_deleted(machine) else DrainAnswer.UNKNOWN)
            known = await self._known(machine)
            if known is not None:
                return DrainOutcome(DrainAnswer.ALREADY_DRAINING, known.deadline)
            deadline = self._loop.clock.today().timestamp() + within.total_seconds()
            record = records.write(DrainRecord(deadline, delete))
            conditions = [compare(MACHINES + machine, member.revision), compare(DRAINS + machine, 0)]
            try:
                await self._store.transact(conditions, [put(DRAINS + machine, record)], Urgency.SUBMIT)
            except (CompareFailedError, OutcomeUnknownError):
                await self._loop.sleep(RETRY_PAUSE)  # what became of it is read at the next turn
                continue
            return DrainOutcome(DrainAnswer.DRAINING, deadline)
        raise StoreUnavailableError("the request met others too often")

    async def undrain(self, machine: str) -> DrainOutcome:
        """Take a drain back; what has moved by then stays where it is."""
        tried = False
        for _ in range(MAX_TRIES):
            item = await self._store.get(DRAINS + machine, Urgency.SUBMIT)
            if item is None:
                return DrainOutcome(DrainAnswer.NO_LONGER_DRAINING if tried else DrainAnswer.NOT_DRAINING)
            tried = True
            try:
                await self._store.transact(
                    [compare(DRAINS + machine, item.revision)], [remove(DRAINS + machine)], Urgency.SUBMIT
                )
            except (CompareFailedError, OutcomeUnknownError):
                await self._loop.sleep(RETRY_PAUSE)
                continue
            return DrainOutcome(DrainAnswer.NO_LONGER_DRAINING)
        raise StoreUnavailableError("the request met others too often")

    async def _known(self, machine: str) -> DrainRecord | None:
        item = await self._store.get(DRAINS + machine, Urgency.SUBMIT)
        return records.read(bytes(item.value), DrainRecord) if item is not None else None

    async def _was_deleted(self, machine: str) -> bool:
        pages, _ = await self._store.list(TOMBSTONES)
        return any(machine in records.read(bytes(page.value), TombstoneRecord).names for page in pages)
