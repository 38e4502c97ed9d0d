"""Writes operators' requests to drain machines to the key-value store. The leader of a machine's shard drains it."""

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

MAX_ATTEMPTS = 5
RETRY_PAUSE = timedelta(milliseconds=300)


class DrainAnswer(StrEnum):
    """The result of a drain or undrain request, as the command prints it."""

    DRAINING = "draining"
    ALREADY_DRAINING = "already draining"
    NOT_DRAINING = "not draining"
    NO_LONGER_DRAINING = "no longer draining"
    UNKNOWN = "unknown machine"
    GONE = "this machine was deleted"


@dataclass(frozen=True, slots=True)
class DrainOutcome:
    """The result of a request.

    `deadline`: the POSIX time by which the machine must be empty, or None if it is not draining after the request.
    """

    answer: DrainAnswer
    deadline: float | None = None


class DrainRequests:
    """Writes and withdraws drain requests, each with one conditional transaction.

    If the transaction's conditions fail or its response is lost, the keys are read again and another attempt is made.
    After MAX_ATTEMPTS attempts, `drain` and `undrain` raise StoreUnavailableError; the caller can safely call them
    again.
    """

    def __init__(self, loop: Loop, store: KeyValueClient) -> None:
        self._loop, self._store = loop, store

    async def drain(self, machine: str, within: timedelta, delete: bool = False) -> DrainOutcome:
        """Request that a machine be emptied within a given time and, with `delete`, deleted at the cloud afterwards.

        If the machine is already draining, its earlier request stays unchanged.
        """
        for _ in range(MAX_ATTEMPTS):
            machine_item = await self._store.get(MACHINES + machine, Urgency.SUBMIT)
            if machine_item is None:
                return DrainOutcome(DrainAnswer.GONE if await self._was_deleted(machine) else DrainAnswer.UNKNOWN)
            recorded = await self._recorded_drain(machine)
            if recorded is not None:
                return DrainOutcome(DrainAnswer.ALREADY_DRAINING, recorded.deadline)
            deadline = self._loop.clock.today().timestamp() + within.total_seconds()
            record = records.write(DrainRecord(deadline, delete))
            conditions = [compare(MACHINES + machine, machine_item.revision), compare(DRAINS + machine, 0)]
            try:
                await self._store.transact(conditions, [put(DRAINS + machine, record)], Urgency.SUBMIT)
            except (CompareFailedError, OutcomeUnknownError):
                await self._loop.sleep(RETRY_PAUSE)  # the next attempt reads the outcome
                continue
            return DrainOutcome(DrainAnswer.DRAINING, deadline)
        raise StoreUnavailableError("each attempt conflicted with another change or its response was lost")

    async def undrain(self, machine: str) -> DrainOutcome:
        """Withdraw a machine's drain request. Tasks that have already left the machine are not moved back."""
        removal_attempted = False
        for _ in range(MAX_ATTEMPTS):
            item = await self._store.get(DRAINS + machine, Urgency.SUBMIT)
            if item is None:
                return DrainOutcome(DrainAnswer.NO_LONGER_DRAINING if removal_attempted else DrainAnswer.NOT_DRAINING)
            removal_attempted = True
            try:
                await self._store.transact(
                    [compare(DRAINS + machine, item.revision)], [remove(DRAINS + machine)], Urgency.SUBMIT
                )
            except (CompareFailedError, OutcomeUnknownError):
                await self._loop.sleep(RETRY_PAUSE)
                continue
            return DrainOutcome(DrainAnswer.NO_LONGER_DRAINING)
        raise StoreUnavailableError("each attempt conflicted with another change or its response was lost")

    async def _recorded_drain(self, machine: str) -> DrainRecord | None:
        item = await self._store.get(DRAINS + machine, Urgency.SUBMIT)
        return records.read(bytes(item.value), DrainRecord) if item is not None else None

    async def _was_deleted(self, machine: str) -> bool:
        pages, _ = await self._store.list(TOMBSTONES)
        return any(machine in records.read(bytes(page.value), TombstoneRecord).names for page in pages)
