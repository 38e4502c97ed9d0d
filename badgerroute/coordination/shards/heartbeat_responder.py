"""Answers heartbeats. Start commands are sent in these answers only."""

from datetime import timedelta
from enum import Enum

from badgerroute.connectivity.modes import Action
from badgerroute.coordination.leadership.action_policy import ActionPolicy
from badgerroute.coordination.shards.deadline import deadline_check
from badgerroute.coordination.shards.fencing import Fencing
from badgerroute.coordination.shards.heartbeat_intake import HeartbeatIntake
from badgerroute.coordination.shards.member_registry import MemberRegistry
from badgerroute.coordination.shards.term_raiser import TermRaiser
from badgerroute.protocol.cloud import MachineType
from badgerroute.protocol.workers import Command, Heartbeat, HeartbeatResponse
from badgerroute.scheduling.model import Machine
from badgerroute.scheduling.planner import Planner
from badgerroute.scheduling.shard import Shard
from badgerroute.storage.records import MachineRecord
from badgerroute.transport.loop import Future, Loop

REGISTRATION_TIMEOUT = timedelta(seconds=1)  # for writing a new member's record; shorter than the worker's own timeout


class HeartbeatRefusal(Enum):
    """Why a heartbeat can't be processed now. In each case the worker should retry, here or at another controller."""

    NOT_REGISTERED = "the machine is not a member of the shard, and could not be registered"
    TERM_OUTDATED = "the machine has seen a higher term, and would ignore the answer"
    NOT_ACTING = "this controller may not act for the shard now, or the machine has left the shard meanwhile"
    UNREACHABLE = "the machine's own address can't be reached, so the machine can't be fenced"


class HeartbeatResponder:
    """Answers the heartbeats of one shard's machines. The planner may take `planning_time_limit` for each heartbeat."""

    def __init__(
        self,
        *,
        shard: Shard,
        planner: Planner,
        loop: Loop,
        policy: ActionPolicy,
        catalog: dict[str, MachineType],
        intake: HeartbeatIntake,
        term_raiser: TermRaiser,
        fencing: Fencing,
        member_registry: MemberRegistry,
        planning_time_limit: timedelta,
    ) -> None:
        self._shard, self._planner, self._loop, self._policy = shard, planner, loop, policy
        self._catalog, self._intake, self._term_raiser = catalog, intake, term_raiser
        self._fencing, self._member_registry, self._planning_time_limit = fencing, member_registry, planning_time_limit

    async def answer(self, heartbeat: Heartbeat, relayed: bool) -> HeartbeatResponse | HeartbeatRefusal:
        """Apply a heartbeat and return the commands for its machine, or why the heartbeat can't be processed now.

        `relayed`: the heartbeat came through a peer, which passes the answer on to the worker. Permissions are checked
        after the last await, so that they still hold when the commands are chosen.
        """
        machine = self._shard.machines.get(heartbeat.machine)
        if machine is None:
            machine = await self._register(heartbeat)
            if machine is None:
                return HeartbeatRefusal.NOT_REGISTERED
        if heartbeat.fencing_token > self._shard.term and not await self._term_raiser.raise_term():
            return HeartbeatRefusal.TERM_OUTDATED
        if heartbeat.fencing_token > self._shard.term:
            # The machine would ignore commands in the lower term, but after a response with status 200 it would keep
            # sending its heartbeats here until its lease expires.
            return HeartbeatRefusal.TERM_OUTDATED
        acting = self._policy.allows_for(self._shard.number, Action.ANSWER_HEARTBEAT)
        if not acting or self._shard.machines.get(heartbeat.machine) is not machine:
            return HeartbeatRefusal.NOT_ACTING
        if machine.unreachable or self._fencing.is_unresponsive(machine):
            # An answer would renew the machine's lease, and so delay the time when the machine is certain to have
            # stopped its tasks.
            self._fencing.fence(machine)
            return HeartbeatRefusal.UNREACHABLE
        commands = self._choose_commands(machine, heartbeat, relayed)
        return HeartbeatResponse(self._shard.term, commands)

    def _choose_commands(self, machine: Machine, heartbeat: Heartbeat, relayed: bool) -> list[Command]:
        """Return the commands for a machine that has just sent its task list, or none if the list is outdated."""
        is_new = self._intake.apply(machine, heartbeat, periodic=True)
        now = self._loop.now()
        may_start = is_new and self._policy.allows_for(self._shard.number, Action.START)
        if is_new and not relayed:
            machine.last_heartbeat_at = now
        commands = self._shard.begin_commands(machine, now, clears=may_start) if is_new else None
        if commands is not None and may_start:
            time_is_up = deadline_check(self._loop, now + self._planning_time_limit)
            # Gangs come first. They are placed here because, after the next scheduling round, their start commands
            # would have to wait for the machine's next heartbeat.
            self._planner.place_gangs_on(machine, now, time_is_up)
            self._planner.fill_machine(machine, now, time_is_up)
            commands.add_starts()
        machine.last_response_at = now
        if not machine.fenced or machine.unreachable:
            self._fencing.fence(machine)
        return commands.commands if commands is not None else []

    async def _register(self, heartbeat: Heartbeat) -> Machine | None:
        """Register a machine as a member of the shard.

        Returns None if the machine's type is unknown, if this controller may not add members now, or if the record was
        not written in time.
        """
        if heartbeat.type not in self._catalog or not self._policy.allows_for(self._shard.number, Action.ADD_MEMBER):
            return None
        record = MachineRecord(self._shard.number, heartbeat.address, heartbeat.type, heartbeat.zone, heartbeat.spot)
        written = self._member_registry.add(heartbeat.machine, record)
        self._member_registry.start()
        await self._loop.first(written, REGISTRATION_TIMEOUT)
        machine = self._shard.machines.get(heartbeat.machine)
        if machine is not None and _never_commanded(written, heartbeat):
            machine.never_commanded = True
        return machine


def _never_commanded(written: Future, heartbeat: Heartbeat) -> bool:
    """Whether no former leader can have sent commands to the machine, so that the machine needs no fencing.

    If this leader registered the machine in this term, no other leader was ever allowed to start tasks on it.
    """
    return bool(written.done and written.result and not heartbeat.tasks and heartbeat.fencing_token == 0)
