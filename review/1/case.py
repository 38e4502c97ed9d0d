"""Jobs whose tasks have ended are never called done, after one answer of the state service was lost."""

import asyncio
from pathlib import Path

from review.standins.cluster import Cluster, job, main
from review.standins.sites import ZONES, breeds, params
from review.standins.web import Call

NEVER_S = 80.0  # the page allows 3 s; a job that is not called done for so much longer is not just called done late
BIG, LITTLE = ("zuma-32", "lagos-west", False), ("ogun-8", "lagos-island", False)
GANG, SMALL, LATER = "run-000001", "run-000002", "run-000003"
SMALL_JOBS = (SMALL, LATER)


async def play(cluster: Cluster, trouble: bool) -> bool:
    """Let a machine move to the part of a controller with a lower term, and lose one answer of the state service."""
    lost: list[str] = []  # the transaction whose answer is lost
    again: list[str] = []  # later ones of the same kind, for the record
    watching = False

    async def lose_answer(host: str, call: Call, when: str) -> bool:
        """Carry out drover-0's next write of the record of its leadership, but never answer it."""
        raises = host == "drover-0" and call.path == "/txn" and b'"write":"b/parts/0"' in call.raw.replace(b" ", b"")
        if watching and raises and when == "answer" and not lost:
            lost.append(call.raw.decode())
            cluster.note(f"STATE carried out {lost[0]}" + (", and the answer is lost" if trouble else ""))
            if trouble:
                await asyncio.sleep(60)
                return False
        elif watching and raises and when == "request" and lost and len(again) < 3:
            mark = cluster.state.items["b/parts/0"][1]
            again.append(f"STATE gets a write on condition of {call.body['if']}, while the key's mark is {mark}")
            cluster.note(again[-1])
        return True

    cluster.state.hook = lose_answer
    await cluster.cloud.add(*BIG, number=3, boot_s=0.3)
    await cluster.cloud.add(*BIG, number=1, boot_s=0.3)
    await cluster.cloud.add(*LITTLE, number=6, boot_s=0.3)
    cluster.start("drover-0")  # first, so that its term is lower than those of the others
    await cluster.wait(lambda: cluster.is_up("drover-0"), 10, "drover-0 is not up")
    await asyncio.sleep(0.3)
    cluster.start("drover-1")
    cluster.start("drover-2")
    await cluster.until_up()
    await asyncio.sleep(3)  # until every machine reports to its controller
    await cluster.submit(job(SMALL, pasture="lagos-island", strays=False, image_gb=0.1, trek_s=8.0), "drover-0")
    await cluster.wait(lambda: is_so(f"{SMALL}/0" in cluster.fleet.starts), 10, "the small job does not run")
    watching = True
    gang = job(
        GANG, herd="roster-build", crew="payments-ife", gait="group", heads=2, cpus=30.0, ram_gb=51.0, brand="img-06"
    )
    gang |= {"image_gb": 0.4, "pasture": "lagos-west", "together": True, "strays": False, "trek_s": 10.0}
    await cluster.submit(gang, "drover-0")
    await cluster.wait(lambda: is_so(bool(lost)), 10, "no term was raised")
    await asyncio.sleep(3)
    await cluster.submit(job(LATER, pasture="lagos-island", strays=False, image_gb=0.1, trek_s=5.0), "drover-0")
    ends = [f"{ref}/0" for ref in SMALL_JOBS]
    await cluster.wait(lambda: is_so(cluster.fleet.results.issuperset(ends)), 20, "the small jobs' tasks did not end")
    ended = cluster.now()
    cluster.note(f"the tasks {ends} have completed; the state service answers everything since long before")
    while cluster.now() - ended < NEVER_S:
        await asyncio.sleep(3)
        told = {ref: await cluster.user("drover-1", "GET", f"/v1/jobs/{ref}", limit=2) for ref in SMALL_JOBS}
        if all(answer is not None and answer[1].get("condition") == "done" for answer in told.values()):
            return True
    cluster.note(f"BROKEN {NEVER_S} s after their only tasks had completed, the jobs are still not called done: {told}")
    return False


async def is_so(value: bool) -> bool:
    """Return the value, for `Cluster.wait`."""
    return value


if __name__ == "__main__":
    CLUSTER = Cluster(Path(__file__).parent / "record.txt", params(), ZONES, breeds(), {})
    main(CLUSTER, lambda trouble: play(CLUSTER, trouble))
