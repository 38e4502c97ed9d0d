"""Users that submit, cancel and poll jobs concurrently, and check that no controller returns an outdated answer."""

from __future__ import annotations

import json
from datetime import timedelta
from typing import TYPE_CHECKING

from badgerroute.transport.http import Client, NoAnswerError, Response

if TYPE_CHECKING:
    from tests.standins.day import Day

SECOND = timedelta(seconds=1)
STAGES = {"queued": 1, "running": 1, "done": 2, "withdrawn": 2}
NOT_CONFIRMED = timedelta(days=1)  # time of an unconfirmed cancellation; no simulated run lasts as long
POLL_ROUNDS = 12  # how many requests each controller gets, a few milliseconds apart


class PollingUsers:
    """Users that expect linearizable answers.

    Once any controller has reported that a job is accepted, done or cancelled, the answer to a request sent afterwards
    must not report an earlier stage of the job (see STAGES).
    """

    def __init__(self, day: Day) -> None:
        self.day = day
        self.known_stage: dict[str, int] = {}  # job -> the highest stage that any controller has reported
        self.poll_count = 0

    async def ask(self, method: str, path: str, body: object = None, host: str | None = None) -> Response | None:
        """Send one request to a controller (by default a random one); return the response, or None without one."""
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
        """Return the lowest stage that the answer to a request sent now is allowed to report; 0 is "unknown job"."""
        return max(self.known_stage.get(ref, 0), STAGES.get(self.day.last_conditions.get(ref, ""), 0))

    def _check_response(self, ref: str, response: Response, minimum: int) -> str | None:
        """Check a response against `minimum`, the lowest stage allowed at the request; return the job's condition."""
        if response.status == 404:
            if minimum:
                self.day.rules.report_violation("forgotten", f"{ref}: 404 after it was accepted")
            return None
        condition = json.loads(response.body)["condition"]
        if STAGES[condition] < minimum:
            self.day.rules.report_violation("went_back", f"{ref} is {condition} after a later stage was reported")
        if STAGES[condition] >= self.minimum_stage(
            ref
        ):  # otherwise another answer reported a later stage after the request was sent
            self.day._check_condition(ref, condition)
        self.known_stage[ref] = max(self.known_stage.get(ref, 0), STAGES[condition])
        return condition

    async def submit(self, description: dict, cancelled: bool = False) -> None:
        """Submit a job until it is accepted, then poll it at all controllers; with `cancelled`, cancel it at once."""
        ref = description["ref"]
        self.day.site.jobs[ref] = description
        while True:
            minimum = self.minimum_stage(ref)
            response = await self.ask("POST", "/v1/jobs", description)
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
        """Request a cancellation until it is answered; then poll all controllers. Return the job's condition."""
        day = self.day
        # A cancellation might take effect although its request gets no answer. Other controllers can then report the
        # job as cancelled before this user gets an answer.
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
        """Poll a job at all controllers at short intervals, and repeat its submission in between."""
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
                self.day.rules.report_violation("forgotten", f"{ref}: {response.status} for a repeated submission")
        else:
            response = await self.ask("GET", f"/v1/jobs/{ref}", host=host)
        if response is not None and response.status in (200, 404):
            self._check_response(ref, response, minimum)

    async def poll_at_completion(self, ref: str, cancelled: bool = False) -> None:
        """Poll a job at all controllers as soon as its last task completes; with `cancelled`, cancel it instead."""
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
