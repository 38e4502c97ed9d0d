"""Simulated workers (leases, incarnations, fencing tokens, images, tasks, gangs) and the cloud that rents machines.

The names of the messages' fields are those of the workers' and the cloud's protocols.
"""

import json
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from badgerroute.transport.http import Client, NoAnswerError, Request, Response, Server, parse_query
from badgerroute.transport.loop import Future, TaskGroup
from tests.standins.history import History
from tests.standins.key_value_store import reply
from tests.standins.net import World

SECOND = timedelta(seconds=1)
MAX_MESSAGE_BYTES = 65536  # of a heartbeat, and of a line in its response; a worker takes and sends no more
# Heartbeat period, a machine's lease, how long a gang's task waits for the other tasks, `gang_peer_s` of the settings.
HEARTBEAT, LEASE, GANG_WAIT = SECOND, 11 * SECOND, 45 * SECOND


@dataclass
class Task:
    """One attempt of a task on a machine."""

    ref: str  # id of the job
    index: int
    attempt: int
    state: str  # one of the states that heartbeats report
    state_since: timedelta
    cause: str | None = None  # why the task exited
    kept: bool = False  # the task saved a checkpoint before it was stopped
    state_ends_at: timedelta | None = None  # end of the image fetch, of the run or of the saving of a checkpoint

    @property
    def name(self) -> str:
        return f"{self.ref}/{self.index}"


@dataclass
class MachineType:
    """A machine type that the cloud offers."""

    name: str
    cpus: float
    memory_gb: float
    fetch_gb_per_s: float = 1.0
    startup_time: timedelta = 5 * SECOND


@dataclass
class Worker:
    """One machine: sends heartbeats, carries out commands and runs tasks. Tests set its faults."""

    site: "Site"
    name: str
    machine_type: MachineType
    zone: str
    spot: bool
    group: TaskGroup
    incarnation: int = 1
    tally: int = 0  # sequence number of its heartbeats
    fencing_token: int = 0
    tasks: dict[str, Task] = field(default_factory=dict)
    images: set[str] = field(default_factory=set)
    fails_tasks: bool = False  # tasks end with an error
    unresponsive: bool = False  # sends and answers nothing and runs no task, but its lease still expires
    unreachable: bool = False  # its heartbeats reach controllers, but neither responses nor commands reach it
    heartbeats_blocked: bool = False  # it can't send heartbeats, but commands reach it
    notice_at: timedelta | None = None  # after a preemption notice: when the cloud will delete the machine
    restarts: int = 0  # how often the machine itself stopped and came back under its name

    def __post_init__(self) -> None:
        self.loop = self.site.loop
        self.address = f"{self.name}:9000"
        self.lease_renewed_at = self.loop.now()  # send time of the last heartbeat that was answered
        self.changed = Future()  # is set when the next heartbeat should be sent early
        network = self.site.world.network(self.name)
        self.clients = {host: Client(self.loop, network, f"{host}:8080", connect=SECOND) for host in self.site.hosts}
        self.group.spawn(Server(self.loop, self.group, self._serve, 50).serve(network.listen(self.address)), "direct")
        self.group.spawn(self._send_heartbeats(), "report")
        self.group.spawn(self._tick(), "tick")

    # -- heartbeats

    def heartbeat(self) -> dict:
        """Raise the sequence number, and return the body of the next heartbeat."""
        self.tally += 1
        notice = None if self.notice_at is None else (self.notice_at - self.loop.now()) / SECOND
        heads = []
        for task in self.tasks.values():
            status = {"head": task.name, "try": task.attempt, "condition": task.state}
            if task.cause:
                status |= {"cause": task.cause, "kept": task.kept}
            heads.append(status)
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

    async def _wait_while_unresponsive(self) -> None:
        while self.unresponsive:
            await self.loop.sleep(timedelta(milliseconds=200))

    async def _send_heartbeats(self) -> None:
        hosts = self.site.hosts
        target = self.site.world.random.randrange(len(hosts))  # index of the controller that gets the heartbeats
        while True:
            await self._wait_while_unresponsive()
            pause = HEARTBEAT * self.site.world.random.uniform(0.75, 1.25)
            sent, incarnation, restarts = self.loop.now(), self.incarnation, self.restarts
            body = json.dumps(self.heartbeat()).encode()
            self.changed = Future()
            if len(body) > MAX_MESSAGE_BYTES:
                self.site.rules.report_violation("report_limit", f"{self.name} has {len(self.tasks)} tasks")
            if self.heartbeats_blocked or len(body) > MAX_MESSAGE_BYTES:
                target = (target + 1) % len(hosts)
                await self.loop.sleep(SECOND)
                continue
            try:
                response = await self.clients[hosts[target]].request("POST", "/checkin", body, 4 * SECOND)
            except NoAnswerError:
                response = None
            self.site.sent_heartbeats.append((self.name, body))
            if self.unreachable:
                response = None
            if response is not None and len(response.body) > MAX_MESSAGE_BYTES:
                self.site.rules.report_violation("line_limit", f"{len(response.body)} bytes for {self.name}")
                response = None
            await self._wait_while_unresponsive()
            late = self.loop.now() - sent > 4 * SECOND
            if response is not None and not late and response.status == 200:
                message = json.loads(response.body)
                session = (self.incarnation, self.restarts)
                if message["crook"] >= self.fencing_token and (incarnation, restarts) == session:
                    self.site.on_answer_taken(self, sent, message)
                    token_raised = message["crook"] > self.fencing_token
                    self.fencing_token = message["crook"]
                    self.lease_renewed_at = sent
                    self.execute(message["calls"])
                    if token_raised:
                        self.changed.set()
            elif response is not None and not late and response.status == 421:
                leader = json.loads(response.body).get("trail_boss")
                if leader in hosts and leader != hosts[target]:
                    target = hosts.index(leader)
                    continue
                target = (target + 1) % len(hosts)
                await self.loop.sleep(SECOND)
                continue
            else:
                target = (target + 1) % len(hosts)
                await self.loop.sleep(SECOND)
                continue
            await self.loop.sleep(SECOND / 2)
            await self.loop.first(self.changed, pause - SECOND / 2)

    async def _serve(self, request: Request) -> Response:
        await self._wait_while_unresponsive()
        if self.unreachable:
            await self.loop.sleep(3600 * SECOND)
        if request.path == "/status":
            return reply(200, self.heartbeat())
        body = json.loads(request.body)
        if "crook" not in body or "ride" not in body:
            return reply(400, {})
        if body["crook"] < self.fencing_token or body["ride"] != self.incarnation:
            return reply(409, self.heartbeat())
        self.site.on_command_taken(self, body)
        return self.take_command(body)

    def take_command(self, body: dict) -> Response:
        """Carry out a direct command, or a copy of one, if its token and its session are the machine's."""
        if body["crook"] < self.fencing_token or body["ride"] != self.incarnation:
            return reply(409, self.heartbeat())
        self.fencing_token = body["crook"]
        for call in body["calls"]:
            if call["call"] == "start":
                self.site.rules.report_violation("start_in_do", f"{call['head']} on {self.name}")
        self.execute(body["calls"])
        return reply(200, self.heartbeat())

    def take_answer_copy(self, sent: timedelta, incarnation: int, message: dict) -> None:
        """Carry out a copy of an answer that was taken before. `sent`: when the heartbeat it answers was sent.

        Harsher than the protocol, in which a worker takes one answer to each heartbeat: token, session and the time
        limit for answers count, but not whether this heartbeat was answered already.
        """
        late = self.loop.now() - sent > 4 * SECOND
        if not late and not self.unresponsive and incarnation == self.incarnation:
            if message["crook"] >= self.fencing_token:
                self.fencing_token = message["crook"]
                self.execute(message["calls"])

    def restart(self, incarnation: int, tally: int, fencing_token: int) -> None:
        """Stop with all tasks and come back under the same name at once, with these counters."""
        for task in self.tasks.values():
            if task.state != "exited":
                self.site.rules.ended(self, task)
        self.site.rules.history.machine_reset(self.name)
        self.tasks.clear()
        self.images.clear()
        self.restarts += 1
        self.incarnation, self.tally, self.fencing_token = incarnation, tally, fencing_token
        self.lease_renewed_at = self.loop.now()
        self.changed.set()

    # -- tasks

    def execute(self, calls: list[dict]) -> None:
        """Carry out commands. Other than start, they are ignored unless they name the attempt on this machine."""
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

    def _start(self, ref: str, index: int, attempt: int, previous: Task | None) -> None:
        name = f"{ref}/{index}"
        if previous is not None and previous.attempt == attempt:
            return
        job = self.site.jobs.get(ref)
        now = self.loop.now()
        task = Task(ref, index, attempt, "fetching", now)
        if previous is not None and previous.state != "exited":
            return  # a heartbeat can't list two attempts of a task, so controllers start none while one is here
        self.tasks[name] = task
        if job is None:
            task.state, task.cause = "exited", "no_such"
        elif not self._fits(job):
            task.state, task.cause = "exited", "no_room"
        else:
            self.site.rules.started(self, task)
            fetch = 0.0 if job["brand"] in self.images else job["image_gb"] / self.machine_type.fetch_gb_per_s
            task.state_ends_at = now + fetch * SECOND
        self.changed.set()

    def _fits(self, job: dict) -> bool:
        """Return whether a task of the job fits beside the tasks that occupy the machine."""
        cpus, memory = job["cpus"], job["ram_gb"]
        for task in self.tasks.values():
            other = self.site.jobs.get(task.ref)
            if task.state != "exited" and other is not None and task.state_ends_at is not None:
                cpus += other["cpus"]
                memory += other["ram_gb"]
        return cpus <= self.machine_type.cpus + 1e-6 and memory <= self.machine_type.memory_gb + 1e-6

    def _halt(self, task: Task, grace: float) -> None:
        """Stop a task. It saves a checkpoint first if it can do so within `grace` seconds."""
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
        """Update the tasks periodically. When the lease expires, discard all tasks and begin a new incarnation."""
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
        """Move a task to its next state if the condition for that is met at the time `now`."""
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
            members = self.site.gang_members(task)
            if job["gait"] == "array" or (
                len(members) == job["heads"] and all(member.state in ("waiting", "running") for member in members)
            ):
                for starting in members if job["gait"] == "group" else [task]:
                    starting.state, starting.state_since = "running", now
                    starting.state_ends_at = now + self.site.run_time(task.ref) * SECOND
                self.changed.set()
            elif now - task.state_since > GANG_WAIT:
                self._exit(task, "alone")
        elif task.state == "running":
            self._advance_running(task, job, now)
        elif task.state == "flushing" and task.state_ends_at is not None and now >= task.state_ends_at:
            self._exit(task, "stopped", kept=True)

    def _advance_running(self, task: Task, job: dict, now: timedelta) -> None:
        if job["gait"] == "group" and len(self.site.gang_members(task)) < job["heads"] and not self.site.all_done(task):
            self._exit(task, "mates_gone")
        elif task.state_ends_at is not None and now >= task.state_ends_at:
            # The tasks of a gang complete together: when one is done, all are.
            completed = range(job["heads"]) if job["gait"] == "group" else (task.index,)
            self.site.finished.update(f"{task.ref}/{index}" for index in completed)
            self._exit(task, "done")


class RuleChecker:
    """Checks the safety rules against the true state of the machines and users, and records violations.

    It uses no state of the controllers.
    """

    def __init__(self, site: "Site") -> None:
        self.site = site
        self.broken: list[str] = []  # the violations: time, rule, text
        self.worker_by_task: dict[str, Worker] = {}  # task that runs -> its machine
        self.start_count = 0
        # Starts of tasks after a user had been told that the job is cancelled.
        self.starts_after_cancellation: list[str] = []
        self.events: list[tuple[str, float, str]] = []  # machine, time in seconds, "start" or "end"
        self.history = History()

    def report_violation(self, rule: str, text: str) -> None:
        self.broken.append(f"{self.site.loop.now() / SECOND:.2f} {rule}: {text}")

    def started(self, worker: Worker, task: Task) -> None:
        """Record the start of a task and check it against all rules."""
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
        zones = [other.zone for name, other in self.worker_by_task.items() if name.rpartition("/")[0] == task.ref]
        if job["together"] and len(set(zones)) > 1:
            self.report_violation("wrong_place", f"{task.ref} in {set(zones)}")
        if job["spread"] and zones.count(worker.zone) > (job["heads"] + 1) // 2:
            self.report_violation("wrong_place", f"{task.ref} not spread")
        if not all(self.site.is_done(upstream) for upstream in job.get("follows") or ()):
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
        """Record a violation if a task runs for longer than the cancellation limit after its job was cancelled."""
        cancelled_at = self.site.cancelled.get(task.ref)
        if cancelled_at is not None and self.site.loop.now() - cancelled_at > self.site.cancel_limit:
            self.report_violation("ran_cancelled", task.name)

    def ended(self, worker: Worker, task: Task) -> None:
        """Record that a machine no longer runs a task."""
        self.history.ended(task.name, worker.name, self.site.loop.now(), task.cause, task.kept)
        if self.worker_by_task.get(task.name) is worker:
            self.events.append((worker.name, self.site.loop.now() / SECOND, "end"))
            del self.worker_by_task[task.name]

    def check_cancellations(self) -> None:
        """Call `check_cancellation` for each running task; called twice a second."""
        for name in self.worker_by_task:
            ref, _, index = name.rpartition("/")
            self.check_cancellation(Task(ref, int(index), 0, "", timedelta(0)))


class Site:
    """The true state of the workers, the cloud and the jobs, as opposed to what controllers know."""

    def __init__(
        self,
        world: World,
        hosts: list[str],
        machine_types: list[MachineType],
        zones: list[str],
        limits: dict[str, float],
        capacity: int,
        cancel_limit: timedelta,
    ) -> None:
        self.world, self.loop = world, world.loop
        self.hosts, self.zones, self.limits, self.cancel_limit = hosts, zones, limits, cancel_limit
        self.failing: set[str] = set()  # jobs that fail on every machine
        self.machine_types = {machine_type.name: machine_type for machine_type in machine_types}
        self.capacity = capacity  # how many ordinary machines of a type a zone offers, besides one spot machine
        self.jobs: dict[str, dict] = {}  # job -> its description as submitted
        self.finished: set[str] = set()  # tasks that completed
        self.cancelled: dict[str, timedelta] = {}  # job -> when the request that cancelled it was sent
        self.workers: dict[str, Worker] = {}
        self.booting: dict[
            str, tuple[MachineType, str, bool]
        ] = {}  # machine -> type, zone, whether it is a spot machine
        self.rental_requested_at: dict[str, timedelta] = {}
        self.machines_by_rental: dict[str, list[str]] = {}  # id of the rental request -> machines
        self.rules = RuleChecker(self)
        self.group = TaskGroup(self.loop, "site")
        self.cloud_down = False
        self.sent_heartbeats: deque[tuple[str, bytes]] = deque(maxlen=4000)  # (machine, body of the heartbeat)
        self.lose_rental_answers = 0  # how many more rentals succeed although their responses are lost
        self.machines_that_never_boot = 0  # how many of the machines that are rented next never boot
        self.boot_factor = 1.0  # multiplies the time that machines take to boot
        self.list_calls = 0
        self.on_answer_taken: Callable[[Worker, timedelta, dict], None] = lambda worker, sent, message: None
        self.on_command_taken: Callable[[Worker, dict], None] = lambda worker, body: None
        self.killed_by_lease: list[timedelta] = []  # times of task kills because a machine's lease expired
        self.tick = timedelta(milliseconds=100)  # how often a worker updates its tasks and checks its lease
        self._counter = 0
        server = Server(self.loop, self.group, self._cloud, 100)
        self.group.spawn(server.serve(world.network("cloud").listen("cloud:8443")), "cloud")

    def is_done(self, ref: str) -> bool:
        """Return whether all tasks of a job have completed."""
        return all(f"{ref}/{index}" in self.finished for index in range(self.jobs[ref]["heads"]))

    def cancelled_at(self, ref: str) -> timedelta | None:
        """Return when the job or one of its direct or indirect predecessors was first cancelled, or None."""
        stack, seen, times = [ref], {ref}, []
        while stack:
            current = stack.pop()
            if current in self.cancelled:
                times.append(self.cancelled[current])
            for upstream in self.jobs.get(current, {}).get("follows") or ():
                if upstream not in seen:
                    seen.add(upstream)
                    stack.append(upstream)
        return min(times, default=None)

    def run_time(self, ref: str) -> float:
        return self.jobs[ref]["trek_s"]

    def gang_members(self, task: Task) -> list[Task]:
        """Return the tasks of a task's gang and attempt that have not exited and whose machines respond."""
        return [
            member
            for worker in self.workers.values()
            if not worker.unresponsive
            for member in worker.tasks.values()
            if member.ref == task.ref and member.attempt == task.attempt and member.state != "exited"
        ]

    def all_done(self, task: Task) -> bool:
        """Return whether the gang of a task has completed. All tasks of a gang complete together."""
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
        """Delete a machine and all its tasks, also if the machine is still booting."""
        self.booting.pop(name, None)
        worker = self.workers.pop(name, None)
        if worker is not None:
            for task in worker.tasks.values():
                self.rules.ended(worker, task)
            self.rules.history.machine_reset(name)
            worker.group.cancel()
            self.world.crash(name)

    async def _boot(self, name: str) -> None:
        await self.loop.sleep(self.booting[name][0].startup_time * self.boot_factor)
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
                    "fetch_gb_per_s": machine_type.fetch_gb_per_s,
                    "price": 1.0,
                    "low_price": 0.3,
                    "startup_s": machine_type.startup_time / SECOND,
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
        """Return type, zone and condition of all machines, and whether each is a spot machine."""
        running = {
            name: (worker.machine_type, worker.zone, worker.spot, "running") for name, worker in self.workers.items()
        }
        return running | {name: (*machine, "booting") for name, machine in self.booting.items()}

    async def _scale_out(self, body: dict) -> Response:
        """Rent machines; a repeated request returns the machines of the first one."""
        if body["hire"] not in self.machines_by_rental:
            requested = (body["breed"], body["pasture"], body["strays"])
            taken = sum(
                (machine_type.name, zone, spot) == requested for machine_type, zone, spot, _ in self._all().values()
            )
            available = max(0, (1 if body["strays"] else self.capacity) - taken)
            if available == 0:
                return reply(503, {"error": "no capacity"})
            names = []
            for _ in range(min(available, body["number"])):
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
