"""The mode that a controller is in, and when it changes."""

from dataclasses import dataclass
from datetime import timedelta

from badgerroute.connectivity.damping import FlapDamping
from badgerroute.connectivity.modes import Mode, Reachable, mode_of

IMPAIRED = frozenset({Mode.STORE_UNREACHABLE, Mode.WORKERS_UNREACHABLE, Mode.ISOLATED})


@dataclass(frozen=True, slots=True)
class ModeChange:
    """A change of mode, with its cause for the log."""

    before: Mode
    after: Mode
    cause: str


class ModeMachine:
    """Holds the mode. Starts out serving: a new process has lost nothing yet."""

    def __init__(self, damping: FlapDamping) -> None:
        self.damping = damping
        self._good_since: timedelta | None = None  # since when nothing is missing; None: never lost anything, or is now
        self.mode = Mode.SERVING

    def update(self, reachable: Reachable, now: timedelta) -> ModeChange | None:
        """Take in what is reachable; the change that follows, if any."""
        before = self.mode
        if mode_of(reachable, stable=True) in IMPAIRED:
            self._good_since = None
            if before not in IMPAIRED:
                self.damping.note_change(now)
        elif before in IMPAIRED:
            self._good_since = now
        self.mode = mode_of(reachable, self._stable(now))
        return None if self.mode is before else ModeChange(before, self.mode, _cause(reachable, self.mode))

    def _stable(self, now: timedelta) -> bool:
        return self._good_since is None or now - self._good_since >= self.damping.delay(now)


def _cause(reachable: Reachable, mode: Mode) -> str:
    match mode:
        case Mode.OUTAGE:
            return "no_controller_reaches_the_state_service"
        case Mode.STORE_UNREACHABLE | Mode.ISOLATED if not reachable.peers:
            return "state_service_and_siblings_silent"
        case Mode.STORE_UNREACHABLE:
            return "state_service_silent"
        case Mode.ISOLATED:
            return "state_service_and_workers_silent"
        case Mode.WORKERS_UNREACHABLE:
            return "workers_report_to_siblings"
        case Mode.RECOVERING:
            return "links_are_back"
    return "links_are_good"
