"""Divides the sockets that a controller may open among their uses."""

from dataclasses import dataclass

from badgerroute.settings import Params

RESERVED_SOCKETS = 48  # for the key-value store, the cloud and the mesh
RESERVED_PER_CONTROLLER = 8  # further reserved sockets for each controller of the cluster
MIN_CONNECTIONS = 16
MIN_DIRECT_COMMANDS = 4
MAX_DIRECT_COMMANDS = 128  # in flight to workers, each over its own connection
SOCKETS_PER_DIRECT_COMMAND = 32  # one command per 32 sockets is allowed if that is more than the maximum above


@dataclass(frozen=True, slots=True)
class SocketBudget:
    """How many commands may be in flight to workers, and how many connections users and workers may keep open here."""

    direct_commands: int
    connections: int


def divide_sockets(params: Params) -> SocketBudget:
    """Divide the file descriptor limit of the settings, after the reserved sockets, among commands and connections."""
    sockets = params.resources.fd_limit
    max_direct_commands = max(MAX_DIRECT_COMMANDS, sockets // SOCKETS_PER_DIRECT_COMMAND)
    direct_commands = min(max_direct_commands, max(MIN_DIRECT_COMMANDS, sockets // 8))
    reserved = RESERVED_SOCKETS + RESERVED_PER_CONTROLLER * params.size
    return SocketBudget(direct_commands, max(MIN_CONNECTIONS, sockets - direct_commands - reserved))
