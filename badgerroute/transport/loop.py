"""Tasks (`async def`) run on `selectors`, with timers, time limits and orderly cancellation.

a task waits only for `Future`s, so every suspension point can be cancelled in the same way.
"""

import heapq
import itertools
import logging
import selectors
from collections import deque
from collections.abc import AsyncIterator, Callable, Coroutine, Generator
from contextlib import asynccontextmanager
from datetime import timedelta
from typing import Any, Protocol

from badgerroute.transport.clock import ZERO, Clock, VirtualClock

log = logging.getLogger(__name__)


class CancelledError(BaseException):
    """Thrown into a task that is being cancelled; not an `Exception`, so that nobody swallows it."""


class TimeLimitError(Exception):
    """What a task was waiting for did not come within its limit."""


class Future:
    """A result that is to come, for any number of waiters."""

    __slots__ = ("done", "result", "error", "waiters")

    def __init__(self) -> None:
        self.done = False
        self.result: Any = None
        self.error: BaseException | None = None
        self.waiters: list[Callable[[], None]] = []

    def set(self, result: Any = None) -> None:
        """Give the result, once; whoever waits goes on."""
        if not self.done:
            self.done, self.result = True, result
            self._wake()

    def fail(self, error: BaseException) -> None:
        """Give an error in place of the result."""
        if not self.done:
            self.done, self.error = True, error
            self._wake()

    def _wake(self) -> None:
        waiters, self.waiters = self.waiters, []
        for waiter in waiters:
            waiter()

    def __await__(self) -> Generator["Future", None, Any]:
        if not self.done:
            yield self
        if self.error is not None:
            raise self.error
        return self.result


class CoroutineTask(Future):
    """A running coroutine; awaiting it gives its result."""

    __slots__ = ("loop", "coro", "name", "_thrown", "_waiting", "_scheduled")

    def __init__(self, loop: "Loop", coro: Coroutine, name: str) -> None:
        super().__init__()
        self.loop, self.coro, self.name = loop, coro, name
        self._thrown: BaseException | None = None
        self._waiting: Future | None = None
        self._scheduled = False

    def cancel(self) -> None:
        """End the task at its next step by CancelledError."""
        self.throw(CancelledError())

    def throw(self, error: BaseException) -> None:
        """Raise `error` at the point where the task waits. Cancellation outranks a time limit."""
        if self.done:
            return
        if self._thrown is None or isinstance(error, CancelledError):
            self._thrown = error
        self.schedule()

    def schedule(self) -> None:
        """Have the task stepped in the next round."""
        if not self._scheduled and not self.done:
            self._scheduled = True
            self.loop.ready.append(self)

    def _awake(self) -> None:
        self.schedule()

    def step(self) -> None:
        """Run the task until it waits for something."""
        self._scheduled = False
        if self.done:
            return
        waiting, self._waiting = self._waiting, None
        if waiting is not None and not waiting.done:
            if self._thrown is None:  # woken for nothing
                self._waiting = waiting
                return
            try:
                waiting.waiters.remove(self._awake)
            except ValueError:
                pass
        self.loop.current = self
        try:
            if self._thrown is not None:
                error, self._thrown = self._thrown, None
                target = self.coro.throw(error)
            else:
                target = self.coro.send(None)
        except StopIteration as stop:
            self.set(stop.value)
        except CancelledError as error:
            self.fail(error)
        except Exception as error:
            watched = bool(self.waiters)
            self.fail(error)
            if not watched:
                log.error("event=task_failed task=%s error=%r", self.name, error, exc_info=error)
        else:
            self._waiting = target
            if target.done or self._thrown is not None:
                self.schedule()
            else:
                target.waiters.append(self._awake)
        finally:
            self.loop.current = None


class Timer:
    """An action at a time, unless it is cancelled before."""

    __slots__ = ("action", "cancelled")

    def __init__(self, action: Callable[[], None]) -> None:
        self.action = action
        self.cancelled = False

    def cancel(self) -> None:
        """Have the action not run."""
        self.cancelled = True
        self.action = _nothing


def _nothing() -> None:
    """What a cancelled timer does."""


class Poller(Protocol):
    """Waits for sockets, or for a time."""

    def poll(self, limit: timedelta | None) -> None:
        """Wait up to `limit` (None: no limit) and wake whoever's descriptor became ready."""


class SelectorPoller:
    """Descriptors of the real system."""

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        self._interest: dict[int, dict[int, Future]] = {}

    def wait(self, fileno: int, event: int) -> Future:
        """A future that is set once a file descriptor is ready."""
        future = Future()
        wanted = self._interest.setdefault(fileno, {})
        known = bool(wanted)
        wanted[event] = future
        mask = 0
        for one in wanted:
            mask |= one
        if known:
            self._selector.modify(fileno, mask)
        else:
            self._selector.register(fileno, mask)
        return future

    def forget(self, fileno: int) -> None:
        """Stop waiting for a file descriptor that is about to be closed."""
        wanted = self._interest.pop(fileno, None)
        if wanted:
            self._selector.unregister(fileno)
            for future in wanted.values():
                future.fail(ConnectionError("closed here"))

    def poll(self, limit: timedelta | None) -> None:
        """Wait for descriptors to become ready, for so long at most; None: for as long as it takes."""
        timeout = None if limit is None else max(0.0, limit.total_seconds())
        for key, mask in self._selector.select(timeout):
            wanted = self._interest.get(key.fd)
            if not wanted:
                continue
            for event in (selectors.EVENT_READ, selectors.EVENT_WRITE):
                if mask & event and event in wanted:
                    wanted.pop(event).set()
            if wanted:
                rest = 0
                for one in wanted:
                    rest |= one
                self._selector.modify(key.fd, rest)
            else:
                del self._interest[key.fd]
                self._selector.unregister(key.fd)


class VirtualPoller:
    """No descriptors at all: waiting only moves the virtual clock."""

    def __init__(self, clock: VirtualClock) -> None:
        self._clock = clock

    def poll(self, limit: timedelta | None) -> None:
        """Let the virtual clock jump to the end of the wait."""
        if limit is None:
            raise RuntimeError("every routine waits and no timer is set")
        self._clock.advance(self._clock.now() + limit)


class _Deadline:
    """`with loop.limit(delta):` raises TimeLimitError in the body when the time is over."""

    __slots__ = ("_loop", "_delta", "_timer", "_error")

    def __init__(self, loop: "Loop", delta: timedelta) -> None:
        self._loop, self._delta = loop, delta

    def __enter__(self) -> "_Deadline":
        task = self._loop.current
        assert task is not None, "a time limit is for a routine"
        self._error = TimeLimitError(f"no answer within {self._delta.total_seconds():.2f} s")
        self._timer = self._loop.later(self._delta, lambda: task.throw(self._error))
        return self

    def __exit__(self, kind: type | None, value: BaseException | None, trace: object) -> None:
        self._timer.cancel()
        task = self._loop.current
        if task is not None and task._thrown is self._error:
            task._thrown = None  # it ran out just as the body ended: the body's result stands


class Loop:
    """Runs tasks, timers and socket events in one thread."""

    def __init__(self, clock: Clock, poller: Poller) -> None:
        self.clock = clock
        self.poller = poller
        self.ready: deque[CoroutineTask] = deque()
        self.current: CoroutineTask | None = None
        self._timers: list[tuple[timedelta, int, Timer]] = []
        self._order = itertools.count()

    def now(self) -> timedelta:
        """The steady time."""
        return self.clock.now()

    def spawn(self, coro: Coroutine, name: str) -> CoroutineTask:
        """Start a task."""
        task = CoroutineTask(self, coro, name)
        task.schedule()
        return task

    def later(self, delta: timedelta, action: Callable[[], None]) -> Timer:
        """Run an action after so long."""
        timer = Timer(action)
        heapq.heappush(self._timers, (self.now() + max(delta, ZERO), next(self._order), timer))
        return timer

    async def sleep(self, delta: timedelta) -> None:
        """Wait for so long."""
        future = Future()
        timer = self.later(delta, future.set)
        try:
            await future
        finally:
            timer.cancel()

    def limit(self, delta: timedelta) -> _Deadline:
        """A context that ends what runs in it by TimeLimitError after so long."""
        return _Deadline(self, delta)

    async def first(self, future: Future, delta: timedelta) -> bool:
        """Wait for a future at most so long; whether it is done. The future itself goes on."""
        if future.done:
            return True
        woken = Future()
        timer = self.later(delta, woken.set)
        future.waiters.append(woken.set)
        try:
            await woken
        finally:
            timer.cancel()
            if woken.set in future.waiters:
                future.waiters.remove(woken.set)
        return future.done

    def turn(self, until: Callable[[], bool] | None = None) -> None:
        """One round: what is ready, then what has become ready meanwhile."""
        now = self.now()
        timers = self._timers
        while timers and timers[0][0] <= now:
            heapq.heappop(timers)[2].action()
        for _ in range(len(self.ready)):
            self.ready.popleft().step()
        if until is not None and until():
            return
        if self.ready:
            limit: timedelta | None = ZERO
        else:
            while timers and timers[0][2].cancelled:
                heapq.heappop(timers)
            limit = max(ZERO, timers[0][0] - self.now()) if timers else None
        if limit is None or limit > ZERO or not isinstance(self.poller, VirtualPoller):
            self.poller.poll(limit)

    def run(self, main: CoroutineTask) -> Any:
        """Turn until a task has ended; its result, or its error raised."""
        main.waiters.append(_nothing)  # its failure is raised here, so it need not be logged as unnoticed
        while not main.done:
            self.turn(lambda: main.done)
        if main.error is not None:
            raise main.error
        return main.result


class Semaphore:
    """Lets so many tasks through at a time; the others wait, urgent ones first, then in order."""

    def __init__(self, places: int) -> None:
        self.free = places
        self._waiting: list[tuple[bool, int, Future]] = []
        self._order = itertools.count()

    @asynccontextmanager
    async def acquire(self, urgent: bool = False) -> AsyncIterator[None]:
        """A context that is entered when there is a place."""
        if self.free > 0:
            self.free -= 1
        else:
            turn = Future()
            heapq.heappush(self._waiting, (not urgent, next(self._order), turn))
            try:
                await turn
            except BaseException:
                if turn.done:  # cancelled just as its turn came
                    self._leave()
                else:
                    turn.set()  # whoever leaves next skips it
                raise
        try:
            yield
        finally:
            self._leave()

    def _leave(self) -> None:
        while self._waiting:
            turn = heapq.heappop(self._waiting)[2]
            if not turn.done:
                turn.set()
                return
        self.free += 1


class TaskGroup:
    """Tasks that live and end together, for instance all those of one controller."""

    def __init__(self, loop: Loop, name: str) -> None:
        self.loop, self.name = loop, name
        self._tasks: set[CoroutineTask] = set()
        self.closed = False

    def spawn(self, coro: Coroutine, name: str) -> CoroutineTask:
        """Start a task that ends with the group."""
        task = self.loop.spawn(coro, f"{self.name}/{name}")
        if self.closed:
            task.cancel()
            return task
        self._tasks.add(task)
        task.waiters.append(lambda: self._ended(task))
        return task

    def _ended(self, task: CoroutineTask) -> None:
        self._tasks.discard(task)
        if task.error is not None and not isinstance(task.error, CancelledError):
            log.error("event=task_failed task=%s error=%r", task.name, task.error, exc_info=task.error)

    def run_forever(self, make: Callable[[], Coroutine], name: str, pause: timedelta) -> CoroutineTask:
        """A background task: if it fails, the failure is logged and the duty begins again."""
        return self.spawn(self._repeat(make, name, pause), name)

    async def _repeat(self, make: Callable[[], Coroutine], name: str, pause: timedelta) -> None:
        while True:
            try:
                await make()
                return
            except Exception as error:
                log.error("event=background_task_failed task=%s error=%r", name, error, exc_info=error)
            await self.loop.sleep(pause)

    def cancel(self) -> None:
        """End all tasks, and whatever is spawned later."""
        self.closed = True
        for task in list(self._tasks):
            task.cancel()
