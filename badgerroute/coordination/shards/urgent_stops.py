"""Stops that don't wait for a machine's next heartbeat to carry them."""

from badgerroute.coordination.shards.machine_commands import MachineCommands
from badgerroute.scheduling.model import Machine
from badgerroute.scheduling.shard import Shard
from badgerroute.scheduling.task_phase import Phase
from badgerroute.transport.loop import Loop, TaskGroup

MAX_DIRECT_CANCELLATIONS = 16  # machines per round that get a command for cancelled jobs; the others at their heartbeat


class UrgentStops:
    """Sends the stops of one shard that are urgent.

    A gang's tasks must stop close together. And no task of a cancelled job should begin once its user has the answer:
    those that still fetch their image come first, and the others are of no use to anybody.
    """

    def __init__(self, *, shard: Shard, loop: Loop, group: TaskGroup, commands: MachineCommands) -> None:
        self._shard, self._loop, self._group, self._commands = shard, loop, group, commands

    def send(self) -> None:
        """Send the stops that are due by direct commands."""
        gang_machines: dict[Machine, None] = {}
        all_begun: dict[Machine, bool] = {}  # machines of cancelled jobs: whether all their tasks there have begun
        for job in self._shard.jobs.values():
            if not job.gang and job.owned:
                continue
            for placement in job.placed.values():
                if not placement.stopping or placement.stopped_at is not None or placement.phase is Phase.SENT:
                    continue
                if job.gang:
                    gang_machines[placement.machine] = None
                else:
                    begun = placement.running_since is not None
                    all_begun[placement.machine] = begun and all_begun.get(placement.machine, True)
        cancelled = sorted(all_begun, key=lambda machine: all_begun[machine])
        direct = [machine for machine in cancelled if machine not in gang_machines]
        for machine in (*gang_machines, *direct[:MAX_DIRECT_CANCELLATIONS]):
            commands = self._shard.commands(machine, self._loop.now(), starts=False)
            self._group.spawn(self._commands.send(machine, commands, urgent=True), "halt")
