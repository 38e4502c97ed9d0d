"""Decides whether an action is allowed now, by the connectivity mode and the last confirmation of leadership.

No other module outside `leadership_state` calls `within_grace` or `lease_surely_valid`; a test checks that.
"""

from badgerroute.connectivity.mode_machine import ModeMachine
from badgerroute.connectivity.modes import PERMISSIONS, Action, Permission
from badgerroute.coordination.leadership.leadership_state import LeadershipState


class ActionPolicy:
    """Authorizes actions.

    Callers must check the permission again after every await, right before they act: it can change during an await.
    """

    def __init__(self, leadership_state: LeadershipState, mode_machine: ModeMachine) -> None:
        self._state, self._mode_machine = leadership_state, mode_machine

    def permission(self, action: Action) -> Permission:
        """Return the permission for an action in the current mode."""
        return PERMISSIONS[self._mode_machine.mode][action]

    def allows(self, action: Action) -> bool:
        """Whether an action that is not tied to one shard is allowed now."""
        match self.permission(action):
            case Permission.ALLOWED | Permission.RELUCTANT:
                return True
            case Permission.WITHIN_GRACE:
                return self._state.within_grace()
            case Permission.WHILE_CERTAIN:
                return self._state.lease_surely_valid()
        return False

    def allows_for(self, shard: int, action: Action) -> bool:
        """Whether this controller leads a shard and may take an action for it now."""
        return shard in self._state.leaderships and self.allows(action)
