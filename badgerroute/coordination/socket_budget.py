"""How the sockets that a controller may open are divided."""

from dataclasses import dataclass

from badgerroute.settings import Params

RESERVED_SOCKETS = 48  # for the key-value store, the cloud and the mesh
RESERVED_PER_CONTROLLER = 8
MIN_CONNECTIONS = 16
MIN_DIRECT_COMMANDS = 4
MAX_DIRECT_COMMANDS = 128  # commands on their way to workers, each with a connection of its own
SOCKETS_PER_DIRECT_COMMAND = 32  # where there are sockets for thousands of machines, more go out at once


@dataclass(frozen=True, slots=True)
class SocketBudget:
    """`direct_commands` at once to workers, and `connections` that users and workers may have open here."""

    direct_commands: int
    connections: int


def divide_sockets(params: Params) -> SocketBudget:
    """The budget that follows from the settings."""
    sockets = params.resources.fd_limit
    max_direct_commands = max(MAX_DIRECT_COMMANDS, sockets // SOCKETS_PER_DIRECT_COMMAND)
    direct_commands = min(max_direct_commands, max(MIN_DIRECT_COMMANDS, sockets // 8))
    reserved = RESERVED_SOCKETS + RESERVED_PER_CONTROLLER * params.size
    return SocketBudget(direct_commands, max(MIN_CONNECTIONS, sockets - direct_commands - reserved))
