"""Where a part stands, for people on call."""

import logging
from collections import Counter

from badgerroute.coordination.parts.processor_use import processor_use
from badgerroute.scheduling.part import Part

log = logging.getLogger("badgerroute.owner")


def log_state(part: Part) -> None:
    """One line on the part's machines and tasks, and one on what its processors do."""
    machines = list(part.machines.values())
    phases = Counter(placement.phase.value for machine in machines for placement in machine.placements.values())
    log.info(
        "event=part_state part=%d machines=%d unusable=%d empty=%d held=%d free=%.0f jobs=%d wanting=%d %s",
        part.number,
        len(machines),
        sum(not machine.usable for machine in machines),
        sum(machine.empty for machine in machines),
        sum(machine.held_for is not None for machine in machines),
        sum(machine.free.cpus for machine in machines),
        len(part.jobs),
        sum(job.waiting_bits.bit_count() for job in part.jobs.values()),
        " ".join(f"{phase}={count}" for phase, count in sorted(phases.items())),
    )
    log.info("event=part_processors part=%d %s", part.number, processor_use(part))
