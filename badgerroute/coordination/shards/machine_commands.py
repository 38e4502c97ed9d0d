"""Commands sent to machines' own addresses, and the terms that let machines accept them."""

import logging
from collections.abc import Callable
from datetime import timedelta

from badgerroute.coordination.shards.leader_context import LeaderContext
from badgerroute.protocol.common import MalformedError, encode
from badgerroute.protocol.workers import Command, DirectCommands, Heartbeat, parse_heartbeat
from badgerroute.scheduling.model import Machine
from badgerroute.scheduling.shard import Shard
from badgerroute.storage.errors import LeaseExpiredError, OutcomeUnknownError, StoreUnavailableError
from badgerroute.transport.http import Client, NoAnswerError
from badgerroute.transport.loop import Future

log = logging.getLogger(__name__)
DIRECT_LIMIT = timedelta(seconds=2)
DIRECT_CONNECT = timedelta(seconds=1)
RAISE_LIMIT = timedelta(seconds=1)
MAX_SENDS = 2  # the second in a higher term, if the first met a higher token


class MachineCommands:
    """`received` takes in the task list that a machine answers with."""

    def __init__(self, shard: Shard, context: LeaderContext, received: Callable[[Machine, Heartbeat], None]) -> None:
        self._shard, self._received = shard, received
        self._loop, self._network, self._semaphore = context.loop, context.network, context.semaphore
        self._election = context.election
        self._raising: Future | None = None

    async def send(
        self, machine: Machine, commands: list[Command], urgent: bool = False, leaves: Callable[[], None] | None = None
    ) -> bool:
        """Send commands to a machine's own address; never starts, since these may be carried out minutes late.

        Only so many at a time, and nothing stays open: a leader of everything has a thousand members, and every one of
        them holds a connection to us already. `leaves` is called when the turn has come.
        """
        async with self._semaphore.acquire(urgent):
            if leaves is not None:
                leaves()
            client = Client(self._loop, self._network, machine.address, most_idle=1, connect=DIRECT_CONNECT)
            try:
                return await self._send(client, machine, commands)
            finally:
                client.drop()

    async def _send(self, client: Client, machine: Machine, commands: list[Command]) -> bool:
        commands = [command for command in commands if command.kind != "start"]
        for _ in range(MAX_SENDS):
            body = encode(DirectCommands(self._shard.term, machine.incarnation, commands))
            try:
                response = await client.request("POST", "/do", body, DIRECT_LIMIT)
            except NoAnswerError:
                return False
            if response.status not in (200, 409):
                return False
            try:
                heartbeat = parse_heartbeat(response.body)
            except MalformedError as error:
                log.warning("event=direct_response_rejected machine=%s error=%s", machine.name, error)
                return False
            if self._shard.machines.get(machine.name) is not machine or heartbeat.machine != machine.name:
                return False
            self._received(machine, heartbeat)
            if response.status == 200:
                return True
            if heartbeat.fencing_token > self._shard.term and not await self.raise_term():
                return False
        return False

    async def raise_term(self) -> bool:
        """Get a term above the token that some machine has seen elsewhere."""
        if self._raising is not None:
            # Whoever waits with others must learn how it went. Once they took it for granted, and a leader cut off from
            # the key-value store answered hundreds of machines in its old term: they dropped the answers, stayed there
            # all the same, and their leases ran out.
            raising = self._raising
            return await self._loop.first(raising, RAISE_LIMIT) and raising.result
        self._raising = Future()
        raised = False
        try:
            term = await self._election.raise_term(self._shard.number)
        except (StoreUnavailableError, OutcomeUnknownError, LeaseExpiredError) as error:
            log.info("event=term_raise_failed shard=%d error=%s", self._shard.number, error)
        else:
            if term is not None:
                self._shard.term = term
                raised = True
        finally:
            self._raising.set(raised)
            self._raising = None
        return raised
