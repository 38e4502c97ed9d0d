"""Errors of requests to the key-value store and to the cloud, and how the caller may react to each."""


class StoreUnavailableError(Exception):
    """The key-value store has not executed the request and never will: the caller may send it again."""


class OutcomeUnknownError(Exception):
    """The transaction may have been applied, or may still be: the caller must read the keys before it continues."""


class CompareFailedError(Exception):
    """Conditions of the transaction did not hold, so it was not applied: the caller reads the keys and decides again.

    `failed`: the keys whose conditions did not hold.
    """

    def __init__(self, failed: list[str]) -> None:
        super().__init__(f"conditions failed for keys: {failed}")
        self.failed = failed


class RequestRefusedError(StoreUnavailableError):
    """The store rejected the transaction as malformed or too large: it must not be sent again unchanged.

    `by_size`: its size may have been the reason. The client has lowered its size limits, so the caller may retry with a
    smaller transaction.
    """

    def __init__(self, text: str, by_size: bool) -> None:
        super().__init__(text)
        self.by_size = by_size


class LeaseExpiredError(Exception):
    """The lease has expired and its keys were removed: the caller leads no shard and needs a new lease."""


class WatchExpiredError(Exception):
    """The store no longer holds the changes since the watch's start revision: the caller must list the keys again."""


class CloudUnavailableError(Exception):
    """There was no usable response from the cloud.

    The request may have been executed, or may still be: the cloud's list of machines will show it.
    """


class NoCapacityError(Exception):
    """The cloud has no machine of the requested type and zone (spot or not): the caller tries another pool or waits."""
