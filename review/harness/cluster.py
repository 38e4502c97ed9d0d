"""Starts the project's controllers as processes, with stand-ins around them and users that check every answer."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from review.harness.http import Client
from review.harness.link import Link
from review.harness.site import Limits, Site
from review.harness.state import State

ROOT = Path(__file__).resolve().parents[2]
RUN = ["python3", "target/app/run.py", "--operator-settings", "deploy/connectivity.hcl.json", "--config"]
STAGES = {"queued": 1, "running": 1, "done": 2, "withdrawn": 2}
LONGEST_S = float(os.environ.get("LONGEST_S", "115"))  # a case may take 120 s
SPACE = (21000, 29000)  # ports for the controllers, below those that the system hands out


class NotRunError(Exception):
    """The case could not be run as it was meant; the exit code is 2."""


def free_port(taken: set[int]) -> int:
    """Return a port on which nothing listens."""
    while True:
        port = random.SystemRandom().randrange(*SPACE)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in taken:
            taken.add(port)
            return port


class Cluster:
    """Three controllers on loopback, with the settings of a small deployment."""

    def __init__(self, folder: Path, limits: Limits, teams: dict[str, tuple[float, float]], **params: Any) -> None:
        self.started = time.monotonic()
        self.record = (folder / "record.txt").open("w")
        self.limits, self.teams, self.params = limits, teams, params
        self.hosts = ["drover-0", "drover-1", "drover-2"]
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.ended: list[str] = []  # controllers that ended by themselves
        self.random = random.Random(int(os.environ.get("SEED", "1")))
        self.links: dict[tuple[str, str], Link] = {}  # (from, to): the mesh
        self.told: dict[str, int] = {}  # job -> the highest stage that a user was told
        self.last: dict[str, str] = {}  # job -> its final condition, as told
        self.accepted: dict[str, float] = {}
        self.asked_to_cancel: set[str] = set()
        self.answered: dict[str, float] = {}  # job -> when a question about it was last answered
        self.tasks: list[asyncio.Task[Any]] = []

    def note(self, *words: object) -> None:
        """Write a line to the record."""
        self.record.write(f"{time.monotonic() - self.started:8.3f} {' '.join(map(str, words))}\n")
        self.record.flush()

    async def open(self) -> None:
        """Open the stand-ins and write the settings."""
        ceilings = {name: most for name, (_, most) in self.teams.items()}
        self.site = Site(self.limits, ceilings, self.note)
        self.state = State(float(self.params.get("value_kb", 16.0)), int(self.params.get("txn_ops", 16)))
        taken: set[int] = set()
        public = {host: f"127.0.0.1:{free_port(taken)}" for host in self.hosts}
        mesh = {host: f"127.0.0.1:{free_port(taken)}" for host in self.hosts}
        self.site.hosts = public
        for host in self.hosts:
            for other in self.hosts:
                if other != host:
                    self.links[host, other] = Link(mesh[other])
                    await self.links[host, other].start()
            (self.folder / f"{host}.toml").write_text(
                self._settings(
                    host, public[host], mesh[host], await self.state.serve(host), await self.site.serve_cloud(host)
                )
            )
        self.tasks.append(asyncio.create_task(self.site.watch_cancelled()))
        self.tasks.append(asyncio.create_task(self._watch_processes()))

    def _settings(self, host: str, public: str, mesh: str, state: str, cloud: str) -> str:
        limits, zones = self.limits, json.dumps(list(self.limits.zones))
        lines = [
            f'host_name = "{host}"\nzone = "{limits.zones[0]}"\npublic_addr = "{public}"\nmesh_addr = "{mesh}"',
            *(
                f'[[siblings]]\nhost_name = "{other}"\nzone = "{limits.zones[0]}"\n'
                f'endpoint = "{self.links[host, other].address}"'
                for other in self.hosts
                if other != host
            ),
            f'[endpoints]\ncloud = "{cloud}"\nstate = "{state}"',
            f"[params]\nsize = 3\nzones = {zones}\ntime_bound_ms = 250.0",
            *(
                f'[[params.teams]]\nname = "{name}"\ncpus = {cpus}\ncpus_max = {most}\ngpus = 0.0\ngpus_max = 0.0'
                for name, (cpus, most) in self.teams.items()
            ),
            f'[[params.objectives]]\nkind = "guarantee"\nwithin_s = {self.params.get("within_s", 40.0)}\nshare = 0.9',
            f"[params.workers]\nreport_s = {limits.report_s}\nlease_s = {limits.lease_s}\n"
            f"gang_wait_s = {limits.gang_wait_s}\ngang_peer_s = {limits.gang_peer_s}\ncancel_s = {limits.cancel_s}",
            f"[params.state]\nrps = {self.params.get('rps', 100.0)}\nwrite_rps = {self.params.get('write_rps', 30.0)}\n"
            f"value_kb = {self.params.get('value_kb', 16.0)}\ntxn_ops = {self.params.get('txn_ops', 16)}",
            f"[params.cloud]\nrps = {self.params.get('cloud_rps', 6.0)}\nlist_lag_s = {limits.list_lag_s}",
            "[params.resources]\ncpu = 0.18\nmem_mb = 106.0\nfd_limit = 600",
        ]
        return "\n".join(lines) + "\n"

    # -- the controllers

    def start(self, *hosts: str) -> None:
        """Start controllers with the command of the deploy file."""
        for host in hosts or self.hosts:
            with (self.folder / f"{host}.log").open("ab") as log:
                self.processes[host] = subprocess.Popen(
                    [*RUN, str(self.folder / f"{host}.toml")],
                    cwd=ROOT,
                    stderr=log,
                    stdout=log,
                    env={**os.environ, "LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")},
                    start_new_session=True,  # else a stopped process gets SIGHUP when the shell above it ends
                )
            self.note("start", host)

    def signal(self, host: str, number: signal.Signals) -> None:
        """Send a signal to a controller."""
        self.note(number.name, host)
        self.processes[host].send_signal(number)
        if number == signal.SIGKILL:
            self.processes.pop(host).wait()

    async def _watch_processes(self) -> None:
        while True:
            await asyncio.sleep(0.2)
            for host, process in list(self.processes.items()):
                if process.poll() is not None:
                    self.ended.append(host)
                    self.site.breaks("ended", f"{host} ended by itself with {process.returncode}")
                    del self.processes[host]

    async def until(self, what: str, condition: Callable[[], bool], seconds: float) -> None:
        """Wait for something that the case needs; raise NotRunError if it does not come."""
        end = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > end:
                raise NotRunError(f"never came: {what}")
            await asyncio.sleep(0.02)
        self.note("seen:", what)

    async def ready(self, seconds: float = 20.0) -> None:
        """Wait until each controller leads a shard and answers the load balancer."""
        await self.until(
            "each controller leads its shard",
            lambda: [self.state.owner(shard) for shard in range(3)] == self.hosts,
            seconds,
        )

    def log(self, host: str) -> str:
        """Return what a controller has logged."""
        return (self.folder / f"{host}.log").read_text(errors="replace")

    def close(self) -> None:
        """End all processes."""
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        for task in self.tasks:
            task.cancel()
        self.record.close()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)

    # -- the users

    def job(self, ref: str, **changes: Any) -> dict[str, Any]:
        """Return a job's description: a small array, with some fields changed. `real_s` is how long a task runs."""
        description = {
            "ref": ref,
            "herd": "checkin-export",
            "crew": next(iter(self.teams)),
            "gait": "array",
            "rank": "normal",
            "heads": 4,
            "cpus": 1.0,
            "accelerators": 0.0,
            "ram_gb": 1.0,
            "brand": "img-01",
            "image_gb": 0.4,
            "breeds": None,
            "pasture": None,
            "together": False,
            "spread": False,
            "strays": True,
            "trek_s": 10.0,
            "waypoint_s": 0.0,
            "pen_s": 0.0,
            "market_s": None,
            **changes,
        }
        description.setdefault("real_s", description["trek_s"])
        self.site.jobs[ref] = description
        return description

    async def ask(self, method: str, path: str, message: object, host: str, timeout: float = 5.0) -> tuple[int, Any]:
        """Send one request to one controller. Return status 0 without an answer."""
        client = Client(self.site.hosts[host])
        try:
            status, body = await client.request(method, path, message, timeout)
            return status, json.loads(body) if body else None
        except (OSError, ValueError):
            return 0, None
        finally:
            client.close()

    def _learn(self, ref: str, status: int, answer: Any, least: int, what: str, host: str) -> str | None:
        """Check an answer about a job against what users had been told before it was asked."""
        self.note("user", what, ref, "at", host, "->", status, json.dumps(answer))
        if status == 404:
            self.answered[ref] = time.monotonic()
            if least:
                self.site.breaks("forgotten", f"{ref}: 404 from {host}")
            return None
        if status not in (200, 201):
            return None
        self.answered[ref] = time.monotonic()
        condition = str(answer["condition"])
        final = self.last.get(ref)
        if STAGES[condition] < least or (final is not None and STAGES[condition] == 2 and condition != final):
            self.site.breaks("went_back", f"{ref}: {condition} from {host} after {final or least}")
        if condition == "done" and not self.site.done(ref):
            self.site.breaks("not_done", f"{ref}: done from {host}")
        if condition == "withdrawn" and not self._may_be_withdrawn(ref):
            self.site.breaks("went_back", f"{ref}: withdrawn from {host}, but its user did not cancel it")
        if STAGES[condition] == 2:
            self.last.setdefault(ref, condition)
        self.told[ref] = max(self.told.get(ref, 0), STAGES[condition])
        return condition

    def _may_be_withdrawn(self, ref: str) -> bool:
        job = self.site.jobs[ref]
        return ref in self.asked_to_cancel or any(self._may_be_withdrawn(other) for other in job.get("follows") or ())

    async def _repeat(self, once: Callable[[str], Awaitable[bool]], host: str | None, seconds: float) -> bool:
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await once(host or self.random.choice(self.hosts)):
                return True
            await asyncio.sleep(1.0)
        return False

    async def submit(self, job: dict[str, Any], host: str | None = None, seconds: float = 60.0) -> bool:
        """Submit a job until it is accepted or refused. Return whether it was accepted."""
        ref = job["ref"]

        async def once(at: str) -> bool:
            least = self.told.get(ref, 0)
            body = {name: value for name, value in job.items() if name != "real_s"}
            status, answer = await self.ask("POST", "/v1/jobs", body, at)
            self._learn(ref, status, answer, least, "submits", at)
            if status in (400, 422):
                if least:
                    self.site.breaks("forgotten", f"{ref}: {status} from {at} for a repeated submission")
                return True
            if status in (200, 201):
                self.accepted.setdefault(ref, time.monotonic())
                return True
            return False

        await self._repeat(once, host, seconds)
        return ref in self.accepted

    async def poll(self, ref: str, host: str | None = None) -> str | None:
        """Ask about a job once."""
        at = host or self.random.choice(self.hosts)
        least = self.told.get(ref, 0)
        status, answer = await self.ask("GET", f"/v1/jobs/{ref}", None, at, 2.0)
        if status == 200 and ref not in self.site.jobs:
            self.site.breaks("invented", f"{ref} from {at}")
            return None
        return self._learn(ref, status, answer, least, "asks about", at)

    async def cancel(self, ref: str, host: str | None = None, seconds: float = 60.0) -> str | None:
        """Cancel a job until that is answered. Return its condition."""
        self.asked_to_cancel.add(ref)
        found: list[str] = []

        async def once(at: str) -> bool:
            least = self.told.get(ref, 0)
            status, answer = await self.ask("POST", f"/v1/jobs/{ref}/cancel", None, at)
            condition = self._learn(ref, status, answer, least, "cancels", at)
            if condition == "withdrawn":
                self.site.cancelled.setdefault(ref, time.monotonic())
            if condition is not None:
                found.append(condition)
            return condition is not None

        await self._repeat(once, host, seconds)
        return found[0] if found else None


def play(folder: str, case: Callable[["Cluster", bool], Awaitable[None]], make: Callable[[Path], "Cluster"]) -> None:
    """Play a case, write its record, end its processes, and exit with its result."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        current = asyncio.current_task()
        assert current is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, current.cancel)
        cluster = make(Path(folder))
        try:
            await cluster.open()
            cluster.start()
            async with asyncio.timeout(LONGEST_S):
                await case(cluster, trouble)
        except (NotRunError, TimeoutError, asyncio.CancelledError) as error:
            cluster.note("NOT RUN", repr(error))
            print(f"not run: {error!r}")
            return 2
        finally:
            code = 1 if cluster.site.broken else 0
            cluster.note("the rules that were broken:", *cluster.site.broken)
            if os.environ.get("KEEP"):
                print(cluster.folder)
            cluster.close()
        for line in cluster.site.broken:
            print(line)
        return code

    code = 2
    try:
        code = asyncio.run(run())
    except Exception:
        traceback.print_exc()
    sys.stdout.flush()
    os._exit(code)  # without the complaints of connections that were open
