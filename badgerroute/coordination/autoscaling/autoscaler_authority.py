"""What only the holder of the autoscaler leadership may do, of which the cluster has one at a time."""

from badgerroute.connectivity.modes import Action
from badgerroute.coordination.leadership.action_policy import ActionPolicy
from badgerroute.coordination.leadership.leadership_state import LeadershipState


class AutoscalerAuthority:
    """Says whether this controller, as the autoscaler leader, may act now."""

    def __init__(self, leadership_state: LeadershipState, policy: ActionPolicy) -> None:
        self._leadership_state, self._policy = leadership_state, policy

    def may_rent(self) -> bool:
        """Whether this controller may rent machines."""
        return self._allows(Action.RENT)

    def may_collect_garbage(self) -> bool:
        """Whether this controller may remove keys that nobody needs."""
        return self._allows(Action.CLEAN_UP)

    def _allows(self, action: Action) -> bool:
        return self._leadership_state.autoscaler_term is not None and self._policy.allows(action)
