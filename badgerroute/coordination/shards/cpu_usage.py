"""Counts a shard's processors by their current use, for on-call engineers and for accounting."""

from dataclasses import asdict, dataclass

from badgerroute.scheduling.shard import Shard
from badgerroute.scheduling.task_phase import Phase

FIELD_BY_PHASE = {  # task phase -> field of `CpuUsage`
    Phase.RESERVED: "starting",
    Phase.SENT: "starting",
    Phase.FETCHING: "fetching",
    Phase.WAITING: "waiting",
    Phase.RUNNING: "running",
    Phase.SAVING: "saving",
}


@dataclass(slots=True)
class CpuUsage:
    """Numbers of processors by their use at one moment. The field names are the keys of the log line."""

    running: float = 0.0
    starting: float = 0.0  # allocated to a task whose start command has been sent or is about to be sent
    fetching: float = 0.0  # allocated to a task whose image is being fetched
    waiting: float = 0.0  # allocated to a gang's task that waits for the gang's other tasks
    saving: float = 0.0  # allocated to a task that is being stopped and saves its work
    held: float = 0.0  # free on a machine that is reserved for a job, for example after preemption for that job
    beside: float = 0.0  # free on a machine that has tasks
    empty: float = 0.0  # free on a machine without tasks
    unusable: float = 0.0  # free on a machine on which no task may be started

    def __str__(self) -> str:
        return " ".join(f"{name}={cpus:.0f}" for name, cpus in asdict(self).items())


def cpu_usage(shard: Shard) -> CpuUsage:
    """Return the use of the processors of a shard's machines; each processor is counted once."""
    usage = CpuUsage()
    for machine in shard.machines.values():
        for placement in machine.placements.values():
            name = FIELD_BY_PHASE[placement.phase]
            setattr(usage, name, getattr(usage, name) + placement.job.task_resources.cpus)
        if not machine.usable:
            usage.unusable += machine.free.cpus
        elif machine.reserved_for is not None:
            usage.held += machine.free.cpus
        elif machine.placements:
            usage.beside += machine.free.cpus
        else:
            usage.empty += machine.free.cpus
    return usage
