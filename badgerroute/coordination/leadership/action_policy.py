"""The one place that says whether an action may be taken now: by the mode, and by the last confirmation of our
leadership.
"""

from collections.abc import Callable

from badgerroute.connectivity.modes import PERMISSIONS, Action, Mode, Permission
from badgerroute.coordination.leadership.leader_election import LeaderElection


class ActionPolicy:
    """Asked in the step that acts, after everything that may wait."""

    def __init__(self, election: LeaderElection, mode: Callable[[], Mode]) -> None:
        self._election, self._mode = election, mode

    def permission(self, action: Action) -> Permission:
        """What the table of modes says."""
        return PERMISSIONS[self._mode()][action]

    def allows(self, action: Action) -> bool:
        """Whether the action may be taken, as far as it concerns no shard in particular."""
        match self.permission(action):
            case Permission.ALLOWED | Permission.RELUCTANT:
                return True
            case Permission.WITHIN_GRACE:
                return self._election.within_grace()
            case Permission.WHILE_CERTAIN:
                return self._election.lease_surely_valid()
        return False

    def allows_for(self, shard: int, action: Action) -> bool:
        """Whether the action may be taken for a shard, which must be ours."""
        return shard in self._election.leaderships and self.allows(action)
