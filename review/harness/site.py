"""Stand-ins of the cloud and the workers, the truth about what runs, and the rules of PROTOCOL."""

import asyncio
import json
import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from review.harness.http import MAX_LINE, Answer, Client, Server


@dataclass
class Limits:
    """The times and the machine type of a deployment."""

    report_s: float = 1.0
    lease_s: float = 11.0
    gang_wait_s: float = 45.0
    gang_peer_s: float = 4.0
    cancel_s: float = 36.0
    list_lag_s: float = 6.0
    boot_s: float = 3.0
    fetch_gb_per_s: float = 0.8
    breed: str = "ogun-8"
    cpus: float = 8.0
    ram_gb: float = 32.0
    capacity: int = 40  # machines of the type in each zone, ordinary or spot
    zones: tuple[str, ...] = ("lagos-west", "lagos-island")


@dataclass
class Task:
    """One attempt of a task on a machine."""

    ref: str
    index: int
    attempt: int
    condition: str
    since: float
    ends: float | None = None
    cause: str | None = None
    kept: bool = False

    @property
    def name(self) -> str:
        """The task's name on the wire."""
        return f"{self.ref}/{self.index}"

    def report(self) -> dict[str, Any]:
        """Return the task as it stands in a report."""
        entry: dict[str, Any] = {"head": self.name, "try": self.attempt, "condition": self.condition}
        if self.cause is not None:
            entry["cause"] = self.cause
            if self.kept:
                entry["kept"] = True
        return entry


@dataclass
class Machine:
    """A machine as the cloud knows it."""

    name: str
    pasture: str
    strays: bool
    rented: float
    up: float | None = None
    gone: float | None = None
    worker: "Worker | None" = None


class Site:
    """The jobs as their users described them, the machines, and which task is on which machine."""

    def __init__(self, limits: Limits, team_limits: dict[str, float], note: Callable[..., None]) -> None:
        self.limits, self.team_limits, self.note = limits, team_limits, note
        self.jobs: dict[str, dict[str, Any]] = {}
        self.hosts: dict[str, str] = {}  # controller -> its public address
        self.machines: dict[str, Machine] = {}
        self.rentals: dict[str, list[str]] = {}
        self.finished: set[str] = set()
        self.cancelled: dict[str, float] = {}  # job -> when its user was told
        self.on: dict[str, Worker] = {}  # task -> the machine that it is on
        self.broken: list[str] = []
        self.starts: list[tuple[float, str, str, int]] = []  # time, task, machine, attempt
        self.cloud_calls: list[tuple[float, str, str, Any, int]] = []  # time, controller, path, body, status
        self.cloud_calls_from = ""  # the controller whose request the cloud carries out
        self.cloud_down = False
        self.cloud_latency = 0.02
        self.cuts: set[tuple[str, str]] = set()  # (machine, controller): the worker can't reach the controller
        self.random = random.Random(1)
        self._count = 0

    def breaks(self, rule: str, text: str) -> None:
        """Record that a rule was broken."""
        self.broken.append(f"{rule}: {text}")
        self.note("BROKEN", rule, text)

    # -- the cloud

    async def serve_cloud(self, host: str) -> str:
        """Open the cloud's address for one controller."""

        async def handle(method: str, path: str, query: dict[str, str], body: bytes) -> Answer | None:
            message = json.loads(body) if body else query
            if self.cloud_down:
                answer: Answer = (503, {"error": "trouble"})
            else:
                self.cloud_calls_from = host
                answer = self._cloud(method, path, message, host)
            self.cloud_calls.append((time.monotonic(), host, f"{method} {path}", message, answer[0]))
            await asyncio.sleep(self.cloud_latency)
            return answer

        return f"127.0.0.1:{await Server(handle).start()}"

    def _cloud(self, method: str, path: str, message: dict[str, Any], host: str) -> Answer:
        limits = self.limits
        if path == "/catalog":
            breed = {
                "label": limits.breed,
                "cpus": limits.cpus,
                "accelerators": 0,
                "ram_gb": limits.ram_gb,
                "local_gb": 40,
                "fetch_gb_per_s": limits.fetch_gb_per_s,
                "price": 0.37,
                "low_price": 0.11,
                "startup_s": limits.boot_s,
                "pastures": list(limits.zones),
            }
            return 200, {"breeds": [breed]}
        if path == "/rentals/delete":
            self.note("cloud", host, "deletes", *message["mounts"])
            for name in message["mounts"]:
                self.remove(name)
            return 200, {}
        if method == "POST":
            return self._rent(message, host)
        return self._list(message)

    def _rent(self, message: dict[str, Any], host: str) -> Answer:
        if message["hire"] not in self.rentals:
            taken = sum(
                machine.gone is None and (machine.pasture, machine.strays) == (message["pasture"], message["strays"])
                for machine in self.machines.values()
            )
            number = min(message["number"], 50, max(0, self.limits.capacity - taken))
            if number == 0:
                return 503, {"error": "no capacity"}
            names = [self.rent(message["pasture"], message["strays"]).name for _ in range(number)]
            self.rentals[message["hire"]] = names
            self.note("cloud", host, "rents", message["hire"], *names)
        return 200, {"mounts": self.rentals[message["hire"]]}

    def rent(self, pasture: str, strays: bool = False, boot_s: float | None = None) -> Machine:
        """Add a machine, whose worker starts when it has booted."""
        self._count += 1
        machine = Machine(f"host-{self._count:06d}", pasture, strays, time.monotonic())
        self.machines[machine.name] = machine
        asyncio.get_running_loop().create_task(self._boot(machine, self.limits.boot_s if boot_s is None else boot_s))
        return machine

    async def _boot(self, machine: Machine, boot_s: float) -> None:
        await asyncio.sleep(boot_s)
        if machine.gone is None:
            machine.up = time.monotonic()
            machine.worker = Worker(self, machine)
            await machine.worker.start()

    def remove(self, name: str) -> None:
        """Delete a machine with everything on it."""
        machine = self.machines.get(name)
        if machine is not None and machine.gone is None:
            machine.gone = time.monotonic()
            if machine.worker is not None:
                machine.worker.close("the machine is gone")

    def _list(self, message: dict[str, Any]) -> Answer:
        at = time.monotonic() - self.limits.list_lag_s
        rows = []
        for name, machine in sorted(self.machines.items()):
            if name > message.get("since", "") and machine.rented <= at and (machine.gone is None or machine.gone > at):
                up = machine.up is not None and machine.up <= at
                port = machine.worker.port if machine.worker else 9
                rows.append(
                    {
                        "ref": name,
                        "address": f"127.0.0.1:{port}",
                        "breed": self.limits.breed,
                        "pasture": machine.pasture,
                        "strays": machine.strays,
                        "condition": "running" if up else "booting",
                        "held_s": at - machine.rented,
                    }
                )
        page = rows[: int(message.get("limit", 500))]
        return 200, {"mounts": page, "more": len(page) < len(rows)}

    # -- the rules

    def workers(self) -> list["Worker"]:
        """Return the workers of the machines that are up."""
        return [machine.worker for machine in self.machines.values() if machine.worker and machine.gone is None]

    def done(self, ref: str) -> bool:
        """Return whether all tasks of a job are done."""
        return all(f"{ref}/{index}" in self.finished for index in range(self.jobs[ref]["heads"]))

    def task_on(self, worker: "Worker", task: Task) -> None:
        """Record that a task is on its machine from now on, and check the rules about that."""
        job, now = self.jobs[task.ref], time.monotonic()
        self.starts.append((now, task.name, worker.name, task.attempt))
        self.note("on", task.name, worker.name, f"try={task.attempt}", f"crook={worker.crook}")
        other = self.on.get(task.name)
        if other is not None and other is not worker:
            self.breaks("ran_twice", f"{task.name} starts on {worker.name} while it is on {other.name}")
        self.on[task.name] = worker
        if (job.get("breeds") is not None and self.limits.breed not in job["breeds"]) or (
            job.get("pasture") not in (None, worker.machine.pasture) or (worker.machine.strays and not job["strays"])
        ):
            self.breaks("wrong_place", f"{task.name} on {worker.name}")
        zones = [on.machine.pasture for name, on in self.on.items() if name.rpartition("/")[0] == task.ref]
        if (job["together"] and len(set(zones)) > 1) or (
            job["spread"] and zones.count(worker.machine.pasture) > (job["heads"] + 1) // 2
        ):
            self.breaks("wrong_place", f"{task.name} in {worker.machine.pasture}, the job is in {zones}")
        used = sum(self.jobs[name.rpartition("/")[0]]["cpus"] for name in self.on if self._crew(name) == job["crew"])
        limit = self.team_limits[job["crew"]]
        if limit and used > limit + 1e-6:
            self.breaks("quota", f"{job['crew']} uses {used} of {limit}")
        if not all(self.done(ref) for ref in job.get("follows") or ()):
            self.breaks("too_early", task.name)
        self.check_cancelled(task.name)

    def _crew(self, name: str) -> str:
        return str(self.jobs[name.rpartition("/")[0]]["crew"])

    def task_off(self, worker: "Worker", task: Task, why: str) -> None:
        """Record that a task is no longer on its machine."""
        if self.on.get(task.name) is worker:
            del self.on[task.name]
            self.note("off", task.name, worker.name, why)

    def check_cancelled(self, name: str) -> None:
        """Check that a task that is on a machine is not one that was called off too long ago."""
        told = self.cancelled.get(name.rpartition("/")[0])
        if told is not None and time.monotonic() - told > self.limits.cancel_s:
            self.breaks("ran_cancelled", f"{name} {time.monotonic() - told:.1f} s after the user was told")
            del self.cancelled[name.rpartition("/")[0]]

    async def watch_cancelled(self) -> None:
        """Check the tasks of cancelled jobs all the time."""
        while True:
            await asyncio.sleep(0.2)
            for name in list(self.on):
                self.check_cancelled(name)


@dataclass
class Faults:
    """What is wrong with one machine."""

    hung: bool = False  # it stands still; its clock goes on
    deaf: bool = False  # answers and direct commands to it are lost
    mute: bool = False  # it opens no connection to a controller
    errors: bool = False  # every task fails on it


class Worker:
    """The worker on one machine: PROTOCOL, "Workers -> controller nodes" and "Controller nodes -> workers"."""

    def __init__(self, site: Site, machine: Machine) -> None:
        self.site, self.machine, self.name = site, machine, machine.name
        self.ride, self.tally, self.crook = 1, 0, 0
        self.recall_at: float | None = None
        self.tasks: dict[tuple[str, int, int], Task] = {}
        self.images: set[str] = set()
        self.fetching: dict[str, float] = {}  # image -> when it is there
        self.faults = Faults()
        self.lease_from = time.monotonic()
        self.port, self.closed = 0, False
        self.long_lines = 0  # answers with a line above the limit
        self.long_reports = 0  # reports above the limit that could not be sent
        self.kills = 0
        self._server = Server(self._handle)
        self._clients: dict[str, Client] = {}
        self._changed = asyncio.Event()
        self._running: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Begin to report and to take commands."""
        self.port = await self._server.start()
        self.lease_from = time.monotonic()
        loop = asyncio.get_running_loop()
        self._running = [loop.create_task(self._report_all()), loop.create_task(self._tick())]

    def close(self, why: str) -> None:
        """End everything on the machine at once."""
        self.closed = True
        for task in self.tasks.values():
            if task.condition != "exited":
                self.site.task_off(self, task, why)
        self.tasks.clear()
        self._server.close()
        for running in self._running:
            running.cancel()

    # -- reports

    def report(self) -> dict[str, Any]:
        """Return the next message with the task list."""
        self.tally += 1
        recall = None if self.recall_at is None else max(0.0, self.recall_at - time.monotonic())
        return {
            "mount": self.name,
            "address": f"127.0.0.1:{self.port}",
            "breed": self.site.limits.breed,
            "pasture": self.machine.pasture,
            "strays": self.machine.strays,
            "ride": self.ride,
            "tally": self.tally,
            "crook": self.crook,
            "recall_s": recall,
            "heads": [task.report() for task in self.tasks.values()],
        }

    async def _report_all(self) -> None:
        hosts = sorted(self.site.hosts)
        node = int(self.name[-6:]) % len(hosts)
        last = 0.0
        while True:
            await self._awake()
            wait = 0.5 - (time.monotonic() - last)
            if wait > 0:
                await asyncio.sleep(wait)
                continue
            self._changed.clear()
            last = time.monotonic()
            outcome = await self._report_once(hosts[node])
            await self._awake()
            if outcome == "stay":
                pause = self.site.limits.report_s * self.site.random.uniform(0.75, 1.25)
                try:
                    async with asyncio.timeout(max(0.0, pause - (time.monotonic() - last))):
                        await self._changed.wait()
                except TimeoutError:
                    pass
            elif outcome in hosts and outcome != hosts[node]:
                node = hosts.index(outcome)
                last = 0.0
                await asyncio.sleep(self.site.random.uniform(0, 0.5))
            else:
                node = (node + 1) % len(hosts)
                await asyncio.sleep(1.0)

    async def _report_once(self, host: str) -> str:
        """Send a report. Return "stay", the controller to go to, or "next"."""
        sent, ride = time.monotonic(), self.ride
        message = self.report()
        if len(json.dumps(message, separators=(",", ":"))) > MAX_LINE:
            self.long_reports += 1
            self.site.note("worker", self.name, "its report is longer than a body may be", len(message["heads"]))
            return "next"
        if self.faults.mute or (self.name, host) in self.site.cuts:
            await asyncio.sleep(4.0)
            return "next"
        client = self._clients.setdefault(host, Client(self.site.hosts[host]))
        try:
            status, body = await client.request("POST", "/checkin", message, 4.0)
        except OSError:
            return "next"
        await self._awake()
        if self.faults.deaf or time.monotonic() - sent > 4.0:
            client.close()
            return "next"
        if status == 421:
            client.close()
            return str(json.loads(body).get("trail_boss", "next"))
        if status != 200:
            return "next"
        if max(map(len, body.split(b"\n"))) > MAX_LINE:
            self.long_lines += 1
            self.site.note("worker", self.name, "drops an answer with a line of", len(body), "bytes")
            return "next"
        answer = json.loads(body)
        if ride == self.ride and answer.get("crook", -1) >= self.crook:
            self.crook, self.lease_from = answer["crook"], sent
            for call in answer.get("calls", []):
                self._carry_out(call)
        return "stay"

    async def _awake(self) -> None:
        while self.faults.hung:
            await asyncio.sleep(0.05)

    # -- commands

    async def _handle(self, method: str, path: str, query: dict[str, str], body: bytes) -> Answer | None:
        await self._awake()
        if self.closed or self.faults.deaf:
            await asyncio.sleep(30.0)
            return None
        self._check_lease()
        if path == "/status":
            return 200, self.report()
        message = json.loads(body)
        if "crook" not in message or "ride" not in message:
            return 400, {"error": "crook or ride is missing"}
        if message["crook"] < self.crook or message["ride"] != self.ride:
            return 409, self.report()
        if message["crook"] > self.crook:
            self.crook = message["crook"]
        for call in message.get("calls", []):
            self._carry_out(call)
        return 200, self.report()

    def _carry_out(self, call: dict[str, Any]) -> None:
        ref, _, index = call["head"].rpartition("/")
        key = (ref, int(index), call["try"])
        task = self.tasks.get(key)
        if call["call"] == "start":
            if task is None:
                self.tasks[key] = self._begin(*key)
                self._changed.set()
        elif task is not None and call["call"] == "clear":
            if task.condition == "exited":
                del self.tasks[key]
        elif task is not None and task.condition != "exited":
            self._halt(task, float(call.get("settle_s", 0.0)))

    def _begin(self, ref: str, index: int, attempt: int) -> Task:
        now, job = time.monotonic(), self.site.jobs.get(ref)
        task = Task(ref, index, attempt, "fetching", now)
        present = [other for other in self.tasks.values() if other.condition != "exited"]
        if job is None or index >= job["heads"]:
            task.condition, task.cause = "exited", "no_such"
        elif any((other.ref, other.index) == (ref, index) for other in present):
            task.condition, task.cause = "exited", "in_use"
        elif (
            sum(self.site.jobs[other.ref]["cpus"] for other in present) + job["cpus"] > self.site.limits.cpus + 1e-6
            or sum(self.site.jobs[other.ref]["ram_gb"] for other in present) + job["ram_gb"]
            > self.site.limits.ram_gb + 1e-6
        ):
            task.condition, task.cause = "exited", "no_room"
        elif job["brand"] not in self.images:
            fetch = job["image_gb"] / self.site.limits.fetch_gb_per_s
            self.fetching.setdefault(job["brand"], now + fetch)
        return task

    def _halt(self, task: Task, settle_s: float) -> None:
        job = self.site.jobs[task.ref]
        if task.condition == "running" and job["waypoint_s"] and settle_s >= job["pen_s"]:
            task.condition, task.ends = "flushing", time.monotonic() + job["pen_s"]
            self._changed.set()
        elif task.condition != "flushing" or settle_s == 0:
            self._exit(task, "stopped")

    def _exit(self, task: Task, cause: str, kept: bool = False) -> None:
        self.site.task_off(self, task, cause)
        task.condition, task.cause, task.kept = "exited", cause, kept
        self._changed.set()

    # -- time

    def _check_lease(self) -> None:
        if time.monotonic() - self.lease_from > self.site.limits.lease_s:
            if self.tasks:
                self.kills += 1
                self.site.note("worker", self.name, "lease is over, kills", len(self.tasks), "tasks")
            for task in self.tasks.values():
                if task.condition != "exited":
                    self.site.task_off(self, task, "lease")
            self.tasks.clear()
            self.ride, self.lease_from = self.ride + 1, time.monotonic()
            self._changed.set()

    async def _tick(self) -> None:
        last = time.monotonic()
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            self._check_lease()  # a machine that hangs may go on within its lease, not later
            if self.faults.hung:
                for task in self.tasks.values():
                    if task.ends is not None:
                        task.ends += now - last
            else:
                for image, ready in list(self.fetching.items()):
                    if now >= ready:
                        del self.fetching[image]
                        self.images.add(image)
                for task in list(self.tasks.values()):
                    if task.condition != "exited":
                        self._advance(task, now)
            last = now

    def _mates(self, task: Task) -> list[tuple["Worker", Task]]:
        return [
            (worker, mate)
            for worker in self.site.workers()
            if not worker.faults.hung
            for mate in worker.tasks.values()
            if (mate.ref, mate.attempt) == (task.ref, task.attempt) and mate.condition != "exited"
        ]

    def _advance(self, task: Task, now: float) -> None:
        job = self.site.jobs[task.ref]
        if task.condition == "fetching" and job["brand"] in self.images:
            if task.name in self.site.finished:
                self._exit(task, "done")
                return
            task.condition, task.since = "waiting", now
            self.site.task_on(self, task)
            if self.faults.errors:
                self._exit(task, "error")
                return
            self._changed.set()
        if task.condition == "waiting":
            self._try_run(task, job, now)
        elif task.condition == "running":
            self._run(task, job, now)
        elif task.condition == "flushing" and task.ends is not None and now >= task.ends:
            self._exit(task, "stopped", kept=True)

    def _try_run(self, task: Task, job: dict[str, Any], now: float) -> None:
        mates = [(self, task)] if job["gait"] == "array" else self._mates(task)
        if job["gait"] == "array" or (
            len(mates) == job["heads"] and all(mate.condition in ("waiting", "running") for _, mate in mates)
        ):
            for worker, mate in mates:
                mate.condition, mate.since, mate.ends = "running", now, now + job["real_s"]
                worker._changed.set()
        elif now - task.since > self.site.limits.gang_wait_s:
            self._exit(task, "alone")

    def _run(self, task: Task, job: dict[str, Any], now: float) -> None:
        if job["gait"] == "group" and len(self._mates(task)) < job["heads"] and not self.site.done(task.ref):
            if task.ends is not None and now - task.since > 1.0:
                self._exit(task, "mates_gone")
        elif task.ends is not None and now >= task.ends:
            ended = range(job["heads"]) if job["gait"] == "group" else (task.index,)
            self.site.finished.update(f"{task.ref}/{index}" for index in ended)
            self._exit(task, "done")
