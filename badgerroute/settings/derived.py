"""All settings of a controller, and what follows from them."""

from datetime import timedelta

from msgspec import Struct

from badgerroute.settings.operator import OperatorSettings
from badgerroute.settings.platform import Params, PlatformSettings


class Settings(Struct, frozen=True):
    """All settings of a controller, and what follows from them."""

    platform: PlatformSettings
    operator: OperatorSettings = OperatorSettings()

    @property
    def params(self) -> Params:
        """What all controllers of the deployment have in common."""
        return self.platform.params

    @property
    def hosts(self) -> list[str]:
        """All controllers in one order that every one of them computes alike; its index is a home shard."""
        return sorted([self.platform.host_name, *(peer.host_name for peer in self.platform.peers)])

    @property
    def home(self) -> int:
        """The number of this controller's home shard."""
        return self.hosts.index(self.platform.host_name)

    @property
    def drift(self) -> timedelta:
        """What two steady clocks (0.05% each way) may disagree by over the longest wait that safety rests on."""
        return timedelta(seconds=0.002 * self.params.workers.cancel_s)

    @property
    def grace(self) -> timedelta:
        """How long a leader may act without a confirmation of its leadership: G of docs/safety.md.

        G + lease + drift must stay well inside `cancel_s`, or a controller that is cut off could keep a
        cancelled job's task alive for too long.
        """
        workers = self.params.workers
        margin = timedelta(seconds=3) + 0.05 * workers.cancel + self.drift
        return max(timedelta(seconds=1), workers.cancel - workers.lease - margin)

    @property
    def machine_lease(self) -> timedelta:
        """After so long without an answer to its heartbeats, a machine has certainly killed its tasks."""
        return self.params.workers.lease + self.drift + timedelta(milliseconds=500)
