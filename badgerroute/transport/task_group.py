"""Groups of tasks that end together."""

import logging
from collections.abc import Callable, Coroutine
from datetime import timedelta

from badgerroute.transport.event_loop import Loop
from badgerroute.transport.futures import CancelledError
from badgerroute.transport.tasks import CoroutineTask

log = logging.getLogger(__name__)


class TaskGroup:
    """Tasks that live and end together, for instance all those of one controller."""

    def __init__(self, loop: Loop, name: str) -> None:
        self.loop = loop
        self.name = name
        self.closed = False
        self._tasks: set[CoroutineTask] = set()

    def spawn(self, coro: Coroutine, name: str) -> CoroutineTask:
        """Start a task that ends with the group; in a group that was cancelled it ends at once."""
        task = self.loop.spawn(coro, f"{self.name}/{name}")
        if self.closed:
            task.cancel()
            return task
        self._tasks.add(task)
        task.waiters.append(lambda: self._ended(task))
        return task

    def run_forever(self, make: Callable[[], Coroutine], name: str, pause: timedelta) -> CoroutineTask:
        """A background task: if it fails, the failure is logged and after `pause` it is begun again."""
        return self.spawn(self._repeat(make, name, pause), name)

    def cancel(self) -> None:
        """End all tasks, and whatever is spawned later."""
        self.closed = True
        for task in list(self._tasks):
            task.cancel()

    def _ended(self, task: CoroutineTask) -> None:
        self._tasks.discard(task)
        if task.error is not None and not isinstance(task.error, CancelledError):
            log.error("event=task_failed task=%s error=%r", task.name, task.error, exc_info=task.error)

    async def _repeat(self, make: Callable[[], Coroutine], name: str, pause: timedelta) -> None:
        while True:
            try:
                await make()
                return
            except Exception as error:
                log.error("event=background_task_failed task=%s error=%r", name, error, exc_info=error)
            await self.loop.sleep(pause)
