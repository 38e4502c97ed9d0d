"""Chooses the peer to which a leader transfers a shard whose workers can't reach the leader."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TransferCandidate:
    """A peer that may become the leader of a shard."""

    host: str
    machines_reporting: int  # machines of the shard that send heartbeats to this peer
    machines_led: int  # in all shards that the peer leads


def choose_transfer_target(candidates: list[TransferCandidate], shard_machines: int) -> TransferCandidate | None:
    """Return the candidate that leads the fewest machines, or None if no machine of the shard reports to a candidate.

    A candidate to which fewer than half as many machines of the shard report as to some other candidate is left out.
    `shard_machines` is the number of machines in the shard. The new leader leads them in addition to its own.
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
