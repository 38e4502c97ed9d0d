"""Errors of requests to the key-value store and to the cloud, and how the caller may react to each."""


class StoreUnavailableError(Exception):
    """A write was not executed and will not be, or a read failed. The caller may repeat the request."""


class OutcomeUnknownError(Exception):
    """The transaction may have been applied, or may yet be. The caller must read the keys before it continues."""


class CompareFailedError(Exception):
    """The transaction was not applied, since a condition did not hold. The caller reads the keys and decides again.

    `failed`: the keys whose conditions did not hold.
    """

    def __init__(self, failed: list[str]) -> None:
        super().__init__(f"conditions failed for keys: {failed}")
        self.failed = failed


class RequestRefusedError(StoreUnavailableError):
    """The store rejected the transaction as malformed or too large. It must not be sent again unchanged.

    `by_size`: the transaction's size may have been the reason. The client has then lowered its size limits, and the
    caller may retry with a smaller transaction.
    """

    def __init__(self, text: str, by_size: bool) -> None:
        super().__init__(text)
        self.by_size = by_size


class LeaseExpiredError(Exception):
    """The lease has expired and its keys were removed. The caller no longer leads any shard and needs a new lease."""


class WatchExpiredError(Exception):
    """The store no longer holds the changes since the watch's start revision. The caller must list the keys again."""


class CloudUnavailableError(Exception):
    """There was no usable response from the cloud.

    The request may have been executed, or may yet be. The cloud's list of machines will show whether it was.
    """


class NoCapacityError(Exception):
    """The cloud has no machine of the requested type, zone and kind (spot or not) available.

    The caller tries another combination of these, or waits.
    """
