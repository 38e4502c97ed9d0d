"""Writes to the key-value store that get no answer, one kind of key after the other, while the watch goes on.

Whatever was written, each controller must come to agree with the store, and all work must go on.
"""

import pytest

from badgerroute.storage import keys
from tests.standins.day import HOSTS, Day, job

UNANSWERED_S = 4.0  # longer than a controller waits for one answer
# Applied at once, the watch delivers the change while its writer still waits for the answer; applied late, it comes
# after the writer has given up, and perhaps after newer writes.
DELAYS_S = {"applied_at_once": 0.0, "applied_late": 3.0}
PREFIXES = {
    "leader_record": keys.SHARD_LEADERS,
    "autoscaler_leader": keys.AUTOSCALER_LEADER,
    "machine_record": keys.MACHINES,
    "tombstones": keys.TOMBSTONES,
    "quota": keys.QUOTA_ALLOCATIONS,
    "job_record": keys.JOBS,
    "final_state": keys.FINAL_STATES,
    "done_page": keys.DONE,
    "predecessors_page": keys.PREDECESSORS,
    "catalog": keys.CATALOG,
}


def work(day: Day, name: str) -> None:
    """Submit work that makes controllers write every kind of key of jobs, quotas and machines.

    There are a team at its limit, a gang that needs machines of several shards, a job with so many tasks and one with
    so many predecessors that their records need pages, and a job to be cancelled.
    """
    day.submit(job(f"run-{name}-limited", crew="red", heads=60, trek_s=2.0))
    gang = {"gait": "group", "cpus": 7.0, "pasture": "a", "together": True, "strays": False, "rank": "urgent"}
    day.submit(job(f"run-{name}-gang", crew="guests", heads=4, trek_s=4.0, **gang))
    long_names = {"herd": "batch" * 22, "brand": "image" * 22}  # so that the done tasks don't fit in the record
    day.submit(job(f"run-{name}-tasks", crew="guests", heads=1500, cpus=0.1, ram_gb=0.1, trek_s=1.0, **long_names))
    upstream = [f"run-{name}-upstream{number:02}" for number in range(25)]
    day.submit_together([job(ref, heads=1, cpus=0.1, trek_s=1.0) for ref in upstream])
    day.submit(job(f"run-{name}-downstream", follows=upstream, trek_s=2.0))
    day.submit(job(f"run-{name}-cancelled", trek_s=300.0))


def provoke_writes(day: Day) -> None:
    """Have terms raised, a machine deleted and the autoscaler's leadership pass on."""
    for host, (controller, _) in list(day.controllers.items()):
        for leader in controller.leaders.values():
            machines = list(leader.shard.machines)
            if machines:  # a machine that has seen a higher token has the term raised
                day.site.workers[machines[0]].fencing_token = day.store.revision
        if controller.leadership_state.autoscaler_term is not None:
            day.restart(host)
    leader = day.controllers[HOSTS[0]][0].leaders.get(0) if HOSTS[0] in day.controllers else None
    if leader is not None and len(leader.shard.machines) > 2:
        name = list(leader.shard.machines)[-1]
        day.site.remove_worker(name)
        day.group.spawn(leader.tombstone_writer.remove_machines([name]), "remove")


@pytest.mark.parametrize("delay_s", DELAYS_S.values(), ids=DELAYS_S)
@pytest.mark.parametrize("prefix", PREFIXES.values(), ids=PREFIXES)
def test_after_unanswered_writes_controllers_agree_with_the_store(prefix: str, delay_s: float) -> None:
    day = Day(seed=51, machines=9, capacity=0, value_kb=0.64)
    day.store.unanswered_prefix, day.store.unanswered_delay_s = prefix, delay_s
    day.run(UNANSWERED_S)
    day.store.unanswered_prefix = None
    day.run(12)
    day.store.unanswered_prefix = prefix
    provoke_writes(day)
    work(day, "a")
    day.run(UNANSWERED_S)
    provoke_writes(day)
    day.run(UNANSWERED_S)
    day.store.unanswered_prefix = None
    day.cancel("run-a-cancelled")
    work(day, "b")
    day.cancel("run-b-cancelled")
    assert day.finish(150) == []
    assert day.store.unanswered_count, "no write of this kind went unanswered"
    assert day.rules.broken == []
