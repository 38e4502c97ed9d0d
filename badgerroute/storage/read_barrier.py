"""Lets readers wait until the replica has applied all changes up to a given revision or the store's current one."""

from datetime import timedelta
from typing import NamedTuple

from badgerroute.storage.errors import StoreUnavailableError
from badgerroute.storage.key_value_client import KeyValueClient
from badgerroute.storage.keys import NONEXISTENT
from badgerroute.transport.loop import Future, Loop

MIN_INTERVAL = timedelta(milliseconds=80)  # minimum time between requests for the store's revision
MAX_WAIT = timedelta(milliseconds=1500)


class _Waiter(NamedTuple):
    revision: int
    reached: Future


class ReadBarrier:
    """Lets readers wait until the replica is current. One request for the store's revision serves all waiting readers.

    A request for each reader would use up the rate limit when users poll many jobs.
    """

    def __init__(self, loop: Loop, store: KeyValueClient) -> None:
        self._loop = loop
        self._store = store
        self._revision = 0  # the watch has delivered all changes up to this revision
        self._waiters: list[_Waiter] = []  # waiting for a revision that the watch has not reached
        self._readers: list[Future] = []  # waiting for the next request for the store's revision
        self._reader_arrived = Future()

    def advance(self, revision: int) -> None:
        """Record that the watch has delivered all changes up to this revision, and wake the callers waiting for it."""
        self._revision = revision
        if not self._waiters:
            return
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if waiter.revision <= revision:
                waiter.reached.set()
            else:
                self._waiters.append(waiter)

    async def wait_for_revision(self, revision: int) -> None:
        """Wait, without a time limit, until the watch has delivered all changes up to a revision."""
        if self._revision < revision:
            reached = Future()
            self._waiters.append(_Waiter(revision, reached))
            await reached

    async def wait_until_current(self) -> None:
        """Wait until the replica has applied all changes that the store had applied when this was called.

        A read of the replica after that is linearizable: it returns nothing older than any earlier response did. Raises
        StoreUnavailableError if the store does not respond, or if the replica has not applied the changes within
        MAX_WAIT.
        """
        reader = Future()
        self._readers.append(reader)
        self._reader_arrived.set()
        if not await self._loop.first(reader, MAX_WAIT):
            raise StoreUnavailableError("the watch lags behind the store")
        await reader

    async def answer_readers(self) -> None:
        """Request the store's revision whenever readers are waiting; runs until cancelled."""
        while True:
            await self._reader_arrived
            self._reader_arrived = Future()
            readers, self._readers = self._readers, []
            try:
                revision = await self._store.revision(NONEXISTENT)
            except StoreUnavailableError as error:
                for reader in readers:
                    reader.fail(error)
            else:
                self._waiters += [_Waiter(revision, reader) for reader in readers]
                self.advance(self._revision)
            await self._loop.sleep(MIN_INTERVAL)
