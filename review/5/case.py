"""A vast array of small tasks: the answer to a report has a line that no worker takes, and nothing is done any more."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from review.harness.cluster import Cluster, play  # noqa: E402
from review.harness.site import Limits  # noqa: E402

SMALL, USUAL = 0.05, 1.0  # CPUs of a task of the array
HEADS = 4000
PATIENCE_S = 80.0


def make(folder: Path) -> Cluster:
    """The gyms' deployment, with the machine type that PROTOCOL gives as its example."""
    limits = Limits(breed="g8", cpus=96.0, ram_gb=768.0, boot_s=45.0, fetch_gb_per_s=1.0, capacity=2)
    return Cluster(folder, limits, {"insights-lab": (64.0, 216.0), "members-desk": (104.0, 320.0)})


async def case(cluster: Cluster, trouble: bool) -> None:
    """Submit the array beside another team's job, and see whether both are done."""
    for zone in cluster.limits.zones:
        for _ in range(2):
            cluster.site.rent(zone, boot_s=0.1)
    await cluster.ready()
    await asyncio.sleep(2.0)
    beside = cluster.job("run-000398", crew="members-desk", heads=40, trek_s=30.0, brand="img-02")
    await cluster.submit(beside)
    await cluster.until("the other job runs", lambda: sum("run-000398" in name for name in cluster.site.on) == 40, 20)
    cpus = SMALL if trouble else USUAL
    array = cluster.job("run-000412", heads=HEADS, cpus=cpus, ram_gb=cpus, trek_s=1.0, image_gb=0.5, rank="idle")
    await cluster.submit(array)
    end = time.monotonic() + PATIENCE_S
    conditions: list[str | None] = []
    while time.monotonic() < end and conditions != ["done", "done"]:
        await asyncio.sleep(2.0)
        conditions = [await cluster.poll(job["ref"]) for job in (beside, array)]
    workers = [machine.worker for machine in cluster.site.machines.values() if machine.worker is not None]
    for worker in workers:
        cluster.note(
            worker.name, "answers too long:", worker.long_lines, "reports too long:", worker.long_reports,
            "leases that ended with tasks:", worker.kills,
        )  # fmt: skip
    dropped = sum(worker.long_lines for worker in workers)
    if dropped:
        cluster.site.breaks("line_limit", f"{dropped} answers to reports had a line above 64 KiB")
    for job in (beside, array):
        if not cluster.site.done(job["ref"]):
            count = sum(name.rpartition("/")[0] == job["ref"] for name in cluster.site.finished)
            cluster.site.breaks("must_run", f"{job['ref']}: {count} of {job['heads']} tasks done after {PATIENCE_S} s")


play(str(FOLDER), case, make)
