"""Late copies of messages to workers: of answers to heartbeats and of direct commands that were carried out before."""

from collections.abc import Callable
from datetime import timedelta

from tests.standins.day import Day
from tests.standins.workers import Worker

LATEST_ANSWER_COPY_S = 4.0  # workers drop later answers
LATEST_COMMAND_COPY_S = 60.0


class LateCopies:
    """Delivers each answer and each direct command that a worker takes again, at `copies` random later times.

    A copy goes to the machine that has the name then, whether or not it was restarted meanwhile.
    """

    def __init__(self, day: Day, copies: int = 2) -> None:
        self._day, self._copies = day, copies
        self.copied_starts = 0  # start commands in the copies of answers
        day.site.on_answer_taken = self._copy_answer
        day.site.on_command_taken = self._copy_command

    def _copy_answer(self, worker: Worker, sent: timedelta, message: dict) -> None:
        incarnation, name = worker.incarnation, worker.name
        if not message["calls"]:
            return

        def deliver() -> None:
            current = self._day.site.workers.get(name)
            if current is not None:
                self.copied_starts += sum(call["call"] == "start" for call in message["calls"])
                current.take_answer_copy(sent, incarnation, message)

        self._deliver_later(deliver, LATEST_ANSWER_COPY_S)

    def _copy_command(self, worker: Worker, body: dict) -> None:
        name = worker.name

        def deliver() -> None:
            current = self._day.site.workers.get(name)
            if current is not None and not current.unresponsive:
                current.take_command(body)

        self._deliver_later(deliver, LATEST_COMMAND_COPY_S)

    def _deliver_later(self, deliver: Callable[[], None], latest_s: float) -> None:
        for _ in range(self._copies):
            self._day.loop.later(timedelta(seconds=self._day.random.uniform(0.0, latest_s)), deliver)
