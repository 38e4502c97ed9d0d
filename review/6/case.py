"""Cheap machines are taken back in a wave; jobs bound to their zone wait on beside machines with room."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from review.harness.cluster import Cluster, NotRunError, play  # noqa: E402
from review.harness.site import Limits, Worker  # noqa: E402

WAIT_S = 90.0  # "no job is left waiting for 90 s"
ZONE, OTHER_ZONE = "lagos-island", "lagos-west"
CREW, MOST = "gates-team", 96.0
WAVE = [f"host-{number:06d}" for number in (23, 24, 26, 27, 29, 30)]  # 6 of 30 cheap machines: 0.20, the site has 0.21
WAVE_S = 5.0


def make(folder: Path) -> Cluster:
    """The gyms' deployment: 30 cheap machines are up, and the cloud has no more to give."""
    limits = Limits(boot_s=25.0, capacity=0, zones=(OTHER_ZONE, ZONE))
    return Cluster(folder, limits, {CREW: (64.0, MOST)}, within_s=5.0)


def room(cluster: Cluster, worker: Worker) -> float:
    """Return the free CPUs of a machine."""
    used = sum(cluster.site.jobs[task.ref]["cpus"] for task in worker.tasks.values() if task.condition != "exited")
    return cluster.limits.cpus - used


def could_run(cluster: Cluster, ref: str) -> bool:
    """Return whether a machine that fits has room for the job's task and its team is under its limit."""
    job = cluster.site.jobs[ref]
    used = sum(cluster.site.jobs[name.rpartition("/")[0]]["cpus"] for name in cluster.site.on)
    fits = any(
        worker.machine.pasture == job["pasture"] and room(cluster, worker) >= job["cpus"]
        for worker in cluster.site.workers()
    )
    return fits and used + job["cpus"] <= MOST


async def watch(cluster: Cluster, refs: list[str]) -> None:
    """Report a job that has waited for WAIT_S since the wave, at every moment of which it could have run."""
    since = dict.fromkeys(refs, time.monotonic())
    begun = time.monotonic()
    while time.monotonic() < begun + WAIT_S + 5.0 and not cluster.site.broken:
        await asyncio.sleep(0.5)
        for ref in refs:
            if f"{ref}/0" in cluster.site.on or cluster.site.done(ref) or not could_run(cluster, ref):
                since[ref] = time.monotonic()
            elif time.monotonic() - since[ref] > WAIT_S:
                free = sum(room(cluster, worker) for worker in cluster.site.workers() if worker.machine.pasture == ZONE)
                used = sum(cluster.site.jobs[name.rpartition("/")[0]]["cpus"] for name in cluster.site.on)
                cluster.site.breaks(
                    "left_waiting", f"{ref}: {WAIT_S} s beside {free} free CPUs in {ZONE}; {CREW} uses {used} of {MOST}"
                )
        if int(time.monotonic() - begun) % 10 == 0:
            for ref in refs:
                await cluster.poll(ref)


async def case(cluster: Cluster, trouble: bool) -> None:
    """Run work in both zones, let a gang of idle rank wait for its team's limit, and take six machines back."""
    for number in range(1, 31):
        island = number % 3 == 1 or number > 21
        cluster.site.rent(ZONE if island else OTHER_ZONE, strays=True, boot_s=0.1)
    await cluster.ready()
    await cluster.until(
        "all machines are members", lambda: sum(key.startswith("b/machines/") for key in cluster.state.items) == 30, 20
    )
    long = {"crew": CREW, "trek_s": 150.0, "cpus": 1.0}
    await cluster.submit(cluster.job("run-000001", heads=40, pasture=OTHER_ZONE, **long))
    refs = [f"run-{number:06d}" for number in range(100, 116)]
    for ref in refs:
        await cluster.submit(cluster.job(ref, heads=1, pasture=ZONE, **long))
    names = [f"{ref}/0" for ref in refs] + [f"run-000001/{index}" for index in range(40)]
    await cluster.until("the arrays run", lambda: all(name in cluster.site.on for name in names), 15.0)
    # 40 + 16 CPUs are in use. The gang needs 56 of 96, so it has to wait, and it has the lowest rank.
    await cluster.submit(
        cluster.job(
            "run-000002",
            crew=CREW,
            gait="group",
            rank="idle",
            heads=8,
            cpus=7.0,
            ram_gb=4.0,
            brand="img-05",
            trek_s=60.0,
        )
    )
    await asyncio.sleep(1.0)
    hit = [ref for ref in refs if cluster.site.on[f"{ref}/0"].name in WAVE]
    if not hit:
        raise NotRunError("no job of the zone is on a cheap machine")
    if trouble:
        cluster.note("the cloud takes back", *WAVE, "with", *hit)
        for name in WAVE:
            cluster.site.remove(name)
            await asyncio.sleep(WAVE_S / len(WAVE))
    await watch(cluster, hit)


play(str(FOLDER), case, make)
