"""Decides whether an action may be taken now, by the connectivity mode and the last confirmation of leadership.

No other module reads the proofs of leadership (`within_grace`, `lease_surely_valid`): a test checks that.
"""

from badgerroute.connectivity.mode_machine import ModeMachine
from badgerroute.connectivity.modes import PERMISSIONS, Action, Permission
from badgerroute.coordination.leadership.leadership_state import LeadershipState


class ActionPolicy:
    """Authorizes actions.

    To be asked in the very step that acts, after every await: an answer holds only until the next one.
    """

    def __init__(self, leadership_state: LeadershipState, mode_machine: ModeMachine) -> None:
        self._state, self._mode_machine = leadership_state, mode_machine

    def permission(self, action: Action) -> Permission:
        """The permission that the current mode gives."""
        return PERMISSIONS[self._mode_machine.mode][action]

    def allows(self, action: Action) -> bool:
        """Whether an action that concerns no shard in particular may be taken now."""
        match self.permission(action):
            case Permission.ALLOWED | Permission.RELUCTANT:
                return True
            case Permission.WITHIN_GRACE:
                return self._state.within_grace()
            case Permission.WHILE_CERTAIN:
                return self._state.lease_surely_valid()
        return False

    def allows_for(self, shard: int, action: Action) -> bool:
        """Whether an action may be taken now for a shard, which this controller must lead."""
        return shard in self._state.leaderships and self.allows(action)
