"""What a shard's processors are used for, by cause, for on-call engineers and for accounting."""

from dataclasses import asdict, dataclass

from badgerroute.scheduling.shard import Shard
from badgerroute.scheduling.task_phase import Phase

CAUSES = {  # phase of a task -> field of `CpuUsage`
    Phase.RESERVED: "starting",
    Phase.SENT: "starting",
    Phase.FETCHING: "fetching",
    Phase.WAITING: "waiting",
    Phase.RUNNING: "running",
    Phase.SAVING: "saving",
}


@dataclass(slots=True)
class CpuUsage:
    """Processors by what they do at one moment. The names are the keys of the log line."""

    running: float = 0.0
    starting: float = 0.0  # a task there has its start command, or is about to get it
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
    usage = CpuUsage()
    for machine in shard.machines.values():
        for placement in machine.placements.values():
            cause = CAUSES[placement.phase]
            setattr(usage, cause, getattr(usage, cause) + placement.job.need.cpus)
        if not machine.usable:
            usage.unusable += machine.free.cpus
        elif machine.reserved_for is not None:
            usage.held += machine.free.cpus
        elif machine.placements:
            usage.beside += machine.free.cpus
        else:
            usage.empty += machine.free.cpus
    return usage
