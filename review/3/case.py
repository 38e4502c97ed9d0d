"""A job whose machine was taken back waits beside an empty machine, while another job waits in a third part."""

import asyncio
from pathlib import Path

from review.standins.cluster import Cluster, NotRunError, job, main
from review.standins.sites import ZONES, breeds, params

MAY_WAIT_S = 90.0  # how long a job may be left waiting beside room that it could use, once the troubles are over
ORDINARY = ("ogun-8", "lagos-west", False)
CHEAP = ("ogun-8", "lagos-west", True)
BUSY, EMPTY, TAKEN = 3, 1, 2  # numbers of the machines, one in the part of each controller
WHOLE, SMALL = "run-000001", "run-000037"


async def play(cluster: Cluster, trouble: bool) -> bool:
    """Fill one machine with a large job of one zone, run a small one on a cheap machine, and take that machine back."""
    await cluster.cloud.add(*ORDINARY, number=BUSY, boot_s=0.5)
    await cluster.cloud.add(*ORDINARY, number=EMPTY, boot_s=0.5)
    cheap = await cluster.cloud.add(*CHEAP, number=TAKEN, boot_s=0.5)
    for host in cluster.nodes:
        cluster.start(host)
    await cluster.until_up()
    await asyncio.sleep(5)  # until every machine reports to its controller
    small = job(SMALL, crew="payments-ife", rank="urgent", image_gb=0.1, brand="img-01", trek_s=20.0)
    await cluster.submit(small, "drover-2")
    whole = job(WHOLE, heads=200, together=True, image_gb=0.1, brand="img-06", trek_s=200.0)
    await cluster.submit(whole, "drover-0")
    await asyncio.sleep(4)
    if not any(name.startswith(f"{WHOLE}/") for name in cluster.fleet.starts):
        raise NotRunError("the large job does not run")
    if f"{SMALL}/0" not in cluster.fleet.starts:
        raise NotRunError("the small job does not run")
    where = cluster.fleet.on_machine[f"{SMALL}/0"]
    if where != [cheap]:
        raise NotRunError(f"the small job runs on {where}, not on the cheap machine")
    if trouble:
        cluster.cloud.lose(cheap, "taken back without a notice")
        cluster.cloud.capacity[CHEAP] = 0
    over = cluster.now()
    while cluster.now() - over < MAY_WAIT_S:
        await asyncio.sleep(5)
        await cluster.user("drover-1", "GET", f"/v1/jobs/{SMALL}", limit=2)
        if f"{SMALL}/0" in cluster.fleet.results:
            return True
        if cluster.fleet.machines[f"host-{EMPTY:06d}"].tasks:
            over = cluster.now()  # the machine had no room: the wait counts from here on
        if cluster.now() > 112:
            raise NotRunError("the job neither waited for long enough nor ended")
    cluster.note(f"BROKEN {SMALL} was left waiting for {MAY_WAIT_S} s beside an empty machine")
    return False


if __name__ == "__main__":
    CLUSTER = Cluster(Path(__file__).parent / "record.txt", params(), ZONES, breeds(), {})
    main(CLUSTER, lambda trouble: play(CLUSTER, trouble))
