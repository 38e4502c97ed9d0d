"""A leader's conditional writes, which also update the replica and notify the peers once they are applied."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum

from badgerroute.coordination.jobs.peer_messaging import ChangePublisher
from badgerroute.protocol.key_value import Compare, Put, Remove
from badgerroute.storage.errors import CompareFailedError, LeaseExpiredError, OutcomeUnknownError, StoreUnavailableError
from badgerroute.storage.key_value_client import KeyValueClient
from badgerroute.storage.rate_limiter import Urgency
from badgerroute.storage.replica import Replica

# The errors that a conditional write may raise. A refused request raises StoreUnavailableError, as nothing was applied.
WRITE_ERRORS = (StoreUnavailableError, OutcomeUnknownError, CompareFailedError, LeaseExpiredError)


class WriteOutcome(Enum):
    """Whether a conditional write was applied, as far as is known after its response or failure."""

    APPLIED = "applied"
    NOT_APPLIED = "not applied"  # and can't be applied later either
    UNKNOWN = "unknown"  # may have been applied, or may still be applied until another write changes its keys


@dataclass(frozen=True, slots=True)
class WriteResult:
    """The outcome of a conditional write; `revision` is the new revision of its keys if it was applied."""

    outcome: WriteOutcome
    revision: int = 0
    error: Exception | None = None

    @property
    def condition_failed(self) -> bool:
        """Return whether the write failed because a key had changed, so that the replica may be outdated."""
        return isinstance(self.error, CompareFailedError)


@dataclass(frozen=True, slots=True)
class ShardStorage:
    """Writes of leaders to the key-value store; `publisher` sends applied changes to the peers."""

    store: KeyValueClient
    replica: Replica
    publisher: ChangePublisher

    async def write(self, conditions: Iterable[Compare], changes: Sequence[Put | Remove], urgency: Urgency) -> None:
        """Apply changes if all conditions hold, then record and publish them.

        Raises one of `WRITE_ERRORS`; after `OutcomeUnknownError` the changes may still be applied later.
        """
        revision = await self.store.transact(conditions, changes, urgency)
        self.record_applied(changes, revision)

    async def try_write(
        self, conditions: Iterable[Compare], changes: Sequence[Put | Remove], urgency: Urgency
    ) -> WriteResult:
        """Apply changes if all conditions hold. The caller handles the outcome and records applied changes."""
        try:
            revision = await self.store.transact(conditions, changes, urgency)
        except OutcomeUnknownError as error:
            return WriteResult(WriteOutcome.UNKNOWN, error=error)
        except (CompareFailedError, StoreUnavailableError, LeaseExpiredError) as error:
            return WriteResult(WriteOutcome.NOT_APPLIED, error=error)
        return WriteResult(WriteOutcome.APPLIED, revision)

    def record_applied(self, changes: Sequence[Put | Remove], revision: int) -> None:
        """For each applied change, update the replica and publish the change to the peers."""
        for change in changes:
            value = bytes(change.value) if isinstance(change, Put) else None
            self.replica.apply_early(change.key, value, revision)
            self.publisher.publish(change.key, value, revision)
