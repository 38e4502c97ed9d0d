"""The modes of a controller by what it can reach, and what it may do in each.

`PERMISSIONS` is the only place that says so. It narrows what docs/safety.md allows and never widens it: the grace
period and the lease still bound every action that they bounded before.
"""

from dataclasses import dataclass
from enum import Enum


class Mode(Enum):
    """What a controller can reach."""

    SERVING = "serving"  # key-value store and workers
    RECOVERING = "recovering"  # both again, but not for long enough yet
    OUTAGE = "outage"  # no key-value store, as for every peer that is not suspected
    STORE_UNREACHABLE = "unrecorded"  # no key-value store, while a peer has it or all are suspected
    WORKERS_UNREACHABLE = "unheard"  # key-value store, but no workers
    ISOLATED = "isolated"  # neither


class Action(Enum):
    """What a controller does on behalf of the service."""

    ANSWER_HEARTBEAT = "answer_report"
    START = "start"
    STOP = "stop"
    ACCEPT = "accept"
    CANCEL = "cancel"
    ANSWER_POLL = "answer_poll"
    STEAL = "steal"
    GIVE_WORK = "give_work"
    MOVE_QUOTA = "move_share"  # of a team's limit, from or to a shard
    ADD_MEMBER = "add_member"
    CLEAN_UP = "clean_up"  # of records that concern no shard
    TRANSFER_MACHINES = "lend_machines"
    RENT = "rent"
    RETURN_IDLE = "return_idle"
    GIVE_UP_MACHINE = "give_up_machine"  # have a machine deleted because its heartbeats stay out
    DELETE = "delete"  # at the cloud, whatever the reason
    CAMPAIGN = "claim"
    TRANSFER_SHARD = "hand_over"
    RECEIVE_SHARD = "receive_part"


class Permission(Enum):
    """Whether an action is allowed, and until when."""

    ALLOWED = "allowed"
    WITHIN_GRACE = "within_grace"  # until the last confirmation of our leadership is G old
    WHILE_CERTAIN = "while_certain"  # until our lease may have ended since the last proof
    RELUCTANT = "reluctant"  # after the controllers that reach more have had their chance
    FROM_MEMORY = "from_memory"  # only as far as nothing has to be read
    REFUSED = "refused"


_ALLOWED, _GRACE, _CERTAIN = Permission.ALLOWED, Permission.WITHIN_GRACE, Permission.WHILE_CERTAIN
_RELUCTANT, _MEMORY, _REFUSED = Permission.RELUCTANT, Permission.FROM_MEMORY, Permission.REFUSED
_MODES = (Mode.SERVING, Mode.RECOVERING, Mode.OUTAGE, Mode.STORE_UNREACHABLE, Mode.WORKERS_UNREACHABLE, Mode.ISOLATED)
_ROWS = {
    # In the order of _MODES: serving, recovering, outage, store unreachable, workers unreachable, isolated.
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
    """What a controller can reach at a moment."""

    store: bool
    workers: bool
    peers: bool  # one at least is not suspected, or there are none
    peer_with_store: bool  # one that is not suspected reaches the key-value store

    @property
    def lacks_store_alone(self) -> bool:
        """Whether this controller lacks the key-value store while, as far as it can know, others reach it."""
        return not self.store and (self.peer_with_store or not self.peers)


def mode_of(reachability: Reachability, stable: bool) -> Mode:
    """The mode that follows from what is reachable; `stable`: the links have been good for long enough."""
    if not reachability.store:
        if not reachability.lacks_store_alone:
            return Mode.OUTAGE
        return Mode.STORE_UNREACHABLE if reachability.workers else Mode.ISOLATED
    if not reachability.workers:
        return Mode.WORKERS_UNREACHABLE
    return Mode.SERVING if stable else Mode.RECOVERING
