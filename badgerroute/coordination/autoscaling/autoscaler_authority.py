"""Authorizes the actions that only the autoscaler leader may take. The cluster has one such leader at a time."""

from badgerroute.connectivity.modes import Action
from badgerroute.coordination.leadership.action_policy import ActionPolicy
from badgerroute.coordination.leadership.leadership_state import LeadershipState


class AutoscalerAuthority:
    """Checks that this controller is the autoscaler leader and that its connectivity mode allows an action."""

    def __init__(self, leadership_state: LeadershipState, policy: ActionPolicy) -> None:
        self._leadership_state, self._policy = leadership_state, policy

    def may_rent(self) -> bool:
        """Return whether this controller may rent machines."""
        return self._allows(Action.RENT)

    def may_collect_garbage(self) -> bool:
        """Return whether this controller may remove keys from the key-value store that are no longer needed."""
        return self._allows(Action.CLEAN_UP)

    def _allows(self, action: Action) -> bool:
        return self._leadership_state.autoscaler_term is not None and self._policy.allows(action)
