"""Starts three controllers with the command of the deploy file, beside the stand-ins, and records what happens."""

import asyncio
import os
import shlex
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from review.standins.machines import Cloud, Fleet
from review.standins.state import State
from review.standins.web import Answer, ask

ROOT = Path(__file__).resolve().parents[2]
HOSTS = ["drover-0", "drover-1", "drover-2"]
LONGEST_S = 118.5
HELD, BROKEN, NOT_RUN = 0, 1, 2


class NotRunError(Exception):
    """The case could not run, for example because a step before the disruption did not happen."""


HELD_PORTS: list[socket.socket] = []


def free_address() -> str:
    """Return a loopback address with a free port.

    A socket that does not listen holds the port until the end of the run, so that no other program is given it before a
    controller listens there, or while a controller is away.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    HELD_PORTS.append(sock)
    return f"127.0.0.1:{sock.getsockname()[1]}"


def toml_value(value: Any) -> str:
    """Return a value as TOML."""
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, list):
        return "[" + ", ".join(toml_value(item) for item in value) + "]"
    return f'"{value}"' if isinstance(value, str) else str(value)


def toml_tables(name: str, value: Any) -> list[str]:
    """Return a table, or a list of tables, as lines of TOML."""
    if isinstance(value, list):
        return [
            line for item in value for line in [f"[[{name}]]", *(f"{k} = {toml_value(v)}" for k, v in item.items())]
        ]
    return [f"[{name}]", *(f"{key} = {toml_value(item)}" for key, item in value.items())]


class Cluster:
    """Three controllers as processes, and the stand-ins for everything around them.

    `params` is the part `params` of the settings file. `breeds` and `capacity` are those of the cloud.
    """

    def __init__(
        self,
        record: Path,
        params: dict[str, Any],
        zones: list[str],
        breeds: list[dict[str, Any]],
        capacity: dict[tuple[str, str, bool], int],
    ) -> None:
        self._record = record.open("w", encoding="utf-8")
        self._began = time.monotonic()
        self._params, self._zones = params, zones
        self.nodes = {host: free_address() for host in HOSTS}
        self.mesh = {host: free_address() for host in HOSTS}
        self.state = State(params["state"])
        self.fleet = Fleet(params["workers"], self.nodes, self.note)
        self.cloud = Cloud(self.fleet, breeds, capacity)
        self._folder = tempfile.TemporaryDirectory(prefix="badgerroute-review-")
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._background: list[asyncio.Task[Any]] = []
        self._connected: dict[str, dict[str, str]] = {}

    def now(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self._began

    def note(self, text: str) -> None:
        """Write a line into the record."""
        self._record.write(f"{self.now():8.3f} {text}\n")
        self._record.flush()

    # -- controllers

    async def open(self) -> None:
        """Start the stand-ins, and write the settings of the controllers."""
        cloud = await self.cloud.start()
        self._background.append(asyncio.create_task(self.state.expire_leases()))
        for host in HOSTS:
            self._connected[host] = {"cloud": cloud, "state": await self.state.start(host)}

    def start(self, host: str) -> None:
        """Start a controller's process."""
        settings = Path(self._folder.name) / f"{host}.toml"
        zone = self._zones[HOSTS.index(host) % len(self._zones)]
        lines = [f'host_name = "{host}"', f'zone = "{zone}"']
        lines += [f'public_addr = "{self.nodes[host]}"', f'mesh_addr = "{self.mesh[host]}"']
        for index, peer in enumerate(HOSTS):
            if peer != host:
                peer_zone = self._zones[index % len(self._zones)]
                lines += toml_tables("siblings", [{"host_name": peer, "zone": peer_zone, "endpoint": self.mesh[peer]}])
        lines += toml_tables("endpoints", self._connected[host])
        plain = {key: value for key, value in self._params.items() if not isinstance(value, dict)}
        tables = {
            key: value
            for key, value in plain.items()
            if isinstance(value, list) and value and isinstance(value[0], dict)
        }
        lines += toml_tables("params", {key: value for key, value in plain.items() if key not in tables})
        tables |= {key: value for key, value in self._params.items() if isinstance(value, dict)}
        for key, value in tables.items():
            lines += toml_tables(f"params.{key}", value)
        settings.write_text("\n".join(lines) + "\n", encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text(encoding="utf-8"))
        with (Path(self._folder.name) / f"{host}.log").open("ab") as log:
            self._processes[host] = subprocess.Popen(
                [*shlex.split(deploy["run"]), str(settings)], cwd=ROOT, stderr=log, stdin=subprocess.DEVNULL
            )
        self.note(f"CONTROLLER {host} started")

    def signal(self, host: str, number: signal.Signals) -> None:
        """Send a signal to a controller's process."""
        self.note(f"CONTROLLER {host} gets {number.name}")
        self._processes[host].send_signal(number)
        if number is signal.SIGKILL:
            self._processes[host].wait()

    async def until_up(self, limit: float = 20.0) -> None:
        """Wait until every controller can take requests."""
        for host in HOSTS:
            await self.wait(lambda host=host: self.is_up(host), limit, f"{host} is not up")

    async def is_up(self, host: str) -> bool:
        """Return whether a controller can take requests."""
        answer = await ask(self.nodes[host], "GET", "/up", limit=1)
        return answer is not None and answer[0] == 200

    async def wait(self, reached: Callable[[], Awaitable[bool]], limit: float, otherwise: str) -> None:
        """Wait until something is so; raise NotRunError if it is not within `limit` seconds."""
        end = self.now() + limit
        while not await reached():
            if self.now() > end:
                raise NotRunError(otherwise)
            await asyncio.sleep(0.1)

    def log_lines(self, host: str, word: str) -> list[str]:
        """Return the lines with a word that a controller has logged. For the record only; no verdict rests on them."""
        text = (Path(self._folder.name) / f"{host}.log").read_text(encoding="utf-8", errors="replace")
        return [line for line in text.splitlines() if word in line]

    def close(self) -> None:
        """End all processes that were started."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        if os.environ.get("KEEP_LOGS"):
            for host in HOSTS:
                log = Path(self._folder.name) / f"{host}.log"
                if log.exists():
                    (Path(os.environ["KEEP_LOGS"]) / log.name).write_bytes(log.read_bytes())
        self._folder.cleanup()
        self._record.close()

    # -- users

    async def user(self, host: str, method: str, path: str, body: Any = None, limit: float = 5.0) -> Answer | None:
        """Send a user's request to a controller, and record it with its answer."""
        sent = self.now()
        answer = await ask(self.nodes[host], method, path, body, limit)
        name = f" {body['ref']}" if isinstance(body, dict) and "ref" in body else ""
        self.note(f"USER {method} {path}{name} to {host}, sent {sent:.3f}: {answer}")
        return answer

    async def submit(self, job: dict[str, Any], host: str) -> Answer:
        """Submit a job until it is accepted, every second and to the same controller."""
        self.fleet.jobs[job["ref"]] = job
        for _ in range(20):
            answer = await self.user(host, "POST", "/v1/jobs", job)
            if answer is not None and answer[0] in (200, 201):
                return answer
            await asyncio.sleep(1)
        raise NotRunError(f"{job['ref']} was not accepted")

    async def cancel(self, ref: str, host: str) -> str:
        """Cancel a job until that is answered; return the answered condition."""
        for _ in range(20):
            answer = await self.user(host, "POST", f"/v1/jobs/{ref}/cancel")
            if answer is not None and answer[0] == 200:
                return str(answer[1]["condition"])
            await asyncio.sleep(1)
        raise NotRunError(f"{ref} was not cancelled")


def job(ref: str, **fields: Any) -> dict[str, Any]:
    """Return a job as users submit it: one task of one CPU, with the given other fields."""
    description = {
        "ref": ref,
        "herd": "checkin-export",
        "crew": "members-desk",
        "gait": "array",
        "rank": "normal",
        "heads": 1,
        "cpus": 1.0,
        "accelerators": 0.0,
        "ram_gb": 1.0,
        "brand": "img-01",
        "image_gb": 0.6,
        "breeds": None,
        "pasture": None,
        "together": False,
        "spread": False,
        "strays": True,
        "trek_s": 40.0,
        "waypoint_s": 0.0,
        "pen_s": 0.0,
        "market_s": None,
    }
    return description | fields


def main(cluster: Cluster, play: Callable[[bool], Awaitable[bool]]) -> None:
    """Play a case with or without its disruption, and exit with its verdict.

    `play` gets whether the disruption is to happen and returns whether the rule held. The process ends as soon as the
    controllers have been ended, without waiting for the tasks of the stand-ins.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    finishing = threading.Lock()

    def finish(verdict: int) -> None:
        if finishing.acquire(blocking=False):
            cluster.note(f"VERDICT {verdict} (0: held, 1: broken, 2: not run), disruption: {trouble}")
            cluster.close()
            os._exit(verdict)

    async def run() -> None:
        verdict = NOT_RUN
        try:
            await cluster.open()
            verdict = HELD if await asyncio.wait_for(play(trouble), LONGEST_S) else BROKEN
        except Exception as error:
            cluster.note(f"NOT RUN: {error!r}")
        finish(verdict)

    watchdog = threading.Timer(LONGEST_S + 0.5, finish, [NOT_RUN])
    watchdog.daemon = True
    watchdog.start()
    asyncio.run(run())
