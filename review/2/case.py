"""Two gangs and an array of one team wait for each other's share of the team's limit, after one machine hung."""

import asyncio
from pathlib import Path

from review.standins.cluster import Cluster, NotRunError, job, main
from review.standins.sites import ZONES, breeds, params

MAY_WAIT_S = 90.0  # how long a job may be left waiting beside room that it could use, once the troubles are over
HANGS_S = 15.0  # one machine hangs for so long, which is longer than its lease, and then goes on
WEST, ISLAND = ("zuma-32", "lagos-west", False), ("zuma-32", "lagos-island", False)
OLD, YOUNG, ARRAY = "run-000001", "run-000002", "run-000003"
JOBS = (OLD, YOUNG, ARRAY)
TEAM = "coaches-ops"  # may use 96 CPUs


async def play(cluster: Cluster, trouble: bool) -> bool:
    """Run a gang, let a second one and an array of the same team wait for it, and let a machine of the first hang."""
    for number in (2, 5):
        await cluster.cloud.add(*WEST, number=number, boot_s=0.3)
    for number in (3, 6, 9):
        await cluster.cloud.add(*ISLAND, number=number, boot_s=0.3)
    for host in cluster.nodes:
        cluster.start(host)
    await cluster.until_up()
    await asyncio.sleep(3)  # until every machine reports to its controller
    big = {"crew": TEAM, "gait": "group", "rank": "urgent", "cpus": 30.0, "ram_gb": 51.0, "together": True}
    big |= {"strays": False, "image_gb": 0.4, "herd": "branch-close"}
    await cluster.submit(job(OLD, heads=2, pasture="lagos-west", trek_s=20.0, **big), "drover-0")
    await cluster.wait(lambda: runs(cluster, OLD, 2), 15, "the first gang does not run")
    await cluster.submit(job(YOUNG, heads=3, pasture="lagos-island", trek_s=10.0, **big), "drover-0")
    array = job(ARRAY, crew=TEAM, heads=200, pasture="lagos-island", strays=False, image_gb=0.2, trek_s=5.0)
    await cluster.submit(array, "drover-0")
    await asyncio.sleep(0.5)
    if any(not name.startswith(OLD) for name in cluster.fleet.starts):
        raise NotRunError("the second gang or the array started too early")
    if trouble:
        await cluster.fleet.machines["host-000005"].hang(HANGS_S)
    over = cluster.now()
    cluster.note("the troubles are over: all controllers answer, all machines are up")
    starts = dict(cluster.fleet.starts)
    while cluster.now() - over < MAY_WAIT_S - 0.1:
        await asyncio.sleep(min(2.0, over + MAY_WAIT_S - cluster.now()))
        for ref in JOBS:
            await cluster.user("drover-1", "GET", f"/v1/jobs/{ref}", limit=2)
        if len(cluster.fleet.machines) < 5:
            raise NotRunError("a machine was returned or lost")
        if cluster.fleet.starts != starts or cluster.fleet.results:
            return await all_go_on(cluster, over)
    cluster.note(f"BROKEN {JOBS} were left waiting for {MAY_WAIT_S} s; all machines were empty, and {TEAM} used 0 CPUs")
    return False


async def all_go_on(cluster: Cluster, over: float) -> bool:
    """Return whether every job starts, or is done, within the bound, now that one has started."""
    while cluster.now() - over < MAY_WAIT_S:
        await asyncio.sleep(1)
        if all(any(name.startswith(ref) for name in cluster.fleet.starts) for ref in JOBS):
            return True
    cluster.note("BROKEN one of the jobs was left waiting")
    return False


async def runs(cluster: Cluster, ref: str, tasks: int) -> bool:
    """Return whether so many tasks of a job are on machines."""
    return sum(bool(cluster.fleet.on_machine.get(f"{ref}/{number}")) for number in range(tasks)) == tasks


if __name__ == "__main__":
    CLUSTER = Cluster(Path(__file__).parent / "record.txt", params(), ZONES, breeds(), {})
    main(CLUSTER, lambda trouble: play(CLUSTER, trouble))
