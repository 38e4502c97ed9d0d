"""Late copies of start commands that were carried out and answered before, and machines that are back within a second.

No task may run on two machines, and none of a cancelled job may start again: whichever way the command took, before and
after its task was cleared, moved, stolen or cancelled, while controllers or machines are back within a second.
"""

from collections.abc import Callable

import pytest

from badgerroute.settings import Connectivity, OperatorSettings, Rebalancing
from tests.standins.copies import LateCopies
from tests.standins.cuts import from_workers
from tests.standins.day import HOSTS, SECOND, Day, job
from tests.standins.workers import Worker
from tests.test_connectivity_days import hold, pick

Fault = Callable[[Day], None]
OPERATOR = OperatorSettings(connectivity=Connectivity(relay=True), rebalancing=Rebalancing())


def no_fault(day: Day) -> None:
    """Cause no fault besides the copies."""


def machine_back(day: Day) -> None:
    """A machine loses its tasks and is back at once in its next session."""
    worker = day.random.choice(list(day.site.workers.values()))
    worker.restart(worker.incarnation + 1, worker.tally, worker.fencing_token)


def machine_back_without_token(day: Day) -> None:
    """A machine is back in its next session, and knows no token."""
    worker = day.random.choice(list(day.site.workers.values()))
    worker.restart(worker.incarnation + 1, 0, 0)


def machine_back_anew(day: Day) -> None:
    """A machine is back with session, sequence and token begun anew, so that its old heartbeats have higher numbers."""
    worker = day.random.choice(list(day.site.workers.values()))
    worker.restart(1, 0, 0)


def controller_back(day: Day) -> None:
    """A controller is killed and back within a second."""
    day.restart(day.random.choice(HOSTS), after=day.random.uniform(0.1, 0.9) * SECOND)


def hand_over(day: Day) -> None:
    """A controller hands one of its shards over to another."""
    hosts = [host for host in HOSTS if host in day.controllers and day.controllers[host][0].leaders]
    if len(day.controllers) == len(HOSTS) and hosts:
        giver = day.random.choice(hosts)
        taker = day.random.choice([host for host in HOSTS if host != giver])
        controller, _ = day.controllers[giver]
        lease = day.controllers[taker][0].leadership_state.lease
        shard = day.random.choice(list(controller.leaders))
        transfer = controller.membership.leadership_transfer._shard_transfer.transfer
        if lease:
            day.group.spawn(transfer(shard, taker, lease), "hand-over")


def all_controllers_back(day: Day) -> None:
    for host in HOSTS:
        day.restart(host, after=day.random.uniform(0.1, 0.9) * SECOND)


def old_reports(day: Day) -> None:
    day.replay_heartbeats(15)


def hang(day: Day) -> None:
    worker: Worker = day.random.choice(list(day.site.workers.values()))
    worker.unresponsive = True
    day.loop.later(day.random.uniform(0.5, 6) * SECOND, lambda: setattr(worker, "unresponsive", False))


def evacuation(day: Day) -> None:
    """A machine gets a preemption notice for a while, so its tasks are stopped and started on other machines."""
    worker: Worker = day.random.choice(list(day.site.workers.values()))
    worker.notice_at = day.loop.now() + 20 * SECOND
    worker.changed.set()
    day.loop.later(4 * SECOND, lambda: setattr(worker, "notice_at", None))


def relays(day: Day) -> None:
    """Workers can't reach one controller for a while, so others relay their heartbeats to it, and its answers."""
    hold(day, from_workers(day, [pick(day)], "reset"), 5)


def both(first: Fault, second: Fault) -> Fault:
    """Two faults at the same moment."""

    def fault(day: Day) -> None:
        first(day)
        second(day)

    fault.__name__ = f"{first.__name__}_and_{second.__name__}"
    return fault


FAULTS: list[Fault] = [
    no_fault,
    machine_back,
    machine_back_without_token,
    machine_back_anew,
    controller_back,
    hang,
    evacuation,
    relays,
    hand_over,
    both(hand_over, machine_back),
    both(hand_over, evacuation),
    both(evacuation, controller_back),
    both(relays, machine_back),
    both(machine_back, controller_back),
    both(machine_back_without_token, old_reports),
    both(machine_back_anew, old_reports),
    both(machine_back_anew, all_controllers_back),
    both(controller_back, old_reports),
    both(all_controllers_back, hang),
]


def busy_day(seed: int, fault: Fault) -> tuple[Day, LateCopies]:
    """Run short tasks that are done, preempted, stolen and cancelled while the fault occurs every few seconds."""
    day = Day(seed, machines=6, capacity=1, operator=OPERATOR)
    day.run(5)
    copies = LateCopies(day)
    for round_ in range(10):
        day.submit(
            job(f"run-a{round_}", heads=20, trek_s=day.random.choice([0.3, 2.0, 8.0]), rank="idle", image_gb=0.1)
        )
        day.submit(job(f"run-u{round_}", crew="red", heads=8, trek_s=1.0, rank="urgent", image_gb=0.1))
        day.run(day.random.uniform(0.2, 2))
        fault(day)
        day.run(day.random.uniform(0.2, 2))
        if round_ % 2:
            day.cancel(f"run-a{round_}")
    return day, copies


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_no_copy_of_a_start_makes_a_task_run_twice(fault: Fault, seed: int) -> None:
    day, copies = busy_day(seed, fault)
    assert copies.copied_starts > 100
    if "relays" in fault.__name__:
        assert sum(other.requests.heartbeat_handler.relayed_heartbeats for other, _ in day.controllers.values()) > 0
    unfinished = day.finish(120)
    assert day.rules.broken == []
    assert [problem for problem in day.history_problems() if problem.startswith("doubled")] == []
    assert unfinished == []
