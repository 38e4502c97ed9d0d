"""The event loop: re-exports the loop, tasks, futures, timers and semaphores for the other packages."""

from badgerroute.transport.event_loop import Loop
from badgerroute.transport.futures import CancelledError, Future, TimeLimitError
from badgerroute.transport.poller import Poller, SelectorPoller, VirtualPoller
from badgerroute.transport.semaphore import Semaphore
from badgerroute.transport.task_group import TaskGroup
from badgerroute.transport.tasks import CoroutineTask
from badgerroute.transport.timers import Timer

__all__ = [
    "CancelledError",
    "CoroutineTask",
    "Future",
    "Loop",
    "Poller",
    "SelectorPoller",
    "Semaphore",
    "TaskGroup",
    "TimeLimitError",
    "Timer",
    "VirtualPoller",
]
