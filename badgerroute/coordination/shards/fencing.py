"""Fencing: machines of a shard learn its term, so that no former leader can command them any more."""

import logging
from collections.abc import Callable
from datetime import timedelta
from functools import partial

from badgerroute.connectivity.modes import Action
from badgerroute.coordination.leadership.action_policy import ActionPolicy
from badgerroute.coordination.shards.machine_commands import MachineCommands
from badgerroute.scheduling.model import Machine
from badgerroute.scheduling.shard import Shard
from badgerroute.transport.loop import Loop, TaskGroup

log = logging.getLogger(__name__)
FENCE_RETRY = timedelta(milliseconds=700)
SILENCE_LIMIT = timedelta(seconds=3.5)  # a member that is silent for so long after a failover is deleted at the cloud
LONG_SILENCE_LIMIT = 5 * SILENCE_LIMIT


class Fencing:
    """Repeats an empty command to each machine until it has answered in the shard's term, or is gone."""

    def __init__(
        self,
        *,
        shard: Shard,
        loop: Loop,
        group: TaskGroup,
        commands: MachineCommands,
        policy: ActionPolicy,
        delete_machines: Callable[[list[str]], None],
    ) -> None:
        self._shard, self._loop, self._group, self._commands = shard, loop, group, commands
        self._policy, self._delete_machines = policy, delete_machines
        self._fencing: set[str] = set()
        self._first_sent: dict[str, timedelta] = {}  # machine -> when the first command to it left
        self._unresponsive: set[str] = set()  # machines whose deletion was asked for

    def fence(self, machine: Machine) -> None:
        """Begin to fence a machine, unless that is under way."""
        if machine.name not in self._fencing:
            self._fencing.add(machine.name)
            self._group.spawn(self._fence(machine), f"fence-{machine.name}")

    async def _fence(self, machine: Machine) -> None:
        """Repeat the command until the machine's task list is there and it can be reached, or it is gone."""
        try:
            while self._shard.machines.get(machine.name) is machine and (not machine.fenced or machine.unreachable):
                # A command may wait seconds for its turn where there are thousands: that is no silence of the machine.
                if not await self._commands.send(machine, [], leaves=partial(self._note_sent, machine)):
                    self._delete_if_silent(machine)
                    await self._loop.sleep(FENCE_RETRY)
        finally:
            self._first_sent.pop(machine.name, None)
            self._fencing.discard(machine.name)
            self._unresponsive.discard(machine.name)

    def _note_sent(self, machine: Machine) -> None:
        self._first_sent.setdefault(machine.name, self._loop.now())

    def _delete_if_silent(self, machine: Machine) -> None:
        if not self._policy.allows(Action.GIVE_UP_MACHINE):
            # A leader that its workers don't reach learns nothing of a machine by its silence. What it was silent for
            # until now doesn't count later either.
            self._first_sent[machine.name] = self._loop.now()
        elif self._loop.now() - self._first_sent[machine.name] > self._silence_limit():
            self._delete_unresponsive(machine)

    def _delete_unresponsive(self, machine: Machine) -> None:
        if machine.name not in self._unresponsive:
            self._unresponsive.add(machine.name)
            log.info("event=heartbeat_missed machine=%s shard=%d", machine.name, self._shard.number)
            self._delete_machines([machine.name])

    def is_unresponsive(self, machine: Machine) -> bool:
        """Whether a machine answered no command for so long that its deletion was asked for."""
        return machine.name in self._unresponsive

    def _silence_limit(self) -> timedelta:
        """If most members are silent, the fault is more likely on our side: don't have them all deleted at once."""
        return SILENCE_LIMIT if 2 * len(self._fencing) <= len(self._shard.machines) + 3 else LONG_SILENCE_LIMIT
