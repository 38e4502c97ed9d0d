"""Groups of tasks that are cancelled together."""

import logging
from collections.abc import Callable, Coroutine
from datetime import timedelta

from badgerroute.transport.event_loop import Loop
from badgerroute.transport.futures import CancelledError
from badgerroute.transport.tasks import CoroutineTask

log = logging.getLogger(__name__)


class TaskGroup:
    """A group of tasks that are cancelled together, for example all tasks of a controller."""

    def __init__(self, loop: Loop, name: str) -> None:
        self.loop = loop
        self.name = name
        self.cancelled = False
        self._tasks: set[CoroutineTask] = set()

    def spawn(self, coro: Coroutine, name: str) -> CoroutineTask:
        """Start a task in the group. If the group has already been cancelled, the task is cancelled at once."""
        task = self.loop.spawn(coro, f"{self.name}/{name}")
        if self.cancelled:
            task.cancel()
            return task
        self._tasks.add(task)
        task.waiters.append(lambda: self._on_task_ended(task))
        return task

    def run_forever(self, factory: Callable[[], Coroutine], name: str, restart_delay: timedelta) -> CoroutineTask:
        """Start a background task. When it fails, the error is logged and the task restarts after a delay."""
        return self.spawn(self._run_with_restarts(factory, name, restart_delay), name)

    def cancel(self) -> None:
        """Cancel all tasks of the group, and each task that is spawned in it later."""
        self.cancelled = True
        for task in list(self._tasks):
            task.cancel()

    def _on_task_ended(self, task: CoroutineTask) -> None:
        self._tasks.discard(task)
        if task.error is not None and not isinstance(task.error, CancelledError):
            log.error("event=task_failed task=%s error=%r", task.name, task.error, exc_info=task.error)

    async def _run_with_restarts(self, factory: Callable[[], Coroutine], name: str, restart_delay: timedelta) -> None:
        while True:
            try:
                await factory()
                return
            except Exception as error:
                log.error("event=background_task_failed task=%s error=%r", name, error, exc_info=error)
            await self.loop.sleep(restart_delay)
