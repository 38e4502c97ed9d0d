"""Determines from the stored machine records whether this or another controller is responsible for a machine."""

from badgerroute.coordination.leadership.leadership_state import LeadershipState
from badgerroute.storage import records
from badgerroute.storage.keys import MACHINES
from badgerroute.storage.records import MachineRecord
from badgerroute.storage.replica import Replica


class MachineOwnership:
    """Distinguishes the machines of this controller's shards from those of shards that other controllers lead."""

    def __init__(self, replica: Replica, leadership_state: LeadershipState) -> None:
        self._replica, self._leadership_state = replica, leadership_state

    def members(self) -> set[str]:
        """Return the names of all machines that are members of any shard."""
        return {key.removeprefix(MACHINES) for key in self._replica.keys_under(MACHINES)}

    def has_other_leader(self, name: str) -> bool:
        """Return whether a machine is a member of a shard that this controller does not lead, and so may be in use."""
        value = self._replica.value(MACHINES + name)
        return value is not None and records.read(value, MachineRecord).shard not in self._leadership_state.leaderships
