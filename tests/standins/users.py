"""Users that act while the day goes on, and ask all nodes closely whether any answers something older."""

from __future__ import annotations

import json
from datetime import timedelta
from typing import TYPE_CHECKING

from badgerroute.transport.http import Client, NoAnswerError, Response

if TYPE_CHECKING:
    from tests.standins.day import Day

SECOND = timedelta(seconds=1)
RANKS = {"queued": 1, "running": 1, "done": 2, "withdrawn": 2}
NOT_TOLD = timedelta(days=1)
LOOKS = 12  # at each node, a few milliseconds apart


class PollingUsers:
    """Once any node has said that a job is accepted, done or cancelled, no question asked later may get less."""

    def __init__(self, day: Day) -> None:
        self.day = day
        self.known: dict[str, int] = {}  # job -> the most that was said of it
        self.asked = 0

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

    def floor(self, ref: str) -> int:
        """The least that an answer may say which is asked for now."""
        return max(self.known.get(ref, 0), RANKS.get(self.day.told.get(ref, ""), 0))

    def _take_in(self, ref: str, response: Response, floor: int) -> str | None:
        """Check an answer against what was known when it was asked for."""
        if response.status == 404:
            if floor:
                self.day.rules.breach("forgotten", f"{ref} after it was known")
            return None
        condition = json.loads(response.body)["condition"]
        if RANKS[condition] < floor:
            self.day.rules.breach("went_back", f"{ref} is {condition} again")
        if RANKS[condition] >= self.floor(ref):  # else it was asked for before what is known by now was said
            self.day._check(ref, condition)
        self.known[ref] = max(self.known.get(ref, 0), RANKS[condition])
        return condition

    async def submit(self, described: dict, cancelled: bool = False) -> None:
        """Until it is accepted; then look, and call it off at once if so wanted."""
        ref = described["ref"]
        self.day.site.jobs[ref] = described
        while True:
            floor = self.floor(ref)
            response = await self.ask("POST", "/v1/jobs", described)
            if response is not None and response.status in (200, 201):
                self.day.accepted.add(ref)
                self._take_in(ref, response, floor)
                break
            if response is not None and response.status in (400, 422):
                self.day.rules.breach("forgotten" if floor else "refused", ref)
                return
            await self.day.loop.sleep(SECOND)
        looks = self.day.group.spawn(self.look(ref), "look")
        if cancelled:
            await self.cancel(ref)
        await looks

    async def cancel(self, ref: str, host: str | None = None) -> str | None:
        day = self.day
        # Not told yet, but other nodes may say so before this user is: a cancellation may be carried out unanswered.
        day.site.cancelled.setdefault(ref, NOT_TOLD)
        while True:
            floor, before = self.floor(ref), day.loop.now()
            response = await self.ask("POST", f"/v1/jobs/{ref}/cancel", host=host)
            if response is not None and response.status == 200:
                condition = self._take_in(ref, response, floor)
                if condition == "withdrawn":
                    day.site.cancelled[ref] = min(before, day.site.cancelled[ref])
                else:
                    day.site.cancelled.pop(ref)
                await self.look(ref)
                return condition
            await day.loop.sleep(SECOND)

    async def look(self, ref: str) -> None:
        """Ask at all nodes, and repeat the submission, within milliseconds."""
        for turn in range(LOOKS):
            for host in self.day.settings:
                self.day.group.spawn(self._look_once(ref, host, turn), "look")
            await self.day.loop.sleep(timedelta(milliseconds=7 * turn))

    async def _look_once(self, ref: str, host: str, turn: int) -> None:
        self.asked += 1
        floor = self.floor(ref)
        if turn % 4 == 3:
            response = await self.ask("POST", "/v1/jobs", self.day.site.jobs[ref], host)
            if response is not None and response.status in (400, 422):
                self.day.rules.breach("forgotten", f"{ref}: {response.status} to a repeat")
        else:
            response = await self.ask("GET", f"/v1/jobs/{ref}", host=host)
        if response is not None and response.status in (200, 404):
            self._take_in(ref, response, floor)

    async def watch_end(self, ref: str, cancelled: bool = False) -> None:
        """Look as soon as the last task has completed; call the job off at that very moment if so wanted."""
        day = self.day
        names = [f"{ref}/{index}" for index in range(day.site.jobs[ref]["heads"])]
        while not all(name in day.site.finished for name in names):
            await day.loop.sleep(timedelta(milliseconds=50))
            if day.told.get(ref) == "withdrawn":
                return
        if cancelled:
            await self.cancel(ref)
        else:
            await self.look(ref)
