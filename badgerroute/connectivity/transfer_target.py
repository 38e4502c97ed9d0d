"""Chooses the peer to which a leader transfers a shard whose workers don't reach it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TransferCandidate:
    """A peer that may lead a shard."""

    host: str
    machines_reporting: int  # machines of the shard that send their heartbeats to it
    machines_led: int  # of all its shards


def choose_transfer_target(candidates: list[TransferCandidate], shard_machines: int) -> TransferCandidate | None:
    """The least loaded peer among those to which at least half as many machines report as to the best reached one.

    `shard_machines`: how many the shard has, which its new leader gets on top of what it leads. None: the shard's
    machines report to no candidate.
    """
    reporting_candidates = [candidate for candidate in candidates if candidate.machines_reporting > 0]
    if not reporting_candidates:
        return None
    max_reporting = max(candidate.machines_reporting for candidate in reporting_candidates)
    eligible = [candidate for candidate in reporting_candidates if 2 * candidate.machines_reporting >= max_reporting]
    return min(
        eligible,
        key=lambda candidate: (
            candidate.machines_led + shard_machines,
            -candidate.machines_reporting,
            candidate.host,
        ),
    )
