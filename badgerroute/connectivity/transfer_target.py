"""To which peer a leader that its workers don't reach hands a shard."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Candidate:
    """A peer that may own a shard."""

    host: str
    machines_heard: int  # of the shard
    machines_owned: int  # of all its shards


def choose_receiver(candidates: list[Candidate], machines: int) -> Candidate | None:
    """The peer that would own fewest machines, among those that hear at least half as many as the one hearing most.

    `machines`: how many the shard has, which its new leader gets on top of what it owns.
    """
    hearing = [candidate for candidate in candidates if candidate.machines_heard > 0]
    if not hearing:
        return None
    most = max(candidate.machines_heard for candidate in hearing)
    close = [candidate for candidate in hearing if 2 * candidate.machines_heard >= most]
    return min(close, key=lambda one: (one.machines_owned + machines, -one.machines_heard, one.host))
