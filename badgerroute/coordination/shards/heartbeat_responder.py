"""Answers to heartbeats: the only messages that carry starts."""

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

REGISTER_LIMIT = timedelta(seconds=1)  # for a new member's record to be written, within the worker's own limit


class HeartbeatRefusal(Enum):
    """Why a heartbeat can't be acted on now. In each case the worker should try elsewhere, or again."""

    NOT_REGISTERED = "the machine is no member, and could not be made one"
    TERM_OUTDATED = "the machine has seen a higher term, and would drop the answer"
    NOT_ACTING = "the shard may not be acted for, or the machine left it meanwhile"
    UNREACHABLE = "the machine's own address can't be reached, so that it can't be fenced"


class HeartbeatResponder:
    """Answers the heartbeats of one shard's machines. `limit`: how long the planner may take for each."""

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
        limit: timedelta,
    ) -> None:
        self._shard, self._planner, self._loop, self._policy = shard, planner, loop, policy
        self._catalog, self._intake, self._term_raiser = catalog, intake, term_raiser
        self._fencing, self._member_registry, self._limit = fencing, member_registry, limit

    async def answer(self, heartbeat: Heartbeat, relayed: bool) -> HeartbeatResponse | HeartbeatRefusal:
        """Take a heartbeat in, decide what its machine should do, and answer with the commands.

        `relayed`: it came through a peer, which hands our answer to the worker. Everything after the last await
        happens in one step, so that the permissions still hold when the commands are made.
        """
        machine = self._shard.machines.get(heartbeat.machine)
        if machine is None:
            machine = await self._register(heartbeat)
            if machine is None:
                return HeartbeatRefusal.NOT_REGISTERED
        if heartbeat.fencing_token > self._shard.term and not await self._term_raiser.raise_term():
            return HeartbeatRefusal.TERM_OUTDATED
        if heartbeat.fencing_token > self._shard.term:
            return HeartbeatRefusal.TERM_OUTDATED  # a 200 would keep it here while its lease runs out
        acting = self._policy.allows_for(self._shard.number, Action.ANSWER_HEARTBEAT)
        if not acting or self._shard.machines.get(heartbeat.machine) is not machine:
            return HeartbeatRefusal.NOT_ACTING
        if machine.unreachable or self._fencing.is_unresponsive(machine):
            # Each answer of ours would put off the time from which on it is certainly rid of its tasks.
            self._fencing.fence(machine)
            return HeartbeatRefusal.UNREACHABLE
        commands = self._decide(machine, heartbeat, relayed)
        return HeartbeatResponse(self._shard.term, commands)

    def _decide(self, machine: Machine, heartbeat: Heartbeat, relayed: bool) -> list[Command]:
        """The commands for a machine that has just sent its task list; none if the list is an old copy."""
        fresh = self._intake.apply(machine, heartbeat, periodic=True)
        now = self._loop.now()
        starts = fresh and self._policy.allows_for(self._shard.number, Action.START)
        if fresh and not relayed:
            machine.last_heartbeat = now
        if starts:
            is_over = deadline_check(self._loop, now + self._limit)
            # Gangs first, and now: placed in the next round of their own, they would wait for one more heartbeat.
            self._planner.gangs_on(machine, now, is_over)
            self._planner.fill(machine, now, is_over)
        commands = self._shard.commands(machine, now, starts=starts) if fresh else []
        machine.answered = now
        if not machine.fenced or machine.unreachable:
            self._fencing.fence(machine)
        return commands

    async def _register(self, heartbeat: Heartbeat) -> Machine | None:
        """Make a machine a member; None if its type is unknown, or it could not be written in time."""
        if heartbeat.type not in self._catalog or not self._policy.allows_for(self._shard.number, Action.ADD_MEMBER):
            return None
        record = MachineRecord(self._shard.number, heartbeat.address, heartbeat.type, heartbeat.zone, heartbeat.spot)
        written = self._member_registry.add(heartbeat.machine, record)
        self._member_registry.start()
        await self._loop.first(written, REGISTER_LIMIT)
        machine = self._shard.machines.get(heartbeat.machine)
        if machine is not None and _never_commanded(written, heartbeat):
            machine.never_commanded = True
        return machine


def _never_commanded(written: Future, heartbeat: Heartbeat) -> bool:
    """Whether there is no former leader to fence off.

    If this leader made the machine a member, in this term, nobody has ever been entitled to start anything on it.
    """
    return bool(written.done and written.result and not heartbeat.tasks and heartbeat.fencing_token == 0)
