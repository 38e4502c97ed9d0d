"""Stand-ins for the cloud and for the workers, one on each machine, after PROTOCOL."""

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from review.standins.web import Answer, Call, Connection, serve

WAITS_FOR_ANSWER = 4.0
LEAST_PAUSE = 0.5


@dataclass
class Task:
    """One attempt of a task on a machine. `ends`: when its present state ends, if that is known."""

    ref: str
    number: int
    attempt: int
    state: str
    since: float
    ends: float | None = None
    cause: str | None = None
    kept: bool = False

    @property
    def name(self) -> str:
        """The task as messages name it."""
        return f"{self.ref}/{self.number}"


@dataclass
class Fleet:
    """What is true of jobs and machines. `note` writes a line into the record of the run."""

    workers_settings: dict[str, float]
    nodes: dict[str, str]  # host name of a controller -> its public address
    note: Callable[[str], None]
    jobs: dict[str, dict[str, Any]] = field(default_factory=dict)  # as submitted
    run_s: dict[str, float] = field(default_factory=dict)  # job -> true run time, if it is not `trek_s`
    machines: dict[str, "Worker"] = field(default_factory=dict)
    results: set[str] = field(default_factory=set)  # completed tasks: results are kept
    on_machine: dict[str, list[str]] = field(default_factory=dict)  # task -> machines that it is on
    starts: dict[str, int] = field(default_factory=dict)  # task -> how often it started on a machine
    broken: list[str] = field(default_factory=list)  # rules seen broken, with what happened

    def started(self, task: Task, worker: "Worker") -> None:
        """A task has its image: from now on it is on its machine."""
        others = self.on_machine.setdefault(task.name, [])
        self.starts[task.name] = self.starts.get(task.name, 0) + 1
        self.note(f"START {task.name} try {task.attempt} on {worker.name}")
        if others:
            self.broken.append(f"ran_twice: {task.name} starts on {worker.name} while on {others}")
            self.note("BROKEN " + self.broken[-1])
        others.append(worker.name)

    def ended(self, task: Task, worker: "Worker", why: str) -> None:
        """A task is no longer on its machine."""
        machines = self.on_machine.get(task.name, [])
        if worker.name in machines:
            machines.remove(worker.name)
            self.note(f"END {task.name} try {task.attempt} on {worker.name}: {why}")

    def attempt_tasks(self, ref: str, attempt: int) -> list[tuple["Worker", Task]]:
        """Return the tasks of one attempt of a gang that have not exited, on machines that run."""
        return [
            (worker, task)
            for worker in self.machines.values()
            for task in worker.tasks
            if worker.goes_on and task.ref == ref and task.attempt == attempt and task.state != "exited"
        ]


class Worker:
    """One machine's worker."""

    def __init__(self, fleet: Fleet, name: str, breed: dict[str, Any], pasture: str, strays: bool) -> None:
        self.fleet, self.name, self.breed, self.pasture, self.strays = fleet, name, breed, pasture, strays
        self.ride, self.tally, self.crook = 1, 0, 0
        self.tasks: list[Task] = []
        self.address = ""
        self._images: dict[str, float] = {}  # image -> when its fetch ends
        self._leased_from = time.monotonic()
        self._news = asyncio.Event()
        self._answered = asyncio.Event()  # set by each answer to a report
        self._goes_on = asyncio.Event()  # not set while the machine hangs
        self._goes_on.set()
        self._running: list[asyncio.Task[None]] = []
        self._server: asyncio.Server | None = None

    async def boot(self) -> None:
        """Open the worker's address and begin to report."""
        self._server, self.address = await serve(self._serve)
        self._leased_from = time.monotonic()
        self._running = [asyncio.create_task(self._report()), asyncio.create_task(self._tick())]
        self.fleet.note(f"UP {self.name}")

    def stop(self, why: str) -> None:
        """The machine is gone, and everything on it."""
        for running in self._running:
            running.cancel()
        if self._server is not None:
            self._server.close()
        for task in self.tasks:
            self.fleet.ended(task, self, why)
        self.tasks = []

    @property
    def goes_on(self) -> bool:
        """Whether the machine does not hang."""
        return self._goes_on.is_set()

    async def hang(self, seconds: float) -> None:
        """Hang from right after the answer to the next report, and go on after some seconds."""
        self._answered.clear()
        await self._answered.wait()
        self._goes_on.clear()
        self.fleet.note(f"HANG {self.name}")
        await asyncio.sleep(seconds)
        self.fleet.note(f"GOES ON {self.name}")
        self._goes_on.set()

    # -- reports

    def report(self) -> dict[str, Any]:
        """Return the next report, with a new number."""
        self.tally += 1
        heads = []
        for task in self.tasks:
            head: dict[str, Any] = {"head": task.name, "try": task.attempt, "condition": task.state}
            if task.cause is not None:
                head |= {"cause": task.cause, "kept": task.kept}
            heads.append(head)
        return {
            "mount": self.name,
            "address": self.address,
            "breed": self.breed["label"],
            "pasture": self.pasture,
            "strays": self.strays,
            "ride": self.ride,
            "tally": self.tally,
            "crook": self.crook,
            "recall_s": None,
            "heads": heads,
        }

    async def _report(self) -> None:
        nodes, every = list(self.fleet.nodes), self.fleet.workers_settings["report_s"]
        node = random.choice(nodes)
        connection = Connection(self.fleet.nodes[node])
        while True:
            await self._goes_on.wait()
            self._news.clear()
            sent, ride = time.monotonic(), self.ride
            answer = await connection.request("POST", "/checkin", self.report(), WAITS_FOR_ANSWER)
            if not self._goes_on.is_set():
                await self._goes_on.wait()
                answer = None if time.monotonic() - sent > WAITS_FOR_ANSWER else answer
            status, body = answer if answer is not None else (0, None)
            target = body.get("trail_boss") if status == 421 and isinstance(body, dict) else None
            if status == 200:
                self._take(body, sent, ride)
                await asyncio.sleep(LEAST_PAUSE)
                pause = every * random.uniform(0.75, 1.25) - (time.monotonic() - sent)
                try:
                    await asyncio.wait_for(self._news.wait(), max(0.01, pause))
                except TimeoutError:
                    pass
                continue
            connection.close()
            if target in self.fleet.nodes and target != node:
                node = target
                await asyncio.sleep(random.uniform(0, 0.5))
            else:
                node = nodes[(nodes.index(node) + 1) % len(nodes)]
                await asyncio.sleep(1)
            connection = Connection(self.fleet.nodes[node])

    def _take(self, body: Any, sent: float, ride: int) -> None:
        """Take the 200 answer to a report, unless its token is too low or it belongs to an earlier session."""
        if not isinstance(body, dict) or body.get("crook", -1) < self.crook or ride != self.ride:
            return
        if body["crook"] > self.crook:
            self.crook = body["crook"]
            self._news.set()
        self._leased_from = sent
        self._execute(body.get("calls", []))
        self._answered.set()

    async def _serve(self, call: Call) -> Answer:
        await self._goes_on.wait()
        if call.path == "/status":
            return 200, self.report()
        body = call.body
        if not isinstance(body, dict) or "crook" not in body or "ride" not in body:
            return 400, {}
        if body["crook"] < self.crook or body["ride"] != self.ride:
            return 409, self.report()
        self.crook = body["crook"]
        self._execute(body.get("calls", []))
        return 200, self.report()

    # -- commands

    def _execute(self, calls: list[dict[str, Any]]) -> None:
        for call in calls:
            ref, _, number = call["head"].rpartition("/")
            found = [task for task in self.tasks if task.name == call["head"] and task.attempt == call["try"]]
            if call["call"] == "start" and not found:
                self._start(ref, int(number), call["try"])
            elif call["call"] == "halt" and found:
                self._halt(found[0], call.get("settle_s", 0.0))
            elif call["call"] == "clear" and found and found[0].state == "exited":
                self.tasks.remove(found[0])

    def _start(self, ref: str, number: int, attempt: int) -> None:
        now = time.monotonic()
        task = Task(ref, number, attempt, "fetching", now)
        job = self.fleet.jobs.get(ref)
        busy = any(other.name == task.name and other.state != "exited" for other in self.tasks)
        taken = [self.fleet.jobs[other.ref] for other in self.tasks if other.state != "exited"]
        self.tasks.append(task)
        self._news.set()
        if job is None:
            task.state, task.cause = "exited", "no_such"
        elif busy:
            task.state, task.cause = "exited", "in_use"
        elif any(
            job[need] + sum(other[need] for other in taken) > self.breed[need] + 1e-6
            for need in ("cpus", "accelerators", "ram_gb")
        ):
            task.state, task.cause = "exited", "no_room"
        else:
            fetch_s = job["image_gb"] / self.breed["fetch_gb_per_s"]
            task.ends = max(now, self._images.setdefault(job["brand"], now + fetch_s))

    def _halt(self, task: Task, settle_s: float) -> None:
        job = self.fleet.jobs[task.ref]
        if task.state == "running" and job["waypoint_s"] and settle_s >= job["pen_s"]:
            task.state, task.ends = "flushing", time.monotonic() + job["pen_s"]
        elif task.state != "exited" and (task.state != "flushing" or settle_s == 0):
            self.exit(task, "stopped")
        self._news.set()

    def exit(self, task: Task, cause: str, kept: bool = False) -> None:
        """End a task for the given cause."""
        task.state, task.cause, task.kept = "exited", cause, kept
        self.fleet.ended(task, self, cause)
        self._news.set()

    # -- time

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            await self._goes_on.wait()
            now = time.monotonic()
            if now - self._leased_from > self.fleet.workers_settings["lease_s"]:
                self.fleet.note(f"LEASE of {self.name} is over: session {self.ride + 1}")
                for task in self.tasks:
                    self.fleet.ended(task, self, "lease over")
                self.tasks, self._leased_from = [], now
                self.ride += 1
                self._news.set()
            for task in list(self.tasks):
                self._advance(task, now)

    def _advance(self, task: Task, now: float) -> None:
        if task.state == "exited":
            return
        job = self.fleet.jobs[task.ref]
        due = task.ends is not None and now >= task.ends
        if task.state == "fetching" and due:
            self.fleet.started(task, self)
            task.state, task.since, task.ends = "waiting", now, None
            self._news.set()
            if task.name in self.fleet.results:
                self.exit(task, "done")
        elif task.state == "waiting":
            self._try_to_run(task, job, now)
        elif task.state == "running" and due:
            numbers = range(job["heads"]) if job["gait"] == "group" else (task.number,)
            self.fleet.results.update(f"{task.ref}/{number}" for number in numbers)
            self.exit(task, "done")
        elif task.state == "running" and job["gait"] == "group" and f"{task.ref}/0" in self.fleet.results:
            self.exit(task, "done")
        elif task.state == "running" and job["gait"] == "group":
            if len(self.fleet.attempt_tasks(task.ref, task.attempt)) < job["heads"]:
                self.exit(task, "mates_gone")
        elif task.state == "flushing" and due:
            self.exit(task, "stopped", kept=True)

    def _try_to_run(self, task: Task, job: dict[str, Any], now: float) -> None:
        """Let an array's task run at once, and a gang's tasks once the last of them has its image."""
        mates = self.fleet.attempt_tasks(task.ref, task.attempt) if job["gait"] == "group" else [(self, task)]
        complete = len(mates) == job["heads"] and all(mate.state != "fetching" for _, mate in mates)
        if job["gait"] == "array" or complete:
            for worker, mate in mates:
                mate.state, mate.since = "running", now
                mate.ends = now + self.fleet.run_s.get(task.ref, job["trek_s"])
                worker._news.set()
                self.fleet.note(f"RUN {mate.name} try {mate.attempt} on {worker.name}")
        elif now - task.since > self.fleet.workers_settings["gang_wait_s"]:
            self.exit(task, "alone")


class Cloud:
    """Rents machines. `capacity`: how many machines (label, zone, spot) exist beside those that are rented already."""

    def __init__(self, fleet: Fleet, breeds: list[dict[str, Any]], capacity: dict[tuple[str, str, bool], int]) -> None:
        self.fleet, self.breeds, self.capacity = fleet, breeds, capacity
        self.boot_s: Callable[[str], float] = lambda name: 20.0
        self._rented: dict[str, tuple[str, str, bool, float]] = {}
        self._answers: dict[str, list[str]] = {}
        self._names = 0
        self._booting: dict[str, asyncio.Task[None]] = {}

    async def start(self) -> str:
        """Serve the cloud's API; return its address."""
        return (await serve(self._handle))[1]

    async def add(self, label: str, pasture: str, strays: bool, number: int, boot_s: float) -> str:
        """Rent a machine with the given number in its name, as if it had been rented before the run."""
        name = f"host-{number:06d}"
        self._names = max(self._names, number)
        self._rent(name, label, pasture, strays, boot_s)
        return name

    def _rent(self, name: str, label: str, pasture: str, strays: bool, boot_s: float) -> None:
        self._rented[name] = (label, pasture, strays, time.monotonic())
        self._booting[name] = asyncio.create_task(self._boot(name, boot_s))

    async def _boot(self, name: str, boot_s: float) -> None:
        await asyncio.sleep(boot_s)
        label, pasture, strays, _ = self._rented[name]
        breed = next(breed for breed in self.breeds if breed["label"] == label)
        worker = Worker(self.fleet, name, breed, pasture, strays)
        self.fleet.machines[name] = worker
        await worker.boot()

    def lose(self, name: str, why: str) -> None:
        """A machine is gone."""
        label, pasture, strays, _ = self._rented.pop(name)
        pool = (label, pasture, strays)
        self.capacity[pool] = self.capacity.get(pool, 0) + 1
        self._booting.pop(name).cancel()
        worker = self.fleet.machines.pop(name, None)
        if worker is not None:
            worker.stop(why)
        self.fleet.note(f"GONE {name}: {why}")

    async def _handle(self, call: Call) -> Answer:
        await asyncio.sleep(0.05)
        if call.path == "/catalog":
            return 200, {"breeds": self.breeds}
        if call.path == "/rentals/delete":
            for name in call.body["mounts"]:
                if name in self._rented:
                    self.lose(name, "deleted")
            return 200, {}
        if call.method == "POST":
            return self._answer_rental(call.body)
        rows = [
            {
                "ref": name,
                "address": self.fleet.machines[name].address if name in self.fleet.machines else "127.0.0.1:1",
                "breed": label,
                "pasture": pasture,
                "strays": strays,
                "condition": "running" if name in self.fleet.machines else "booting",
                "held_s": time.monotonic() - rented_at,
            }
            for name, (label, pasture, strays, rented_at) in sorted(self._rented.items())
            if name > call.query.get("since", "")
        ]
        limit = int(call.query.get("limit", "500"))
        return 200, {"mounts": rows[:limit], "more": len(rows) > limit}

    def _answer_rental(self, body: dict[str, Any]) -> Answer:
        if body["hire"] not in self._answers:
            pool = (body["breed"], body["pasture"], body["strays"])
            count = min(body["number"], self.capacity.get(pool, 0))
            if count <= 0:
                return 503, {"error": "no capacity"}
            self.capacity[pool] -= count
            names = []
            for _ in range(count):
                self._names += 1
                names.append(f"host-{self._names:06d}")
                self._rent(names[-1], *pool, self.boot_s(names[-1]))
            self._answers[body["hire"]] = names
            self.fleet.note(f"RENTED {body['hire']}: {names}")
        return 200, {"mounts": self._answers[body["hire"]]}
