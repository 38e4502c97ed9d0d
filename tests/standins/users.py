"""Users that act while the day goes on, and ask all nodes closely whether any answers something older."""

from __future__ import annotations

import json
from datetime import timedelta
from typing import TYPE_CHECKING

from badgerroute.transport.http import Client, NoAnswerError, Response

if TYPE_CHECKING:
    from tests.standins.day import Day

SECOND = timedelta(seconds=1)
STAGES = {"queued": 1, "running": 1, "done": 2, "withdrawn": 2}
NOT_CONFIRMED = timedelta(days=1)
POLL_ROUNDS = 12  # at each node, a few milliseconds apart


class PollingUsers:
    """Once any node has said that a job is accepted, done or cancelled, no question asked later may get less."""

    def __init__(self, day: Day) -> None:
        self.day = day
        self.known_stage: dict[str, int] = {}  # job -> the most that was said of it
        self.poll_count = 0

    async def ask(self, method: str, path: str, body: object = None, host: str | None = None) -> Response | None:
        day = self.day
        client = Client(day.loop, day.user, f"{host or day.random.choice(list(day.settings))}:8080")
        data = b"" if body is None else json.dumps(body).encode()
        try:
            return await client.request(method, path, data, 5 * SECOND, fresh=True)
        except NoAnswerError:
            return None
        finally:
            client.drop()

    def minimum_stage(self, ref: str) -> int:
        """The least that an answer may say which is asked for now."""
        return max(self.known_stage.get(ref, 0), STAGES.get(self.day.last_conditions.get(ref, ""), 0))

    def _check_response(self, ref: str, response: Response, minimum: int) -> str | None:
        """Check an answer against what was known when it was asked for."""
        if response.status == 404:
            if minimum:
                self.day.rules.report_violation("forgotten", f"{ref} after it was known")
            return None
        condition = json.loads(response.body)["condition"]
        if STAGES[condition] < minimum:
            self.day.rules.report_violation("went_back", f"{ref} is {condition} again")
        if STAGES[condition] >= self.minimum_stage(ref):  # else it was asked for before what is known by now was said
            self.day._check_condition(ref, condition)
        self.known_stage[ref] = max(self.known_stage.get(ref, 0), STAGES[condition])
        return condition

    async def submit(self, described: dict, cancelled: bool = False) -> None:
        """Until it is accepted; then look, and call it off at once if so wanted."""
        ref = described["ref"]
        self.day.site.jobs[ref] = described
        while True:
            minimum = self.minimum_stage(ref)
            response = await self.ask("POST", "/v1/jobs", described)
            if response is not None and response.status in (200, 201):
                self.day.accepted.add(ref)
                self._check_response(ref, response, minimum)
                break
            if response is not None and response.status in (400, 422):
                self.day.rules.report_violation("forgotten" if minimum else "refused", ref)
                return
            await self.day.loop.sleep(SECOND)
        polling = self.day.group.spawn(self.poll_all_hosts(ref), "look")
        if cancelled:
            await self.cancel(ref)
        await polling

    async def cancel(self, ref: str, host: str | None = None) -> str | None:
        day = self.day
        # Not told yet, but other nodes may say so before this user is: a cancellation may be carried out unanswered.
        day.site.cancelled.setdefault(ref, NOT_CONFIRMED)
        while True:
            minimum, before = self.minimum_stage(ref), day.loop.now()
            response = await self.ask("POST", f"/v1/jobs/{ref}/cancel", host=host)
            if response is not None and response.status == 200:
                condition = self._check_response(ref, response, minimum)
                if condition == "withdrawn":
                    day.site.cancelled[ref] = min(before, day.site.cancelled[ref])
                else:
                    day.site.cancelled.pop(ref)
                await self.poll_all_hosts(ref)
                return condition
            await day.loop.sleep(SECOND)

    async def poll_all_hosts(self, ref: str) -> None:
        """Ask at all nodes, and repeat the submission, within milliseconds."""
        for turn in range(POLL_ROUNDS):
            for host in self.day.settings:
                self.day.group.spawn(self._poll_host(ref, host, turn), "look")
            await self.day.loop.sleep(timedelta(milliseconds=7 * turn))

    async def _poll_host(self, ref: str, host: str, turn: int) -> None:
        self.poll_count += 1
        minimum = self.minimum_stage(ref)
        if turn % 4 == 3:
            response = await self.ask("POST", "/v1/jobs", self.day.site.jobs[ref], host)
            if response is not None and response.status in (400, 422):
                self.day.rules.report_violation("forgotten", f"{ref}: {response.status} to a repeat")
        else:
            response = await self.ask("GET", f"/v1/jobs/{ref}", host=host)
        if response is not None and response.status in (200, 404):
            self._check_response(ref, response, minimum)

    async def poll_at_completion(self, ref: str, cancelled: bool = False) -> None:
        """Look as soon as the last task has completed; call the job off at that very moment if so wanted."""
        day = self.day
        names = [f"{ref}/{index}" for index in range(day.site.jobs[ref]["heads"])]
        while not all(name in day.site.finished for name in names):
            await day.loop.sleep(timedelta(milliseconds=50))
            if day.last_conditions.get(ref) == "withdrawn":
                return
        if cancelled:
            await self.cancel(ref)
        else:
            await self.poll_all_hosts(ref)
