"""Errors of requests to the key-value store and to the cloud, and how the caller may react to each."""


class StoreUnavailableError(Exception):
    """The key-value store did not and will not execute the write, or a read failed: the caller may send it again."""


class OutcomeUnknownError(Exception):
    """The transaction may have been applied, or may yet be applied: the caller must read the keys before it goes on."""


class CompareFailedError(Exception):
    """A condition of the transaction did not hold, so it was not applied: the caller reads the keys and decides again.

    `failed`: the keys whose conditions did not hold.
    """

    def __init__(self, failed: list[str]) -> None:
        super().__init__(f"conditions failed for keys: {failed}")
        self.failed = failed


class RequestRefusedError(StoreUnavailableError):
    """The store rejected the transaction as malformed or too large: it must not be sent again unchanged.

    `by_size`: the transaction's size may have been the reason. The client has then lowered its size limits, and the
    caller may retry with a smaller transaction.
    """

    def __init__(self, text: str, by_size: bool) -> None:
        super().__init__(text)
        self.by_size = by_size


class LeaseExpiredError(Exception):
    """The lease has expired and its keys were removed: the caller no longer leads any shard and needs a new lease."""


class WatchExpiredError(Exception):
    """The store no longer holds the changes since the watch's start revision: the caller must list the keys again."""


class CloudUnavailableError(Exception):
    """There was no usable response from the cloud.

    The request may have been executed, or may yet be. The cloud's list of machines will show whether it was.
    """


class NoCapacityError(Exception):
    """The cloud has no machine of the requested type, zone and kind (spot or not) available.

    The caller tries another combination of these, or waits.
    """
