"""All settings of a controller, and the values that are derived from them."""

from datetime import timedelta

from msgspec import Struct

from badgerroute.settings.operator import OperatorSettings
from badgerroute.settings.platform import Params, PlatformSettings


class Settings(Struct, frozen=True):
    """The platform's and the operators' settings, and values derived from them."""

    platform: PlatformSettings
    operator: OperatorSettings = OperatorSettings()

    @property
    def params(self) -> Params:
        """The settings that all controllers of the deployment share."""
        return self.platform.params

    @property
    def hosts(self) -> list[str]:
        """The names of all controllers, in the same order on each of them. A controller's index is its home shard."""
        return sorted([self.platform.host_name, *(peer.host_name for peer in self.platform.peers)])

    @property
    def home_shard(self) -> int:
        """The number of this controller's home shard."""
        return self.hosts.index(self.platform.host_name)

    @property
    def max_clock_drift(self) -> timedelta:
        """An upper bound of the drift between two hosts' clocks during the longest wait that safety relies on.

        That wait takes `cancel_s` (a setting). Each monotonic clock is assumed to be at most 0.05% fast or slow.
        """
        return timedelta(seconds=0.002 * self.params.workers.cancel_s)

    @property
    def grace(self) -> timedelta:
        """How long a leader is allowed to act without a confirmation of its leadership by the key-value store.

        docs/safety.md calls this time G. G + the workers' lease + `max_clock_drift` must stay well below `cancel_s`.
        Otherwise a controller that is cut off from the store could keep a cancelled job's task running for too long.
        """
        workers = self.params.workers
        margin = timedelta(seconds=3) + 0.05 * workers.max_cancellation_time + self.max_clock_drift
        return max(timedelta(seconds=1), workers.max_cancellation_time - workers.lease - margin)

    @property
    def machine_lease(self) -> timedelta:
        """The time without a response to its heartbeats after which a machine has certainly killed its tasks."""
        return self.params.workers.lease + self.max_clock_drift + timedelta(milliseconds=500)
