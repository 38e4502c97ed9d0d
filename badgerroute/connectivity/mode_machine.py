"""The state machine of a controller's connectivity mode."""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from badgerroute.connectivity.damping import FlapDamping
from badgerroute.connectivity.modes import Mode, Reachability, mode_of

IMPAIRED_MODES = frozenset({Mode.STORE_UNREACHABLE, Mode.WORKERS_UNREACHABLE, Mode.ISOLATED})


class ModeCause(Enum):
    """Why a mode was entered. The values are logged."""

    OUTAGE = "no_controller_reaches_the_state_service"
    STORE_AND_PEERS_SUSPECTED = "state_service_and_siblings_silent"
    STORE_SUSPECTED = "state_service_silent"
    STORE_AND_WORKERS_UNREACHABLE = "state_service_and_workers_silent"
    WORKERS_REPORT_TO_PEERS = "workers_report_to_siblings"
    LINKS_RESTORED = "links_are_back"
    LINKS_STABLE = "links_are_good"


@dataclass(frozen=True, slots=True)
class ModeChange:
    """A change of mode, with its cause for the log."""

    before: Mode
    after: Mode
    cause: ModeCause


class ModeMachine:
    """Holds the current mode. The first mode is SERVING, since a new process has not lost any link yet."""

    def __init__(self, damping: FlapDamping) -> None:
        self.damping = damping
        # When the last impaired mode ended. None during an impaired mode, and before the first one.
        self._links_good_since: timedelta | None = None
        self.mode = Mode.SERVING

    def update(self, reachability: Reachability, now: timedelta) -> ModeChange | None:
        """Update the mode from what is reachable, and return the change, or None if the mode is still the same."""
        before = self.mode
        if mode_of(reachability, stable=True) in IMPAIRED_MODES:
            self._links_good_since = None
            if before not in IMPAIRED_MODES:
                self.damping.record_loss(now)
        elif before in IMPAIRED_MODES:
            self._links_good_since = now
        self.mode = mode_of(reachability, self._links_stable(now))
        return None if self.mode is before else ModeChange(before, self.mode, _cause_of(reachability, self.mode))

    def _links_stable(self, now: timedelta) -> bool:
        return self._links_good_since is None or now - self._links_good_since >= self.damping.delay(now)


def _cause_of(reachability: Reachability, mode: Mode) -> ModeCause:
    match mode:
        case Mode.OUTAGE:
            return ModeCause.OUTAGE
        case Mode.STORE_UNREACHABLE | Mode.ISOLATED if not reachability.peers:
            return ModeCause.STORE_AND_PEERS_SUSPECTED
        case Mode.STORE_UNREACHABLE:
            return ModeCause.STORE_SUSPECTED
        case Mode.ISOLATED:
            return ModeCause.STORE_AND_WORKERS_UNREACHABLE
        case Mode.WORKERS_UNREACHABLE:
            return ModeCause.WORKERS_REPORT_TO_PEERS
        case Mode.RECOVERING:
            return ModeCause.LINKS_RESTORED
    return ModeCause.LINKS_STABLE
