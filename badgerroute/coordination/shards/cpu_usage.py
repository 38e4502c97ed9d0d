"""What a shard's processors are used for, by cause, for people on call and for accounting."""

from dataclasses import asdict, dataclass

from badgerroute.scheduling.shard import Shard
from badgerroute.scheduling.task_phase import Phase

PHASES = {
    Phase.RESERVED: "starting",
    Phase.SENT: "starting",
    Phase.FETCHING: "fetching",
    Phase.WAITING: "waiting",
    Phase.RUNNING: "running",
    Phase.SAVING: "saving",
}


@dataclass(slots=True)
class CpuUsage:
    """Processors by what they do at one moment."""

    running: float = 0.0
    starting: float = 0.0  # told to start a task, or about to be
    fetching: float = 0.0  # taken by a task that waits for its image
    waiting: float = 0.0  # taken by a gang's task that waits for the others
    saving: float = 0.0
    held: float = 0.0  # free, but kept for a job that room was made for
    beside: float = 0.0  # free on a machine that runs something
    empty: float = 0.0  # on a machine that runs nothing
    unusable: float = 0.0  # free on a machine on which nothing may start

    def __str__(self) -> str:
        return " ".join(f"{cause}={processors:.0f}" for cause, processors in asdict(self).items())


def cpu_usage(shard: Shard) -> CpuUsage:
    """The processors of a shard's machines, each counted once."""
    use = CpuUsage()
    for machine in shard.machines.values():
        for placement in machine.placements.values():
            cause = PHASES[placement.phase]
            setattr(use, cause, getattr(use, cause) + placement.job.need.cpus)
        if not machine.usable:
            use.unusable += machine.free.cpus
        elif machine.reserved_for is not None:
            use.held += machine.free.cpus
        elif machine.placements:
            use.beside += machine.free.cpus
        else:
            use.empty += machine.free.cpus
    return use
