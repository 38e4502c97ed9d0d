"""Waiting until a replica has taken in a revision, or all that the key-value store had applied by now."""

from datetime import timedelta
from typing import NamedTuple

from badgerroute.storage.errors import StoreUnavailableError
from badgerroute.storage.key_value_client import KeyValueClient
from badgerroute.storage.keys import NONEXISTENT
from badgerroute.transport.loop import Future, Loop

MIN_INTERVAL = timedelta(milliseconds=80)  # between two requests for the store's revision
MAX_WAIT = timedelta(milliseconds=1500)


class _Waiter(NamedTuple):
    revision: int
    reached: Future


class ReadBarrier:
    """Lets readers wait for the replica. One request for the store's revision serves all who ask meanwhile.

    A request for each read uses up the rate limit when many jobs are polled.
    """

    def __init__(self, loop: Loop, store: KeyValueClient) -> None:
        self._loop = loop
        self._store = store
        self._revision = 0
        self._waiters: list[_Waiter] = []  # for a revision that the watch has not covered yet
        self._readers: list[Future] = []  # for whom the store has not been asked yet
        self._reader_came = Future()

    def advance(self, revision: int) -> None:
        """The watch has covered everything up to this revision: wake those who waited for no more."""
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
        """Wait, however long, until the watch has covered a revision."""
        if self._revision < revision:
            reached = Future()
            self._waiters.append(_Waiter(revision, reached))
            await reached

    async def wait_until_current(self) -> None:
        """Wait until all that the store had applied when this was called is taken in.

        What is read then is no older than what anybody was answered before. StoreUnavailableError if the store does not
        answer, or the watch has not come that far within MAX_WAIT.
        """
        reader = Future()
        self._readers.append(reader)
        self._reader_came.set()
        if not await self._loop.first(reader, MAX_WAIT):
            raise StoreUnavailableError("the watch lags behind")
        await reader

    async def answer_readers(self) -> None:
        """Ask the store for its revision whenever there are readers, for ever."""
        while True:
            await self._reader_came
            self._reader_came = Future()
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
