"""Sends commands directly to machines' addresses, except starts, which are sent only in answers to heartbeats."""

import logging
from collections.abc import Callable
from datetime import timedelta

from badgerroute.coordination.shards.heartbeat_intake import HeartbeatIntake
from badgerroute.coordination.shards.term_raiser import TermRaiser
from badgerroute.protocol.common import MalformedError, encode
from badgerroute.protocol.workers import Command, DirectCommands, Heartbeat, parse_heartbeat
from badgerroute.scheduling.model import Machine
from badgerroute.scheduling.shard import Shard
from badgerroute.transport.http import Client, NoAnswerError, Response
from badgerroute.transport.loop import Loop, Semaphore
from badgerroute.transport.net import Network

log = logging.getLogger(__name__)
REQUEST_TIMEOUT = timedelta(seconds=2)
CONNECT_TIMEOUT = timedelta(seconds=1)
MAX_SEND_ATTEMPTS = 2  # the second is made in a higher term, if the machine has seen a higher fencing token
ACCEPTED = 200
TERM_OUTDATED = 409  # the machine has seen a higher fencing token; the response also has its task list


class MachineCommands:
    """Sends commands to the machines of one shard, and applies the task lists in their responses.

    `semaphore` bounds how many commands of the whole controller are in flight.
    """

    def __init__(
        self,
        *,
        shard: Shard,
        loop: Loop,
        network: Network,
        semaphore: Semaphore,
        term_raiser: TermRaiser,
        intake: HeartbeatIntake,
    ) -> None:
        self._shard, self._loop, self._network, self._semaphore = shard, loop, network, semaphore
        self._term_raiser, self._intake = term_raiser, intake

    async def send(
        self,
        machine: Machine,
        commands: list[Command],
        urgent: bool = False,
        on_admitted: Callable[[], None] | None = None,
    ) -> bool:
        """Send commands to a machine's own address. Return whether the machine accepted them in the shard's term.

        Starts are left out, since a direct command may arrive minutes late. `on_admitted` is called once the semaphore
        admits the request, which may take seconds. The connection is closed afterwards, because a controller that leads
        all shards may have a thousand members, each of which already keeps another connection to the controller open.
        """
        async with self._semaphore.acquire(urgent):
            if on_admitted is not None:
                on_admitted()
            client = Client(self._loop, self._network, machine.address, most_idle=1, connect=CONNECT_TIMEOUT)
            try:
                return await self._send(client, machine, commands)
            finally:
                client.drop()

    async def _send(self, client: Client, machine: Machine, commands: list[Command]) -> bool:
        commands = [command for command in commands if command.kind != "start"]
        for _ in range(MAX_SEND_ATTEMPTS):
            body = encode(DirectCommands(self._shard.term, machine.incarnation, commands))
            try:
                response = await client.request("POST", "/do", body, REQUEST_TIMEOUT)
            except NoAnswerError:
                return False
            heartbeat = self._parse_task_list(machine, response)
            if heartbeat is None:
                return False
            self._intake.apply(machine, heartbeat, periodic=False)
            if response.status == ACCEPTED:
                return True
            if heartbeat.fencing_token > self._shard.term and not await self._term_raiser.raise_term():
                return False
        return False

    def _parse_task_list(self, machine: Machine, response: Response) -> Heartbeat | None:
        """Return the task list in a machine's response, or None if the response has no valid list of this machine."""
        if response.status not in (ACCEPTED, TERM_OUTDATED):
            return None
        try:
            heartbeat = parse_heartbeat(response.body)
        except MalformedError as error:
            log.warning("event=direct_response_rejected machine=%s error=%s", machine.name, error)
            return None
        if self._shard.machines.get(machine.name) is not machine or heartbeat.machine != machine.name:
            return None
        return heartbeat
