"""An array that must stay in one zone loses machines there, and keeps its team's limit from jobs that could run."""

import asyncio
import sys
import time
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from review.harness.cluster import Cluster, NotRunError, play  # noqa: E402
from review.harness.site import Limits, Worker  # noqa: E402

WAIT_S = 90.0  # "no job is left waiting for 90 s"
ZONES = ("lagos-west", "lagos-island", "abuja-central")
CREW, MOST = "gates-team", 96.0
LOST, WAVE_S = 2, 5.0  # 2 of 10 cheap machines: 0.20, the site has 0.21, over 5 s


def make(folder: Path) -> Cluster:
    """The gyms' deployment: 30 machines are up, and the cloud has no more to give."""
    return Cluster(folder, Limits(boot_s=25.0, capacity=0, zones=ZONES), {CREW: (64.0, MOST)}, within_s=5.0)


def used(cluster: Cluster) -> float:
    """Return the CPUs that the team's tasks use."""
    return float(sum(cluster.site.jobs[name.rpartition("/")[0]]["cpus"] for name in cluster.site.on))


def room(cluster: Cluster, worker: Worker) -> float:
    """Return the free CPUs of a machine."""
    taken = sum(cluster.site.jobs[task.ref]["cpus"] for task in worker.tasks.values() if task.condition != "exited")
    return cluster.limits.cpus - float(taken)


async def watch(cluster: Cluster, refs: list[str]) -> None:
    """Report a job that has waited for WAIT_S, at every moment of which it could have run."""
    since = dict.fromkeys(refs, time.monotonic())
    end = time.monotonic() + WAIT_S + 5.0
    while time.monotonic() < end and not cluster.site.broken:
        await asyncio.sleep(0.5)
        for ref in refs:
            job = cluster.site.jobs[ref]
            free = [room(cluster, worker) for worker in cluster.site.workers() if worker.machine.pasture == ZONES[2]]
            could_run = max(free) >= job["cpus"] and used(cluster) + job["cpus"] <= MOST
            if f"{ref}/0" in cluster.site.on or cluster.site.done(ref) or not could_run:
                since[ref] = time.monotonic()
            elif time.monotonic() - since[ref] > WAIT_S:
                cluster.site.breaks(
                    "left_waiting",
                    f"{ref}: {WAIT_S} s beside {sum(free)} free CPUs in its zone; {CREW}: {used(cluster)} of {MOST}",
                )
        if int(time.monotonic()) % 10 == 0:
            for ref in refs:
                await cluster.poll(ref)


async def run_on_cheap_machines(cluster: Cluster, long: dict[str, Any]) -> list[str]:
    """Have the first array run on five cheap machines of a zone; cancel it and submit another if it runs elsewhere."""
    await asyncio.sleep(1.0)
    leader = cluster.hosts[cluster.state.items["b/machines/host-000003"][0]["part"]]  # of the cheap machines
    for ref in ("run-000001", "run-000011", "run-000012"):
        job = cluster.job(ref, heads=20, cpus=2.0, together=True, brand="img-02", **long)
        await cluster.submit(job, host=leader)
        await cluster.until("the first array runs", lambda: used(cluster) == 40.0, 15.0)
        on = sorted({worker.name for worker in cluster.site.on.values()})
        if len(on) == 5 and all(cluster.site.machines[name].strays for name in on):
            return on
        await cluster.cancel(ref)
        await cluster.until("the array has ended", lambda: not cluster.site.on, 15.0)
    raise NotRunError("the first array is not on cheap machines")


async def case(cluster: Cluster, trouble: bool) -> None:
    """Bring the team to its limit, take cheap machines back, and look at the jobs that wait for the limit."""
    for number in range(1, 31):
        cheap = number % 3 == 0
        cluster.site.rent(ZONES[number // 3 % 2] if cheap else ZONES[2], strays=cheap, boot_s=0.1)
    await cluster.ready()
    await cluster.until(
        "all machines are members", lambda: sum(key.startswith("b/machines/") for key in cluster.state.items) == 30, 20
    )
    long = {"crew": CREW, "trek_s": 150.0}
    on = await run_on_cheap_machines(cluster, long)
    await cluster.submit(cluster.job("run-000002", heads=56, pasture=ZONES[2], strays=False, **long))
    await cluster.until("the team is at its limit", lambda: used(cluster) == MOST, 15.0)
    refs = [f"run-{number:06d}" for number in range(100, 106)]
    for ref in refs:
        await cluster.submit(cluster.job(ref, heads=1, pasture=ZONES[2], strays=False, **long))
    await asyncio.sleep(1.0)
    if trouble:
        cluster.note("the cloud takes back", *on[:LOST])
        for name in on[:LOST]:
            cluster.site.remove(name)
            await asyncio.sleep(WAVE_S / LOST)
    await watch(cluster, refs)


play(str(FOLDER), case, make)
