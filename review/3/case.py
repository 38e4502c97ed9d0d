"""A gang that fits on the machines waits for ever, because a controller was away when machines were asked for."""

import asyncio
import signal
from pathlib import Path

from review.standins.cluster import Cluster, NotRunError, job, main
from review.standins.sites import ZONES, breeds, params

BACK_AFTER_S = 3.0  # how soon a controller that ended is back
MAY_WAIT_S = 90.0  # how long a job may be left waiting beside room that it could use, once the troubles are over
POOL = ("zuma-32", "lagos-west", False)
MACHINES = (1, 2, 3, 6)  # their numbers: two of them join the part of one controller, and one that of each other one
GANG = "run-000001"


async def play(cluster: Cluster, trouble: bool) -> bool:
    """Submit a gang that needs all four machines, while one controller is away for three seconds."""
    for number in MACHINES:
        await cluster.cloud.add(*POOL, number=number, boot_s=0.5)
    for host in cluster.nodes:
        cluster.start(host)
    await cluster.until_up()
    await asyncio.sleep(6)  # until every machine reports to its controller
    if len(cluster.fleet.machines) < len(MACHINES):
        raise NotRunError("not all machines are up")
    if trouble:
        cluster.signal("drover-1", signal.SIGKILL)
    gang = job(
        GANG,
        herd="roster-build",
        crew="payments-ife",
        gait="group",
        heads=4,
        cpus=30.0,
        ram_gb=51.0,
        brand="img-06",
        image_gb=1.8,
        together=True,
        strays=False,
        trek_s=10.0,
        waypoint_s=60.0,
        pen_s=4.0,
    )
    await cluster.submit(gang, "drover-0")
    if trouble:
        await asyncio.sleep(BACK_AFTER_S)
        cluster.start("drover-1")
    await cluster.until_up()
    over = cluster.now()
    cluster.note("the troubles are over: all controllers answer, all machines are up and empty")
    while cluster.now() - over < MAY_WAIT_S:
        await asyncio.sleep(5)
        answer = await cluster.user("drover-2", "GET", f"/v1/jobs/{GANG}", limit=2)
        if cluster.fleet.starts or (answer is not None and answer[0] == 200 and answer[1]["condition"] != "queued"):
            return True
        if len(cluster.fleet.machines) < len(MACHINES):
            raise NotRunError("a machine was returned or lost")
    cluster.note(f"BROKEN {GANG} was left waiting for {MAY_WAIT_S} s while {len(MACHINES)} machines had room for it")
    return False


if __name__ == "__main__":
    CLUSTER = Cluster(Path(__file__).parent / "record.txt", params(), ZONES, breeds(), {})
    main(CLUSTER, lambda trouble: play(CLUSTER, trouble))
