"""Determines which controller is responsible for a machine, from the stored machine records."""

from badgerroute.coordination.leadership.leadership_state import LeadershipState
from badgerroute.storage import records
from badgerroute.storage.keys import MACHINES
from badgerroute.storage.records import MachineRecord
from badgerroute.storage.replica import Replica


class MachineOwnership:
    """Distinguishes members of this controller's shards from members of other controllers' shards."""

    def __init__(self, replica: Replica, leadership_state: LeadershipState) -> None:
        self._replica, self._leadership_state = replica, leadership_state

    def members(self) -> set[str]:
        """Return the names of the members of all shards."""
        return {key.removeprefix(MACHINES) for key in self._replica.keys_under(MACHINES)}

    def has_other_leader(self, name: str) -> bool:
        """Return whether a machine belongs to a shard of another controller, which may be using the machine."""
        value = self._replica.value(MACHINES + name)
        return value is not None and records.read(value, MachineRecord).shard not in self._leadership_state.leaderships
