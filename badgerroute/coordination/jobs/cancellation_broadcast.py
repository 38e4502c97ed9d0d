"""Cancellations, sent to every peer until it acknowledges them.

A leader that cannot reach the key-value store learns of no cancellation by its watch, and a push may be lost with its
connection. So every controller that learns of a cancellation sends it to each peer repeatedly, also after a connection
returns: not only the one that answered the user, since that one may end right after its answer.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from badgerroute.coordination.jobs.peer_messaging import PeerMessenger
from badgerroute.protocol.mesh import CancellationNotice
from badgerroute.transport.loop import Loop

RESEND_INTERVAL = timedelta(milliseconds=900)
MAX_CANCELLATIONS_PER_MESSAGE = 200
# For one peer. Dropping one is safe: the watch, or the end of the grace period, brings about the same later.
MAX_UNACKNOWLEDGED_CANCELLATIONS = 4000


@dataclass(slots=True)
class _UnacknowledgedCancellation:
    """A cancellation that a peer has not acknowledged. Times are of the loop's clock."""

    revision: int  # of the job's final state
    learned_at: timedelta
    sent_at: timedelta | None  # None: not sent yet

    def send_due(self, now: timedelta) -> bool:
        """Whether it is to be sent, or sent again."""
        return self.sent_at is None or now - self.sent_at >= RESEND_INTERVAL


class CancellationBroadcast:
    """Cancellations that peers have not acknowledged, for each peer.

    `retention` is for how long a notice is of use: after that, a peer that still acts on the job has later proof that
    it leads the shard.
    """

    def __init__(
        self, loop: Loop, own_host: str, peers: Iterable[str], messenger: PeerMessenger, retention: timedelta
    ) -> None:
        self._loop, self._own_host, self._messenger, self._retention = loop, own_host, messenger, retention
        # peer -> job -> its cancellation, the oldest first
        self._unacknowledged: dict[str, dict[str, _UnacknowledgedCancellation]] = {host: {} for host in peers}

    def job_cancelled(self, ref: str, revision: int, confirming: bool) -> None:
        """A job is cancelled by a final state of this revision.

        `confirming`: a user is about to be answered so, and the peers are notified before that.
        """
        now = self._loop.now()
        for host, pending in self._unacknowledged.items():
            if ref in pending:
                continue
            pending[ref] = _UnacknowledgedCancellation(revision, now, now if confirming else None)
            if len(pending) > MAX_UNACKNOWLEDGED_CANCELLATIONS:
                del pending[next(iter(pending))]
            if confirming:
                self._messenger.send(host, CancellationNotice(self._own_host, [(ref, revision)]))

    def acknowledged(self, host: str, refs: Iterable[str]) -> None:
        """A peer has acknowledged these cancellations, or has sent notice of them itself."""
        pending = self._unacknowledged.get(host)
        if pending:
            for ref in refs:
                pending.pop(ref, None)

    def resend(self) -> None:
        """Send the peers what they have not acknowledged. Called a few times a second."""
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
