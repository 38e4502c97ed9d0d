"""The connectivity modes of a controller, and the actions that each mode allows.

`PERMISSIONS` is the only place where these permissions are defined. A mode can forbid an action that the safety rules
of docs/safety.md allow, but never allow one that they forbid. The checks of the grace period and of the lease therefore
apply in every mode.
"""

from dataclasses import dataclass
from enum import Enum


class Mode(Enum):
    """What a controller can reach."""

    SERVING = "serving"  # reaches the key-value store and the workers
    RECOVERING = "recovering"  # reaches both again, but not yet for the delay that `damping` requires
    OUTAGE = "outage"  # neither this controller nor any peer that it can reach has access to the store
    STORE_UNREACHABLE = "unrecorded"  # reaches the workers, but not the store, which a peer may reach
    WORKERS_UNREACHABLE = "unheard"  # reaches the key-value store, but not the workers
    ISOLATED = "isolated"  # reaches neither the workers nor the store, which a peer may reach


class Action(Enum):
    """An action of a controller that needs permission."""

    ANSWER_HEARTBEAT = "answer_report"
    START = "start"
    STOP = "stop"
    ACCEPT = "accept"
    CANCEL = "cancel"
    ANSWER_POLL = "answer_poll"
    STEAL = "steal"
    GIVE_WORK = "give_work"
    MOVE_QUOTA = "move_share"  # move quota of a team from or to another shard
    ADD_MEMBER = "add_member"
    CLEAN_UP = "clean_up"  # remove stored records that belong to no shard
    TRANSFER_MACHINES = "lend_machines"
    RENT = "rent"
    RETURN_IDLE = "return_idle"
    GIVE_UP_MACHINE = "give_up_machine"  # have a machine deleted because its heartbeats are missing
    DELETE = "delete"  # have the cloud delete a machine, for any reason
    CAMPAIGN = "claim"
    TRANSFER_SHARD = "hand_over"
    RECEIVE_SHARD = "receive_part"


class Permission(Enum):
    """Whether an action is allowed, and under which condition."""

    ALLOWED = "allowed"
    WITHIN_GRACE = "within_grace"  # while the last confirmation of leadership is younger than the grace period
    WHILE_CERTAIN = "while_certain"  # while the lease cannot have expired since the last confirmation
    RELUCTANT = "reluctant"  # after a delay, so that controllers with better connectivity act first
    FROM_MEMORY = "from_memory"  # only from memory, without reading from the key-value store
    REFUSED = "refused"


_ALLOWED, _GRACE, _CERTAIN = Permission.ALLOWED, Permission.WITHIN_GRACE, Permission.WHILE_CERTAIN
_RELUCTANT, _MEMORY, _REFUSED = Permission.RELUCTANT, Permission.FROM_MEMORY, Permission.REFUSED
_MODES = (Mode.SERVING, Mode.RECOVERING, Mode.OUTAGE, Mode.STORE_UNREACHABLE, Mode.WORKERS_UNREACHABLE, Mode.ISOLATED)
_ROWS = {
    # Columns in the order of _MODES: serving, recovering, outage, store unreachable, workers unreachable, isolated.
    Action.ANSWER_HEARTBEAT: (_GRACE, _GRACE, _GRACE, _GRACE, _GRACE, _GRACE),
    Action.START: (_GRACE, _GRACE, _GRACE, _REFUSED, _GRACE, _REFUSED),
    Action.STOP: (_GRACE, _GRACE, _GRACE, _GRACE, _GRACE, _GRACE),
    Action.ACCEPT: (_ALLOWED, _ALLOWED, _REFUSED, _REFUSED, _ALLOWED, _REFUSED),
    Action.CANCEL: (_ALLOWED, _ALLOWED, _REFUSED, _REFUSED, _ALLOWED, _REFUSED),
    Action.ANSWER_POLL: (_ALLOWED, _ALLOWED, _MEMORY, _MEMORY, _ALLOWED, _MEMORY),
    Action.STEAL: (_GRACE, _GRACE, _REFUSED, _REFUSED, _REFUSED, _REFUSED),
    Action.GIVE_WORK: (_GRACE, _GRACE, _REFUSED, _REFUSED, _GRACE, _REFUSED),
    Action.MOVE_QUOTA: (_GRACE, _GRACE, _REFUSED, _REFUSED, _GRACE, _REFUSED),
    Action.ADD_MEMBER: (_GRACE, _GRACE, _REFUSED, _REFUSED, _GRACE, _REFUSED),
    Action.CLEAN_UP: (_GRACE, _GRACE, _REFUSED, _REFUSED, _GRACE, _REFUSED),
    Action.TRANSFER_MACHINES: (_GRACE, _GRACE, _REFUSED, _REFUSED, _REFUSED, _REFUSED),
    Action.RENT: (_GRACE, _GRACE, _GRACE, _REFUSED, _GRACE, _REFUSED),
    Action.RETURN_IDLE: (_GRACE, _GRACE, _GRACE, _REFUSED, _REFUSED, _REFUSED),
    Action.GIVE_UP_MACHINE: (_ALLOWED, _ALLOWED, _ALLOWED, _REFUSED, _REFUSED, _REFUSED),
    Action.DELETE: (_CERTAIN, _CERTAIN, _CERTAIN, _CERTAIN, _CERTAIN, _CERTAIN),
    Action.CAMPAIGN: (_ALLOWED, _ALLOWED, _ALLOWED, _REFUSED, _RELUCTANT, _REFUSED),
    Action.TRANSFER_SHARD: (_ALLOWED, _ALLOWED, _REFUSED, _REFUSED, _ALLOWED, _REFUSED),
    Action.RECEIVE_SHARD: (_ALLOWED, _REFUSED, _REFUSED, _REFUSED, _REFUSED, _REFUSED),
}
PERMISSIONS: dict[Mode, dict[Action, Permission]] = {
    mode: {action: row[column] for action, row in _ROWS.items()} for column, mode in enumerate(_MODES)
}


@dataclass(frozen=True, slots=True)
class Reachability:
    """What a controller can reach at one point in time."""

    store: bool
    workers: bool
    peers: bool  # whether at least one peer is not suspected, or there are no peers
    peer_with_store: bool  # whether a peer that is not suspected reaches the key-value store

    @property
    def lacks_store_alone(self) -> bool:
        """Whether only this controller may lack the key-value store: a peer reaches it, or all peers are suspected."""
        return not self.store and (self.peer_with_store or not self.peers)


def mode_of(reachability: Reachability, stable: bool) -> Mode:
    """Return the mode for what is reachable; `stable` means that all links were up for the delay of the damping."""
    if not reachability.store:
        if not reachability.lacks_store_alone:
            return Mode.OUTAGE
        return Mode.STORE_UNREACHABLE if reachability.workers else Mode.ISOLATED
    if not reachability.workers:
        return Mode.WORKERS_UNREACHABLE
    return Mode.SERVING if stable else Mode.RECOVERING
