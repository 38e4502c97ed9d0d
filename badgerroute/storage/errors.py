"""What can go wrong with a request to the key-value store or to the cloud, and what the caller may do then."""


class StoreUnavailableError(Exception):
    """The key-value store did nothing, and will do nothing later: the caller may send the request again."""


class OutcomeUnknownError(Exception):
    """The transaction may have been applied, or may yet be: the caller reads the keys back before it goes on."""


class CompareFailedError(Exception):
    """Conditions of the transaction did not hold, so nothing was applied: the caller reads the keys and decides anew.

    `failed`: the keys whose conditions did not hold.
    """

    def __init__(self, failed: list[str]) -> None:
        super().__init__(f"conditions failed: {failed}")
        self.failed = failed


class RequestRefusedError(StoreUnavailableError):
    """The store calls the transaction malformed or too large: as it is, it must not be sent again.

    `by_size`: its size may have been the reason. The client's size limits are lower now: the caller may send less.
    """

    def __init__(self, text: str, by_size: bool) -> None:
        super().__init__(text)
        self.by_size = by_size


class LeaseExpiredError(Exception):
    """The lease has ended and the keys attached to it are gone: the caller leads nothing and needs another lease."""


class WatchExpiredError(Exception):
    """The watch began before what the store still remembers: the caller lists the keys again."""


class CloudUnavailableError(Exception):
    """No usable answer of the cloud; it may have done what was asked, or may yet: the caller looks at the list."""


class NoCapacityError(Exception):
    """The cloud has no machine of this type, in this zone, of this kind: the caller tries another or waits."""
