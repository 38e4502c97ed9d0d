"""Sends urgent stops directly, rather than in the answer to a machine's next heartbeat."""

from badgerroute.coordination.shards.machine_commands import MachineCommands
from badgerroute.scheduling.model import Machine
from badgerroute.scheduling.shard import Shard
from badgerroute.scheduling.task_phase import Phase
from badgerroute.transport.loop import Loop, TaskGroup

MAX_DIRECT_CANCELLATIONS = 16  # maximum number of machines per round; the others get stops in heartbeat answers


class UrgentStops:
    """Sends the urgent stops of one shard: those of gangs and of cancelled jobs.

    A gang's tasks must stop at nearly the same time. No task of a cancelled job should start after its user has
    received the confirmation, so machines where such a task still fetches its image come first. Running tasks of
    cancelled jobs are stopped early too, since nobody needs their results.
    """

    def __init__(self, *, shard: Shard, loop: Loop, group: TaskGroup, commands: MachineCommands) -> None:
        self._shard, self._loop, self._group, self._commands = shard, loop, group, commands

    def send(self) -> None:
        """Send the stops that are due as direct commands."""
        gang_machines: dict[Machine, None] = {}
        all_started: dict[Machine, bool] = {}  # whether all tasks of cancelled jobs on the machine have started
        for job in self._shard.jobs.values():
            if not job.gang and job.owned:
                continue
            for placement in job.placements.values():
                if not placement.stopping or placement.stopped_at is not None or placement.phase is Phase.SENT:
                    continue
                if job.gang:
                    gang_machines[placement.machine] = None
                else:
                    started = placement.running_since is not None
                    all_started[placement.machine] = started and all_started.get(placement.machine, True)
        cancelled = sorted(all_started, key=lambda machine: all_started[machine])
        cancelled_only = [machine for machine in cancelled if machine not in gang_machines]
        for machine in (*gang_machines, *cancelled_only[:MAX_DIRECT_CANCELLATIONS]):
            commands = self._shard.commands(machine, self._loop.now(), starts=False)
            self._group.spawn(self._commands.send(machine, commands, urgent=True), "halt")
