"""Confirmed cancellations, told to every peer until it says that it has heard.

A leader that the key-value store refuses alone learns of no cancellation by its watch, and a push may be lost with its
link. So whoever comes to know that a job is cancelled tells each peer again and again, also when a link returns:
not only the controller that told the user, since that one may end right after its answer.
"""

from collections.abc import Callable, Iterable
from datetime import timedelta

from badgerroute.protocol.mesh import CancellationNotice, Message
from badgerroute.transport.loop import Loop

AGAIN = timedelta(milliseconds=900)  # a peer that has not acknowledged by then is told once more
MAX_CANCELLATIONS_PER_MESSAGE = 200  # jobs in one message
MAX_UNACKNOWLEDGED_CANCELLATIONS = 4000  # for one peer: they hasten what the watch and G bring about in any case


class CancellationBroadcast:
    """`kept` is for how long telling is of use: after that, a peer that still acts has a later proof."""

    def __init__(
        self, loop: Loop, me: str, peers: Iterable[str], send: Callable[[str, Message], None], kept: timedelta
    ) -> None:
        self._loop, self._me, self._send, self._kept = loop, me, send, kept
        # peer -> job -> revision of its final state, when it was learned, when it was last told
        self._untold: dict[str, dict[str, tuple[int, timedelta, timedelta | None]]] = {host: {} for host in peers}

    def learned(self, ref: str, revision: int, at_once: bool) -> None:
        """A job is cancelled. `at_once`: a user is about to be told so."""
        now = self._loop.now()
        for host, untold in self._untold.items():
            if ref in untold:
                continue
            untold[ref] = (revision, now, now if at_once else None)
            if len(untold) > MAX_UNACKNOWLEDGED_CANCELLATIONS:
                del untold[next(iter(untold))]
            if at_once:
                self._send(host, CancellationNotice(self._me, [(ref, revision)]))

    def known_to(self, host: str, refs: Iterable[str]) -> None:
        """A peer acknowledged these, or told us of them itself."""
        untold = self._untold.get(host)
        if untold:
            for ref in refs:
                untold.pop(ref, None)

    def repeat(self) -> None:
        """Tell the peers what they have not acknowledged. Called a few times a second."""
        now = self._loop.now()
        for host, untold in self._untold.items():
            for ref in [ref for ref, (_, learned, _) in untold.items() if now - learned > self._kept]:
                del untold[ref]
            due = [ref for ref, (_, _, told) in untold.items() if told is None or now - told >= AGAIN][
                :MAX_CANCELLATIONS_PER_MESSAGE
            ]
            for ref in due:
                untold[ref] = (*untold[ref][:2], now)
            if due:
                self._send(host, CancellationNotice(self._me, [(ref, untold[ref][0]) for ref in due]))
