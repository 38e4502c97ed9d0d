"""A repeated submission of a job that its user was told is cancelled, while one read of the state service is slow."""

import asyncio
import signal
from pathlib import Path
from typing import Any

from review.standins.cluster import Cluster, NotRunError, job, main
from review.standins.sites import ZONES, breeds, params
from review.standins.web import Answer, Call

SLOW_S = 0.3  # how much later than usual one answer of the state service comes
ROUNDS = 6
RESTARTED = "drover-1"  # its process ends and comes back after the first jobs were cancelled, as on any upgrade
BACK_AFTER_S = 3.0
ASKED_AFTER_S = (0.0, 0.01, 0.03)  # when the submission is repeated, counted from the answer to the first one


async def play(cluster: Cluster, trouble: bool) -> bool:
    """Cancel jobs, submit jobs that follow them, and repeat each submission right after its answer."""
    late: set[str] = set()  # keys of which one read was answered late

    async def slow_read(host: str, call: Call, when: str) -> bool:
        """Hold the answer to the restarted controller's first read of each job's record."""
        first = call.path.startswith("/kv/b/jobs/") and call.path not in late
        if trouble and when == "answer" and host == RESTARTED and first:
            late.add(call.path)
            cluster.note(f"STATE the answer to {host}, GET {call.path}, comes {SLOW_S} s late")
            await asyncio.sleep(SLOW_S)
        return True

    for host in cluster.nodes:
        cluster.start(host)
    await cluster.until_up()
    await asyncio.sleep(3)
    upstream = [f"run-{number:06d}" for number in range(1, 1 + ROUNDS)]
    for ref in upstream:
        await cluster.submit(job(ref, trek_s=300.0), "drover-0")
        if await cluster.cancel(ref, "drover-0") != "withdrawn":
            raise NotRunError(f"{ref} was done before it was cancelled")
    cluster.signal(RESTARTED, signal.SIGKILL)
    await asyncio.sleep(BACK_AFTER_S)
    cluster.start(RESTARTED)
    await cluster.until_up()
    await asyncio.sleep(8)  # until every controller leads its part again
    cluster.state.hook = slow_read
    held, told = True, 0
    for number, before in enumerate(upstream, start=101):
        ref = f"run-{number:06d}"
        description = job(ref, follows=[before])
        _, accepted = await cluster.submit(description, "drover-0")
        if accepted["condition"] != "withdrawn":
            continue  # the user was not told yet that the job is cancelled, so nothing is older than that
        told += 1
        told_at = cluster.now()

        async def repeat(after: float, description: dict[str, Any] = description) -> Answer | None:
            await asyncio.sleep(after)
            return await cluster.user(RESTARTED, "POST", "/v1/jobs", description)

        for again in await asyncio.gather(*(repeat(after) for after in ASKED_AFTER_S)):
            if again is not None and again[0] in (200, 201) and again[1]["condition"] != "withdrawn":
                held = False
                condition = again[1]["condition"]
                cluster.note(
                    f"BROKEN went_back: {ref} was called withdrawn at {told_at:.3f}, and {condition} after that"
                )
        await asyncio.sleep(1)
    if not told or (trouble and not late):
        raise NotRunError("no user was told that a job is cancelled, or no read was slow")
    return held


if __name__ == "__main__":
    CLUSTER = Cluster(Path(__file__).parent / "record.txt", params(), ZONES, breeds(), {})
    main(CLUSTER, lambda trouble: play(CLUSTER, trouble))
