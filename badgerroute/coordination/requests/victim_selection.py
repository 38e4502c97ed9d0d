"""Which shard an idle shard requests waiting tasks from."""

from badgerroute.protocol.mesh import FreeCapacity, ShardSummary
from badgerroute.scheduling.capacities import fits_capacity


class VictimSelection:
    """Chooses the victims of work stealing for the shards that this controller leads.

    Every other request goes to the shard with the most waiting work. That shard may keep all of it, for reasons that
    its summary does not tell, so the requests in between go to each of the shards in turn.
    """

    def __init__(self) -> None:
        self._requests: dict[int, int] = {}  # idle shard -> number of its requests
        self._last_asked: dict[tuple[int, int], int] = {}  # (idle shard, victim) -> number of the last such request

    def choose(self, thief: int, candidates: list[int]) -> int | None:
        """Return the shard to ask among `candidates`, which are in order of preference, or None if there is none."""
        if not candidates:
            return None
        number = self._requests[thief] = self._requests.get(thief, 0) + 1
        victim = candidates[0]
        if number % 2 == 0:
            victim = min(candidates, key=lambda candidate: self._last_asked.get((thief, candidate), 0))
        self._last_asked[thief, victim] = number
        return victim


def shards_with_work(
    summaries: list[ShardSummary], thief: int, capacities: list[FreeCapacity], teams_lacking_quota: set[str]
) -> list[int]:
    """Return the shards with waiting work that fits the thief's free capacities, those with the most work first.

    Work that fits none of the capacities does not count. Otherwise a shard with much work that the thief can't run
    would receive requests, although the thief could run work of another shard.
    """
    waiting_work = {
        summary.shard: sum(
            demand.count * max(demand.cpus, demand.accelerators)
            for demand in summary.demands
            if demand.team not in teams_lacking_quota
            and any(fits_capacity(demand, capacity) for capacity in capacities)
        )
        for summary in summaries
        if summary.shard != thief and summary.reconciled
    }
    by_work = sorted(waiting_work, key=lambda shard: waiting_work[shard], reverse=True)
    return [shard for shard in by_work if waiting_work[shard] > 0]
