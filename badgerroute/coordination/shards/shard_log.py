"""Logs the state of a shard, for on-call engineers."""

import logging
from collections import Counter
from datetime import timedelta

from badgerroute.coordination.shards.cpu_usage import cpu_usage
from badgerroute.scheduling.shard import Shard
from badgerroute.transport.loop import Loop

log = logging.getLogger(__name__)
LOG_INTERVAL = timedelta(seconds=10)


async def log_state_repeatedly(loop: Loop, shard: Shard) -> None:
    """Log a shard's state at regular intervals."""
    while True:
        await loop.sleep(LOG_INTERVAL)
        log_state(shard)


def log_state(shard: Shard) -> None:
    """Log a line about the shard's machines and tasks, and a line about the use of its processors."""
    machines = list(shard.machines.values())
    phases = Counter(placement.phase.value for machine in machines for placement in machine.placements.values())
    log.info(
        "event=shard_state_reported shard=%d machines=%d unusable=%d empty=%d held=%d free=%.0f jobs=%d wanting=%d %s",
        shard.number,
        len(machines),
        sum(not machine.usable for machine in machines),
        sum(machine.empty for machine in machines),
        sum(machine.reserved_for is not None for machine in machines),
        sum(machine.free.cpus for machine in machines),
        len(shard.jobs),
        sum(job.waiting_bits.bit_count() for job in shard.jobs.values()),
        " ".join(f"{phase}={count}" for phase, count in sorted(phases.items())),
    )
    log.info("event=shard_cpus_reported shard=%d %s", shard.number, cpu_usage(shard))
