"""Half-open network cuts on real sockets. Some links fail, or only one direction of a link.

Three controllers, simulated workers and a simulated key-value store run on the loopback interface, with a proxy on
every link. The cuts are fixed; `tools/connectivity_measurement.py` runs longer, seeded sequences in virtual time.
"""

from collections.abc import Callable
from datetime import timedelta

import pytest

from badgerroute.settings import Connectivity, OperatorSettings
from tests.standins.day import HOSTS, SECOND, job
from tests.standins.proxies import Fault, ProxiedDay

# These tests run in real time, so they must not run in parallel.
pytestmark = pytest.mark.xdist_group("loopback-cuts")
RELAYING = OperatorSettings(connectivity=Connectivity(relay=True, settle_s=2))
CUT_S = 7.0


def between(day: ProxiedDay, host: str, others: list[str], outgoing: Fault, incoming: Fault) -> None:
    """Set the fault of packets from the host to the others (`outgoing`) and of packets to the host (`incoming`)."""
    for other in others:
        day.world.set(host, other, outgoing, SECOND / 2)
        day.world.set(other, host, incoming, SECOND / 2)


def heartbeats_dropped(day: ProxiedDay) -> None:
    """Drop all packets from the workers to one controller: heartbeats, and responses to the controller's commands."""
    between(day, HOSTS[0], list(day.site.workers), Fault.PASS, Fault.DROP)


def workers_refused(day: ProxiedDay) -> None:
    """Refuse all connections between one controller and the workers."""
    between(day, HOSTS[0], list(day.site.workers), Fault.REFUSE, Fault.REFUSE)


def answers_dropped_and_state_delayed(day: ProxiedDay) -> None:
    """Drop all packets from one controller to the workers; delay those between another controller and the store."""
    between(day, HOSTS[0], list(day.site.workers), Fault.DROP, Fault.PASS)
    between(day, HOSTS[1], [f"state-{HOSTS[1]}"], Fault.DELAY, Fault.DELAY)


def opposite(day: ProxiedDay) -> None:
    """Cut one controller off from the key-value store, and the other two from the workers."""
    between(day, HOSTS[0], [f"state-{HOSTS[0]}"], Fault.DROP, Fault.DROP)
    for host in HOSTS[1:]:
        between(day, host, list(day.site.workers), Fault.REFUSE, Fault.REFUSE)


def heal_all(day: ProxiedDay) -> None:
    for source, target in list(day.world.proxies):
        day.world.set(source, target, Fault.PASS)
        day.world.set(target, source, Fault.PASS)


@pytest.mark.parametrize("cut", [heartbeats_dropped, workers_refused, answers_dropped_and_state_delayed, opposite])
def test_every_run_ends_with_one_final_answer(cut: Callable[[ProxiedDay], None]) -> None:
    day = ProxiedDay(1, machines=6, capacity=0, operator=RELAYING)
    try:
        day.run(4)
        for number in range(3):
            day.submit(job(f"run-a{number}", heads=8, trek_s=6.0))
            day.submit(job(f"run-b{number}", heads=4, trek_s=4.0, crew="red", brand=f"img-{number}"))
        day.run(1)
        cut(day)
        day.run(CUT_S)
        heal_all(day)
        assert day.finish(90) == []
        assert day.rules.broken == []
        assert day.history_problems() == []
    finally:
        day.close()


def test_the_opposite_cut_is_relayed_over_real_sockets() -> None:
    """No worker kills a task although the cut outlasts a worker's lease, since heartbeats are relayed."""
    day = ProxiedDay(2, machines=6, capacity=0, operator=RELAYING)
    try:
        day.run(4)
        day.submit(job("run-long", heads=12, trek_s=24.0))
        day.run(2)
        opposite(day)
        day.run(16)
        relayed = sum(
            controller.requests.heartbeat_handler.relayed_heartbeats for controller, _ in day.controllers.values()
        )
        killed = len(day.site.killed_by_lease)
        heal_all(day)
        assert relayed > 10 and killed == 0, (relayed, killed)
        assert day.finish(90) == []
        assert day.rules.broken == [] and day.history_problems() == []
    finally:
        day.close()


def test_a_proxy_delays_drops_and_refuses_each_direction_by_itself() -> None:
    day = ProxiedDay(3, machines=1, capacity=0, operator=RELAYING)
    try:
        day.run(3)
        user, host = "user", HOSTS[0]
        assert day.ask("GET", "/up", host=host) is not None
        for outgoing, incoming in ((Fault.PASS, Fault.DELAY), (Fault.DELAY, Fault.PASS)):
            between(day, user, [host], outgoing, incoming)
            asked_at = day.loop.now()
            assert day.ask("GET", "/up", host=host) is not None
            assert timedelta(seconds=0.4) < day.loop.now() - asked_at < timedelta(seconds=2)
        for fault in (Fault.DROP, Fault.REFUSE):
            between(day, user, [host], fault, Fault.PASS)
            assert day.loop.run(day.loop.spawn(day.status_of("GET", "/up", host), "user")) is None
        between(day, user, [host], Fault.PASS, Fault.PASS)
        assert day.ask("GET", "/up", host=host) is not None
    finally:
        day.close()
