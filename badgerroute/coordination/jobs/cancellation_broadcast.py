"""Sends cancellation notices to every peer until the peer acknowledges them.

A leader that cannot reach the key-value store does not see cancellations in its watch, and a push may be lost with its
connection. Every controller that learns of a cancellation therefore sends it to each peer repeatedly, also after a
reconnect. If only the controller that answered the user did so, the notice would be lost if that controller crashed
right after its answer.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from badgerroute.coordination.jobs.peer_messaging import PeerMessenger
from badgerroute.protocol.mesh import CancellationNotice
from badgerroute.transport.loop import Loop

RESEND_INTERVAL = timedelta(milliseconds=900)
MAX_CANCELLATIONS_PER_MESSAGE = 200
# The limit applies to each peer. Dropping the oldest notices is safe: the peer later learns of the cancellation from
# its watch, or stops acting on the job when its grace period ends.
MAX_UNACKNOWLEDGED_CANCELLATIONS = 4000


@dataclass(slots=True)
class _UnacknowledgedCancellation:
    """A cancellation that a peer has not acknowledged. Times are on the event loop's monotonic clock."""

    revision: int  # of the job's final state in the key-value store
    learned_at: timedelta
    sent_at: timedelta | None  # when it was last sent to the peer, or None if not sent yet

    def send_due(self, now: timedelta) -> bool:
        """Return whether the notice is due: it has not been sent yet, or its resend interval is over."""
        return self.sent_at is None or now - self.sent_at >= RESEND_INTERVAL


class CancellationBroadcast:
    """Tracks, for each peer, the cancellations that it has not acknowledged, and resends them.

    `retention` is how long an unacknowledged notice is kept. A peer that still acts on the job after that time has
    confirmed its leadership since the cancellation, and so has learned of the cancellation from its watch.
    """

    def __init__(
        self, loop: Loop, own_host: str, peers: Iterable[str], messenger: PeerMessenger, retention: timedelta
    ) -> None:
        self._loop, self._own_host, self._messenger, self._retention = loop, own_host, messenger, retention
        # peer -> job ref -> unacknowledged cancellation, oldest first
        self._unacknowledged: dict[str, dict[str, _UnacknowledgedCancellation]] = {host: {} for host in peers}

    def job_cancelled(self, ref: str, revision: int, awaited_by_user: bool) -> None:
        """Queue a job's cancellation for all peers; `revision` is the revision of its final state.

        If `awaited_by_user` is set, a user is waiting for the confirmation, so the peers are notified at once, before
        the user is answered.
        """
        now = self._loop.now()
        for host, pending in self._unacknowledged.items():
            if ref in pending:
                continue
            pending[ref] = _UnacknowledgedCancellation(revision, now, now if awaited_by_user else None)
            if len(pending) > MAX_UNACKNOWLEDGED_CANCELLATIONS:
                del pending[next(iter(pending))]
            if awaited_by_user:
                self._messenger.send(host, CancellationNotice(self._own_host, [(ref, revision)]))

    def acknowledged(self, host: str, refs: Iterable[str]) -> None:
        """Stop resending these cancellations to a peer: it acknowledged them, or sent a notice of them itself."""
        pending = self._unacknowledged.get(host)
        if pending:
            for ref in refs:
                pending.pop(ref, None)

    def resend(self) -> None:
        """Resend to each peer the cancellations that it has not acknowledged. Called a few times a second."""
        now = self._loop.now()
        for host, pending in self._unacknowledged.items():
            self._remove_expired(pending, now)
            due = [ref for ref, cancellation in pending.items() if cancellation.send_due(now)]
            due = due[:MAX_CANCELLATIONS_PER_MESSAGE]
            for ref in due:
                pending[ref].sent_at = now
            if due:
                jobs = [(ref, pending[ref].revision) for ref in due]
                self._messenger.send(host, CancellationNotice(self._own_host, jobs))

    def _remove_expired(self, pending: dict[str, _UnacknowledgedCancellation], now: timedelta) -> None:
        expired = [ref for ref, cancellation in pending.items() if now - cancellation.learned_at > self._retention]
        for ref in expired:
            del pending[ref]
