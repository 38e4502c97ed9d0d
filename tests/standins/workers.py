"""Stand-ins for workers: leases, incarnations, tokens, images, tasks, gangs; and the cloud that rents them."""

import json
from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta

from badgerroute.transport.http import Client, NoAnswerError, Request, Response, Server, parse_query
from badgerroute.transport.loop import Future, TaskGroup
from tests.standins.history import History
from tests.standins.key_value_store import reply
from tests.standins.net import World

SECOND = timedelta(seconds=1)
HEARTBEAT, LEASE, GANG_WAIT, GANG_PEER = SECOND, 11 * SECOND, 45 * SECOND, 4 * SECOND


@dataclass
class Task:
    ref: str
    index: int
    attempt: int
    state: str
    state_since: timedelta
    cause: str | None = None
    kept: bool = False
    state_ends_at: timedelta | None = None

    @property
    def name(self) -> str:
        return f"{self.ref}/{self.index}"


@dataclass
class MachineType:
    name: str
    cpus: float
    memory_gb: float
    fetch: float = 1.0
    boot: timedelta = 5 * SECOND


@dataclass
class Worker:
    site: "Site"
    name: str
    machine_type: MachineType
    zone: str
    spot: bool
    group: TaskGroup
    incarnation: int = 1
    tally: int = 0
    fencing_token: int = 0
    tasks: dict[str, Task] = field(default_factory=dict)
    images: set[str] = field(default_factory=set)
    fails_tasks: bool = False
    unresponsive: bool = False
    unreachable: bool = False  # its heartbeats go out, but neither answers nor commands reach it
    heartbeats_blocked: bool = False  # it reaches no controller, but commands reach it
    notice_at: timedelta | None = None

    def __post_init__(self) -> None:
        self.loop = self.site.loop
        self.address = f"{self.name}:9000"
        self.lease_renewed_at = self.loop.now()  # when the last answered report had been sent
        self.changed = Future()
        network = self.site.world.network(self.name)
        self.clients = {host: Client(self.loop, network, f"{host}:8080", connect=SECOND) for host in self.site.hosts}
        self.group.spawn(Server(self.loop, self.group, self._serve, 50).serve(network.listen(self.address)), "direct")
        self.group.spawn(self._heartbeat_duty(), "report")
        self.group.spawn(self._tick(), "tick")

    # -- heartbeats

    def heartbeat(self) -> dict:
        self.tally += 1
        notice = None if self.notice_at is None else (self.notice_at - self.loop.now()) / SECOND
        heads = []
        for task in self.tasks.values():
            one = {"head": task.name, "try": task.attempt, "condition": task.state}
            if task.cause:
                one |= {"cause": task.cause, "kept": task.kept}
            heads.append(one)
        return {
            "mount": self.name,
            "address": self.address,
            "breed": self.machine_type.name,
            "pasture": self.zone,
            "strays": self.spot,
            "ride": self.incarnation,
            "tally": self.tally,
            "crook": self.fencing_token,
            "recall_s": notice,
            "heads": heads,
        }

    async def _awake(self) -> None:
        while self.unresponsive:
            await self.loop.sleep(timedelta(milliseconds=200))

    async def _heartbeat_duty(self) -> None:
        hosts = self.site.hosts
        at = self.site.world.random.randrange(len(hosts))
        while True:
            await self._awake()
            pause = HEARTBEAT * self.site.world.random.uniform(0.75, 1.25)
            sent, incarnation = self.loop.now(), self.incarnation
            body = json.dumps(self.heartbeat()).encode()
            self.changed = Future()
            if self.heartbeats_blocked:
                at = (at + 1) % len(hosts)
                await self.loop.sleep(SECOND)
                continue
            try:
                response = await self.clients[hosts[at]].request("POST", "/checkin", body, 4 * SECOND)
            except NoAnswerError:
                response = None
            self.site.sent_heartbeats.append((self.name, body))
            if self.unreachable:
                response = None
            await self._awake()
            late = self.loop.now() - sent > 4 * SECOND
            if response is not None and not late and response.status == 200:
                message = json.loads(response.body)
                if message["crook"] >= self.fencing_token and incarnation == self.incarnation:
                    fresh = message["crook"] > self.fencing_token
                    self.fencing_token = message["crook"]
                    self.lease_renewed_at = sent
                    self.execute(message["calls"])
                    if fresh:
                        self.changed.set()
            elif response is not None and not late and response.status == 421:
                boss = json.loads(response.body).get("trail_boss")
                if boss in hosts and boss != hosts[at]:
                    at = hosts.index(boss)
                    continue
                at = (at + 1) % len(hosts)
                await self.loop.sleep(SECOND)
                continue
            else:
                at = (at + 1) % len(hosts)
                await self.loop.sleep(SECOND)
                continue
            await self.loop.sleep(SECOND / 2)
            await self.loop.first(self.changed, pause - SECOND / 2)

    async def _serve(self, request: Request) -> Response:
        await self._awake()
        if self.unreachable:
            await self.loop.sleep(3600 * SECOND)
        if request.path == "/status":
            return reply(200, self.heartbeat())
        body = json.loads(request.body)
        if "crook" not in body or "ride" not in body:
            return reply(400, {})
        if body["crook"] < self.fencing_token or body["ride"] != self.incarnation:
            return reply(409, self.heartbeat())
        self.fencing_token = body["crook"]
        for one in body["calls"]:
            if one["call"] == "start":
                self.site.rules.report_violation("start_in_do", f"{one['head']} on {self.name}")
        self.execute(body["calls"])
        return reply(200, self.heartbeat())

    # -- tasks

    def execute(self, calls: list[dict]) -> None:
        for call in calls:
            ref, _, index = call["head"].rpartition("/")
            task = self.tasks.get(call["head"])
            if call["call"] == "start":
                self._start(ref, int(index), call["try"], task)
            elif task is not None and task.attempt == call["try"]:
                if call["call"] == "clear" and task.state == "exited":
                    self.site.rules.history.cleared(task.name, self.name)
                    del self.tasks[task.name]
                elif call["call"] == "halt":
                    self._halt(task, call.get("settle_s", 0.0))

    def _start(self, ref: str, index: int, attempt: int, known: Task | None) -> None:
        name = f"{ref}/{index}"
        if known is not None and known.attempt == attempt:
            return
        job = self.site.jobs.get(ref)
        now = self.loop.now()
        task = Task(ref, index, attempt, "fetching", now)
        if known is not None and known.state != "exited":
            return  # in use; a second entry under one name can't be shown, and never occurs here
        self.tasks[name] = task
        if job is None:
            task.state, task.cause = "exited", "no_such"
        elif not self._fits(job):
            task.state, task.cause = "exited", "no_room"
        else:
            self.site.rules.started(self, task)
            fetch = 0.0 if job["brand"] in self.images else job["image_gb"] / self.machine_type.fetch
            task.state_ends_at = now + fetch * SECOND
        self.changed.set()

    def _fits(self, job: dict) -> bool:
        cpus, memory = job["cpus"], job["ram_gb"]
        for task in self.tasks.values():
            other = self.site.jobs.get(task.ref)
            if task.state != "exited" and other is not None and task.state_ends_at is not None:
                cpus += other["cpus"]
                memory += other["ram_gb"]
        return cpus <= self.machine_type.cpus + 1e-6 and memory <= self.machine_type.memory_gb + 1e-6

    def _halt(self, task: Task, grace: float) -> None:
        if task.state == "exited":
            return
        job = self.site.jobs[task.ref]
        if task.state == "running" and job["waypoint_s"] and grace >= job["pen_s"]:
            task.state, task.state_ends_at = "flushing", self.loop.now() + job["pen_s"] * SECOND
        elif task.state != "flushing" or grace == 0:
            self._exit(task, "stopped")
        self.changed.set()

    def _exit(self, task: Task, cause: str, kept: bool = False) -> None:
        task.state, task.cause, task.kept = "exited", cause, kept
        self.site.rules.ended(self, task)
        self.changed.set()

    async def _tick(self) -> None:
        while True:
            await self.loop.sleep(self.site.tick)
            now = self.loop.now()
            if now - self.lease_renewed_at > LEASE:
                for task in self.tasks.values():
                    if task.state != "exited":
                        self.site.killed_by_lease.append(now)
                        self.site.rules.ended(self, task)
                self.site.rules.history.machine_reset(self.name)
                self.tasks.clear()
                self.incarnation += 1
                self.lease_renewed_at = now
            if self.unresponsive:
                continue
            for task in list(self.tasks.values()):
                self._advance(task, now)

    def _advance(self, task: Task, now: timedelta) -> None:
        if task.state == "exited":
            return
        job = self.site.jobs[task.ref]
        if task.state == "fetching" and task.state_ends_at is not None and now >= task.state_ends_at:
            self.images.add(job["brand"])
            if self.fails_tasks or task.ref in self.site.failing:
                self._exit(task, "error")
            elif task.name in self.site.finished:
                self._exit(task, "done")
            else:
                task.state, task.state_since, task.state_ends_at = "waiting", now, None
        if task.state == "waiting":
            mates = self.site.gang_members(task)
            if job["gait"] == "array" or (
                len(mates) == job["heads"] and all(one.state in ("waiting", "running") for one in mates)
            ):
                for one in mates if job["gait"] == "group" else [task]:
                    one.state, one.state_since = "running", now
                    one.state_ends_at = now + self.site.run_time(task.ref) * SECOND
                self.changed.set()
            elif now - task.state_since > GANG_WAIT:
                self._exit(task, "alone")
        elif task.state == "running":
            self._run_on(task, job, now)
        elif task.state == "flushing" and task.state_ends_at is not None and now >= task.state_ends_at:
            self._exit(task, "stopped", kept=True)

    def _run_on(self, task: Task, job: dict, now: timedelta) -> None:
        if job["gait"] == "group" and len(self.site.gang_members(task)) < job["heads"] and not self.site.all_done(task):
            self._exit(task, "mates_gone")
        elif task.state_ends_at is not None and now >= task.state_ends_at:
            # A gang completes together: when one task is done, all are.
            whole = range(job["heads"]) if job["gait"] == "group" else (task.index,)
            self.site.finished.update(f"{task.ref}/{index}" for index in whole)
            self._exit(task, "done")


class RuleChecker:
    """Watches for broken rules, from outside the controllers."""

    def __init__(self, site: "Site") -> None:
        self.site = site
        self.broken: list[str] = []
        self.worker_by_task: dict[str, Worker] = {}  # task -> the machine it is on
        self.start_count = 0
        self.starts_after_cancellation: list[
            str
        ] = []  # tasks of jobs whose cancellation had been asked for, and was then confirmed
        self.events: list[tuple[str, float, str]] = []  # machine, time, what
        self.history = History()

    def report_violation(self, rule: str, text: str) -> None:
        self.broken.append(f"{self.site.loop.now() / SECOND:.2f} {rule}: {text}")

    def started(self, worker: Worker, task: Task) -> None:
        self.start_count += 1
        self.history.started(task.name, worker.name, task.attempt, self.site.loop.now())
        self.events.append((worker.name, self.site.loop.now() / SECOND, "start"))
        job = self.site.jobs[task.ref]
        other = self.worker_by_task.get(task.name)
        if other is not None:
            self.report_violation("ran_twice", f"{task.name} on {worker.name} and {other.name}")
        self.worker_by_task[task.name] = worker
        if job["breeds"] is not None and worker.machine_type.name not in job["breeds"]:
            self.report_violation("wrong_place", f"{task.name} on type {worker.machine_type.name}")
        if job["pasture"] not in (None, worker.zone) or (worker.spot and not job["strays"]):
            self.report_violation("wrong_place", f"{task.name} in {worker.zone}")
        zones = [one.zone for name, one in self.worker_by_task.items() if name.rpartition("/")[0] == task.ref]
        if job["together"] and len(set(zones)) > 1:
            self.report_violation("wrong_place", f"{task.ref} in {set(zones)}")
        if job["spread"] and zones.count(worker.zone) > (job["heads"] + 1) // 2:
            self.report_violation("wrong_place", f"{task.ref} not spread")
        if not all(self.site.is_done(one) for one in job.get("follows") or ()):
            self.report_violation("too_early", task.name)
        team = job["crew"]
        used = sum(
            self.site.jobs[name.rpartition("/")[0]]["cpus"]
            for name in self.worker_by_task
            if self.site.jobs[name.rpartition("/")[0]]["crew"] == team
        )
        if self.site.limits[team] and used > self.site.limits[team] + 1e-6:
            self.report_violation("quota", f"{team} uses {used}")
        if self.site.cancelled.get(task.ref, self.site.loop.now()) < self.site.loop.now():
            self.starts_after_cancellation.append(task.name)
        self.check_cancellation(task)

    def check_cancellation(self, task: Task) -> None:
        told = self.site.cancelled.get(task.ref)
        if told is not None and self.site.loop.now() - told > self.site.cancel_limit:
            self.report_violation("ran_cancelled", task.name)

    def ended(self, worker: Worker, task: Task) -> None:
        self.history.ended(task.name, worker.name, self.site.loop.now(), task.cause, task.kept)
        if self.worker_by_task.get(task.name) is worker:
            self.events.append((worker.name, self.site.loop.now() / SECOND, "end"))
            del self.worker_by_task[task.name]

    def check_cancellations(self) -> None:
        """Called now and then: tasks that outlive their job's cancellation."""
        for name in self.worker_by_task:
            ref, _, index = name.rpartition("/")
            self.check_cancellation(Task(ref, int(index), 0, "", timedelta(0)))


class Site:
    """Workers, cloud and jobs as they really are."""

    def __init__(
        self,
        world: World,
        hosts: list[str],
        machine_types: list[MachineType],
        zones: list[str],
        limits: dict[str, float],
        capacity: int,
        cancel: timedelta,
    ) -> None:
        self.world, self.loop = world, world.loop
        self.hosts, self.zones, self.limits, self.cancel_limit = hosts, zones, limits, cancel
        self.failing: set[str] = set()  # jobs that fail on every machine
        self.machine_types = {machine_type.name: machine_type for machine_type in machine_types}
        self.capacity = capacity  # ordinary machines of a type in a zone; of spot machines there is one
        self.jobs: dict[str, dict] = {}
        self.finished: set[str] = set()
        self.cancelled: dict[str, timedelta] = {}
        self.workers: dict[str, Worker] = {}
        self.booting: dict[str, tuple[MachineType, str, bool]] = {}
        self.rental_requested_at: dict[str, timedelta] = {}
        self.machines_by_rental: dict[str, list[str]] = {}
        self.rules = RuleChecker(self)
        self.group = TaskGroup(self.loop, "site")
        self.cloud_down = False
        self.sent_heartbeats: deque[tuple[str, bytes]] = deque(maxlen=4000)  # heartbeats as they were sent
        self.lose_rental_answers = 0
        self.machines_that_never_boot = 0
        self.boot_factor = 1.0
        self.list_calls = 0
        self.killed_by_lease: list[timedelta] = []  # when a task was killed as its machine got no answer for too long
        self.tick = timedelta(milliseconds=100)  # how often a worker looks at its tasks and its lease
        self._counter = 0
        server = Server(self.loop, self.group, self._cloud, 100)
        self.group.spawn(server.serve(world.network("cloud").listen("cloud:8443")), "cloud")

    def is_done(self, ref: str) -> bool:
        return all(f"{ref}/{index}" in self.finished for index in range(self.jobs[ref]["heads"]))

    def cancelled_at(self, ref: str) -> timedelta | None:
        """When the user was told first that the job, or one that it needs, is cancelled."""
        found, seen, times = [ref], {ref}, []
        while found:
            one = found.pop()
            if one in self.cancelled:
                times.append(self.cancelled[one])
            for before in self.jobs.get(one, {}).get("follows") or ():
                if before not in seen:
                    seen.add(before)
                    found.append(before)
        return min(times, default=None)

    def run_time(self, ref: str) -> float:
        return self.jobs[ref]["trek_s"]

    def gang_members(self, task: Task) -> list[Task]:
        return [
            one
            for worker in self.workers.values()
            if not worker.unresponsive
            for one in worker.tasks.values()
            if one.ref == task.ref and one.attempt == task.attempt and one.state != "exited"
        ]

    def all_done(self, task: Task) -> bool:
        job = self.jobs[task.ref]
        return any(f"{task.ref}/{index}" in self.finished for index in range(job["heads"]))

    def add_worker(self, machine_type: str, zone: str, spot: bool = False, name: str | None = None) -> Worker:
        if name is None:
            self._counter += 1
            name = f"host-{self._counter:06d}"
        worker = Worker(self, name, self.machine_types[machine_type], zone, spot, TaskGroup(self.loop, name))
        self.workers[name] = worker
        return worker

    def remove_worker(self, name: str) -> None:
        self.booting.pop(name, None)
        worker = self.workers.pop(name, None)
        if worker is not None:
            for task in worker.tasks.values():
                self.rules.ended(worker, task)
            self.rules.history.machine_reset(name)
            worker.group.cancel()
            self.world.crash(name)

    async def _boot(self, name: str) -> None:
        await self.loop.sleep(self.booting[name][0].boot * self.boot_factor)
        if name in self.booting:
            machine_type, zone, spot = self.booting.pop(name)
            self.add_worker(machine_type.name, zone, spot, name)

    async def _cloud(self, request: Request) -> Response:
        await self.loop.sleep(timedelta(milliseconds=50))
        if self.cloud_down:
            return reply(503, {"error": "trouble"})
        if request.path == "/catalog":
            breeds = [
                {
                    "label": machine_type.name,
                    "cpus": machine_type.cpus,
                    "accelerators": 0,
                    "ram_gb": machine_type.memory_gb,
                    "local_gb": 40,
                    "fetch_gb_per_s": machine_type.fetch,
                    "price": 1.0,
                    "low_price": 0.3,
                    "startup_s": machine_type.boot / SECOND,
                    "pastures": self.zones,
                }
                for machine_type in self.machine_types.values()
            ]
            return reply(200, {"breeds": breeds})
        if request.path == "/rentals/delete":
            for name in json.loads(request.body)["mounts"]:
                self.remove_worker(name)
            return reply(200, {})
        if request.path == "/rentals" and request.method == "POST":
            return await self._scale_out(json.loads(request.body))
        query = parse_query(request.query)
        rows = [
            {
                "ref": name,
                "address": f"{name}:9000",
                "breed": machine_type.name,
                "pasture": zone,
                "strays": spot,
                "condition": condition,
                "held_s": (self.loop.now() - self.rental_requested_at.get(name, timedelta(0))) / SECOND,
            }
            for name, (machine_type, zone, spot, condition) in sorted(self._all().items())
            if name > query.get("since", "")
        ]
        self.list_calls += 1
        page = rows[: int(query.get("limit", "500"))]
        return reply(200, {"mounts": page, "more": len(page) < len(rows)})

    def _all(self) -> dict[str, tuple[MachineType, str, bool, str]]:
        up = {name: (one.machine_type, one.zone, one.spot, "running") for name, one in self.workers.items()}
        return up | {name: (*one, "booting") for name, one in self.booting.items()}

    async def _scale_out(self, body: dict) -> Response:
        if body["hire"] not in self.machines_by_rental:
            wanted = (body["breed"], body["pasture"], body["strays"])
            taken = sum(
                (machine_type.name, zone, spot) == wanted for machine_type, zone, spot, _ in self._all().values()
            )
            room = max(0, (1 if body["strays"] else self.capacity) - taken)
            if room == 0:
                return reply(503, {"error": "no capacity"})
            names = []
            for _ in range(min(room, body["number"])):
                self._counter += 1
                name = f"host-{self._counter:06d}"
                self.booting[name] = (self.machine_types[body["breed"]], body["pasture"], body["strays"])
                self.rental_requested_at[name] = self.loop.now()
                if self.machines_that_never_boot > 0:
                    self.machines_that_never_boot -= 1
                else:
                    self.group.spawn(self._boot(name), "boot")
                names.append(name)
            self.machines_by_rental[body["hire"]] = names
        if self.lose_rental_answers > 0:
            self.lose_rental_answers -= 1
            await self.loop.sleep(timedelta(seconds=60))
        return reply(200, {"mounts": self.machines_by_rental[body["hire"]]})
