"""Fencing: machines of a shard are told of its term, so that no former leader can command them any more."""

import logging
from datetime import timedelta

from badgerroute.connectivity.modes import Action
from badgerroute.coordination.shards.leader_context import LeaderContext
from badgerroute.coordination.shards.machine_commands import MachineCommands
from badgerroute.scheduling.model import Machine
from badgerroute.scheduling.shard import Shard
from badgerroute.transport.loop import TaskGroup

log = logging.getLogger(__name__)
FENCE_RETRY = timedelta(milliseconds=700)
GIVE_UP = timedelta(seconds=3.5)  # a member that is silent for so long after a takeover is deleted at the cloud
LONG_GIVE_UP = 5 * GIVE_UP


class Fencing:
    """Repeats an empty command to each machine until its task list is known in our term, or it is gone."""

    def __init__(self, shard: Shard, context: LeaderContext, group: TaskGroup, commands: MachineCommands) -> None:
        self._shard, self._group, self._commands = shard, group, commands
        self._loop, self._delete, self._policy = context.loop, context.delete_machines, context.policy
        self._fencing: set[str] = set()
        self._asked: dict[str, timedelta] = {}  # when the first command to a machine left
        self._given_up: set[str] = set()

    def fence(self, machine: Machine) -> None:
        """Begin to fence a machine, unless that is under way."""
        if machine.name not in self._fencing:
            self._fencing.add(machine.name)
            self._group.spawn(self._fence_one(machine), f"fence-{machine.name}")

    async def _fence_one(self, machine: Machine) -> None:
        """Tell a member of the new term until its list is known and it hears us, or it is gone."""
        try:
            while self._shard.machines.get(machine.name) is machine and (not machine.fenced or machine.unreachable):
                # A command may wait seconds for its turn where there are thousands: that is no silence of the machine.
                if not await self._commands.send(machine, [], leaves=lambda: self._note_asked(machine)):
                    self._give_up_if_silent(machine)
                    await self._loop.sleep(FENCE_RETRY)
        finally:
            self._asked.pop(machine.name, None)
            self._fencing.discard(machine.name)
            self._given_up.discard(machine.name)

    def _note_asked(self, machine: Machine) -> None:
        self._asked.setdefault(machine.name, self._loop.now())

    def _give_up_if_silent(self, machine: Machine) -> None:
        if not self._policy.allows(Action.GIVE_UP_MACHINE):
            # A leader that its workers don't reach learns nothing of a machine by its silence. What it was silent for
            # until now doesn't count later either.
            self._asked[machine.name] = self._loop.now()
        elif self._loop.now() - self._asked[machine.name] > self._patience():
            self._give_up(machine)

    def _give_up(self, machine: Machine) -> None:
        if machine.name not in self._given_up:
            self._given_up.add(machine.name)
            log.info("event=heartbeat_missed machine=%s shard=%d", machine.name, self._shard.number)
            self._delete([machine.name])

    def given_up(self, machine: Machine) -> bool:
        """Whether neither answers nor commands reach a machine."""
        return machine.name in self._given_up

    def _patience(self) -> timedelta:
        """If most members are silent, the fault is more likely on our side: don't have them all deleted at once."""
        return GIVE_UP if 2 * len(self._fencing) <= len(self._shard.machines) + 3 else LONG_GIVE_UP
