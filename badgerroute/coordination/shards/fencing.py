"""Fencing: makes each machine of a shard learn the current term, so that it rejects commands of former leaders."""

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
FENCE_RETRY_PAUSE = timedelta(milliseconds=700)
SILENCE_TIMEOUT = timedelta(seconds=3.5)  # a machine that answers no command for this long is deleted
LONG_SILENCE_TIMEOUT = 5 * SILENCE_TIMEOUT  # the timeout while most members are silent


class Fencing:
    """Sends empty commands to each machine until it has answered in the shard's term, or has left the shard."""

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
        self._being_fenced: set[str] = set()
        self._silent_since: dict[str, timedelta] = {}  # machine -> when its silence timeout started
        self._unresponsive: set[str] = set()  # machines whose deletion was requested

    def fence(self, machine: Machine) -> None:
        """Begin to fence a machine, unless that is in progress already."""
        if machine.name not in self._being_fenced:
            self._being_fenced.add(machine.name)
            self._group.spawn(self._fence(machine), f"fence-{machine.name}")

    async def _fence(self, machine: Machine) -> None:
        """Send empty commands until the machine is reachable and has sent its task list, or has left the shard."""
        try:
            while self._shard.machines.get(machine.name) is machine and (not machine.fenced or machine.unreachable):
                # If thousands of commands are queued, a command may wait for the semaphore for seconds. The machine's
                # silence is therefore measured from the time when the semaphore admits the command.
                if not await self._commands.send(machine, [], on_admitted=partial(self._record_sending, machine)):
                    self._delete_if_silent(machine)
                    await self._loop.sleep(FENCE_RETRY_PAUSE)
        finally:
            self._silent_since.pop(machine.name, None)
            self._being_fenced.discard(machine.name)
            self._unresponsive.discard(machine.name)

    def _record_sending(self, machine: Machine) -> None:
        self._silent_since.setdefault(machine.name, self._loop.now())

    def _delete_if_silent(self, machine: Machine) -> None:
        if not self._policy.allows(Action.GIVE_UP_MACHINE):
            # A machine's silence proves nothing while this leader receives no heartbeats. Restart the timeout, so that
            # the silence until now doesn't count later either.
            self._silent_since[machine.name] = self._loop.now()
        elif self._loop.now() - self._silent_since[machine.name] > self._silence_timeout():
            self._delete_unresponsive(machine)

    def _delete_unresponsive(self, machine: Machine) -> None:
        if machine.name not in self._unresponsive:
            self._unresponsive.add(machine.name)
            log.info("event=heartbeat_missed machine=%s shard=%d", machine.name, self._shard.number)
            self._delete_machines([machine.name])

    def is_unresponsive(self, machine: Machine) -> bool:
        """Whether a machine has left commands unanswered for so long that its deletion was requested."""
        return machine.name in self._unresponsive

    def _silence_timeout(self) -> timedelta:
        """Return how long a member may leave commands unanswered before its deletion is requested.

        If most members are silent, the fault is more likely on this controller's side. The longer timeout then keeps
        it from having all of them deleted at once.
        """
        return SILENCE_TIMEOUT if 2 * len(self._being_fenced) <= len(self._shard.machines) + 3 else LONG_SILENCE_TIMEOUT
