"""Halts that don't wait for a machine's next heartbeat to carry them."""

from badgerroute.coordination.shards.machine_commands import MachineCommands
from badgerroute.scheduling.model import Machine
from badgerroute.scheduling.shard import Shard
from badgerroute.scheduling.task_phase import Phase
from badgerroute.transport.loop import Loop, TaskGroup

MAX_DIRECT_CANCELLATIONS = (
    16  # machines that are told of cancelled jobs in one round; the others hear by their heartbeats
)


class UrgentStops:
    """A gang's tasks must hear of their stop close together.

    And no task of a cancelled job should begin once its user was told: those that still fetch their image come first,
    and the others are of no use to anybody.
    """

    def __init__(self, shard: Shard, loop: Loop, group: TaskGroup, commands: MachineCommands) -> None:
        self._shard, self._loop, self._group, self._commands = shard, loop, group, commands

    def send(self) -> None:
        """Send the halts that are due by direct commands."""
        gangs: dict[Machine, None] = {}
        begun_on: dict[Machine, bool] = {}  # of cancelled jobs: whether all their tasks there have begun
        for job in self._shard.jobs.values():
            if not job.gang and job.owned:
                continue
            for placement in job.placed.values():
                if not placement.stopping or placement.stopped_at is not None or placement.phase is Phase.SENT:
                    continue
                if job.gang:
                    gangs[placement.machine] = None
                else:
                    begun = placement.running_since is not None
                    begun_on[placement.machine] = begun and begun_on.get(placement.machine, True)
        cancelled = sorted(begun_on, key=lambda machine: begun_on[machine])
        direct = [machine for machine in cancelled if machine not in gangs]
        for machine in (*gangs, *direct[:MAX_DIRECT_CANCELLATIONS]):
            commands = self._shard.commands(machine, self._loop.now(), starts=False)
            self._group.spawn(self._commands.send(machine, commands, urgent=True), "halt")
