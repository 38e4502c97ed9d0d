"""The event loop: runs tasks, timers and socket events in one thread."""

import heapq
import itertools
from collections import deque
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any

from badgerroute.transport.clock import ZERO, Clock
from badgerroute.transport.futures import Future
from badgerroute.transport.poller import Poller, VirtualPoller
from badgerroute.transport.tasks import CoroutineTask
from badgerroute.transport.timers import Deadline, Timer, do_nothing

# When it is due, a unique number that keeps timers of one moment in order, and the timer. A plain tuple, since one is
# made for every wait and every time limit.
_TimerEntry = tuple[timedelta, int, Timer]


class Loop:
    """Runs tasks, timers and socket events in one thread."""

    def __init__(self, clock: Clock, poller: Poller) -> None:
        self.clock = clock
        self.poller = poller
        self.ready: deque[CoroutineTask] = deque()
        self.current: CoroutineTask | None = None
        self._timers: list[_TimerEntry] = []
        self._numbers = itertools.count()

    def now(self) -> timedelta:
        """The steady time."""
        return self.clock.now()

    def spawn(self, coro: Coroutine, name: str) -> CoroutineTask:
        """Start a task. `name` appears in logs."""
        task = CoroutineTask(self, coro, name)
        task.schedule()
        return task

    def later(self, delta: timedelta, action: Callable[[], None]) -> Timer:
        """Run an action after so long."""
        timer = Timer(action)
        heapq.heappush(self._timers, (self.now() + max(delta, ZERO), next(self._numbers), timer))
        return timer

    async def sleep(self, delta: timedelta) -> None:
        """Wait for so long."""
        future = Future()
        timer = self.later(delta, future.set)
        try:
            await future
        finally:
            timer.cancel()

    def limit(self, delta: timedelta) -> Deadline:
        """A context that ends what runs in it by TimeLimitError after so long."""
        return Deadline(self, delta)

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
        """One round: due timers, then the tasks that are ready, then a wait for sockets or the next timer.

        `until`: ends the round before that wait if it holds.
        """
        self._run_due_timers()
        for _ in range(len(self.ready)):  # what becomes ready meanwhile is stepped in the next round
            self.ready.popleft().step()
        if until is not None and until():
            return
        limit = self._time_to_wait()
        if limit is None or limit > ZERO or not isinstance(self.poller, VirtualPoller):
            self.poller.poll(limit)

    def run(self, main: CoroutineTask) -> Any:
        """Turn until a task has ended; its result, or its error raised."""
        main.waiters.append(do_nothing)  # its failure is raised here, so it need not be logged as unnoticed
        while not main.done:
            self.turn(lambda: main.done)
        if main.error is not None:
            raise main.error
        return main.result

    def _run_due_timers(self) -> None:
        now = self.now()
        timers = self._timers
        while timers and timers[0][0] <= now:
            _, _, timer = heapq.heappop(timers)
            timer.action()

    def _time_to_wait(self) -> timedelta | None:
        """Until the next timer; nothing if tasks are ready, None if there is nothing to wait for but sockets."""
        if self.ready:
            return ZERO
        timers = self._timers
        while timers and timers[0][2].cancelled:
            heapq.heappop(timers)
        return max(ZERO, timers[0][0] - self.now()) if timers else None
