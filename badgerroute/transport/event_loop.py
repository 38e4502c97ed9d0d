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

# The due time, a unique number that keeps timers with equal due times in order, and the timer. It is a plain tuple for
# speed, because one is created for every wait and every time limit.
_TimerEntry = tuple[timedelta, int, Timer]


class Loop:
    """Runs tasks, timers and socket events in one thread."""

    def __init__(self, clock: Clock, poller: Poller) -> None:
        self.clock = clock
        self.poller = poller
        self.ready: deque[CoroutineTask] = deque()
        self.current: CoroutineTask | None = None
        self._timers: list[_TimerEntry] = []
        self._timer_numbers = itertools.count()

    def now(self) -> timedelta:
        """Return the monotonic time."""
        return self.clock.now()

    def spawn(self, coro: Coroutine, name: str) -> CoroutineTask:
        """Start a coroutine as a task. `name` appears in logs."""
        task = CoroutineTask(self, coro, name)
        task.schedule()
        return task

    def later(self, delay: timedelta, action: Callable[[], None]) -> Timer:
        """Run an action after a delay. Return its timer, which can be cancelled."""
        timer = Timer(action)
        heapq.heappush(self._timers, (self.now() + max(delay, ZERO), next(self._timer_numbers), timer))
        return timer

    async def sleep(self, delay: timedelta) -> None:
        """Suspend the current task for a delay."""
        future = Future()
        timer = self.later(delay, future.set)
        try:
            await future
        finally:
            timer.cancel()

    def limit(self, limit: timedelta) -> Deadline:
        """Return a context manager that raises TimeLimitError in its body when the body exceeds the time limit."""
        return Deadline(self, limit)

    async def first(self, future: Future, limit: timedelta) -> bool:
        """Wait for a future, up to a time limit. Return whether it is done. A time-out does not cancel the future."""
        if future.done:
            return True
        wakeup = Future()
        timer = self.later(limit, wakeup.set)
        future.waiters.append(wakeup.set)
        try:
            await wakeup
        finally:
            timer.cancel()
            if wakeup.set in future.waiters:
                future.waiters.remove(wakeup.set)
        return future.done

    def run_once(self, until: Callable[[], bool] | None = None) -> None:
        """Run one iteration: run due timers and ready tasks, then wait for sockets or the next timer.

        The wait is skipped if `until` returns true after the tasks have run.
        """
        self._run_due_timers()
        for _ in range(len(self.ready)):  # tasks that become ready during this pass run in the next iteration
            self.ready.popleft().step()
        if until is not None and until():
            return
        limit = self._time_until_next_timer()
        if limit is None or limit > ZERO or not isinstance(self.poller, VirtualPoller):
            self.poller.poll(limit)

    def run(self, main: CoroutineTask) -> Any:
        """Run the loop until a task is done. Return its result, or raise its error."""
        main.waiters.append(do_nothing)  # a failure is raised below, so the task must not log it as unhandled
        while not main.done:
            self.run_once(lambda: main.done)
        if main.error is not None:
            raise main.error
        return main.result

    def _run_due_timers(self) -> None:
        now = self.now()
        timers = self._timers
        while timers and timers[0][0] <= now:
            _, _, timer = heapq.heappop(timers)
            timer.action()

    def _time_until_next_timer(self) -> timedelta | None:
        """Return the time until the next timer, zero if tasks are ready, or None if only sockets can wake the loop."""
        if self.ready:
            return ZERO
        timers = self._timers
        while timers and timers[0][2].cancelled:
            heapq.heappop(timers)
        return max(ZERO, timers[0][0] - self.now()) if timers else None
