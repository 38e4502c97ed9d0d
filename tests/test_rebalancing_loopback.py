"""Rebalancing on real sockets: three controllers, stand-in workers, key-value store and cloud, all on loopback."""

import subprocess
import sys
from pathlib import Path

import pytest

from badgerroute.settings import OperatorSettings, Rebalancing, Team
from tests.standins.history import wait_ratios
from tests.standins.loads import hot_team
from tests.standins.loopback import LoopbackDay
from tests.test_edges import PLATFORM

MAX_RATIO = 2.0
pytestmark = pytest.mark.xdist_group("loopback")  # in real time, so one after the other
EQUALS = [Team("blue"), Team("red"), Team("green")]


@pytest.mark.parametrize("on", [True, False], ids=["with", "without"])
def test_no_team_waits_twice_as_long_as_the_fleet(on: bool) -> None:
    """With rebalancing; the same load without it fails, so the test shows something."""
    operator = OperatorSettings(rebalancing=Rebalancing() if on else None)
    day = LoopbackDay(1, machines=6, capacity=0, cpus_per_machine=4.0, operator=operator, teams=EQUALS)
    try:
        day.run(6)
        hot_team(day, seconds=64, time_scale=0.5)
        assert day.finish(120) == []
        assert day.rules.broken == [] and day.history_problems() == []
        waits = day.rules.history.waits({ref: one["crew"] for ref, one in day.site.jobs.items()})
        ratios = wait_ratios(waits)
        assert (max(ratios.values()) <= MAX_RATIO) == on, ratios
    finally:
        day.close()


def test_drain_on_the_command_line(tmp_path: Path) -> None:
    """Each answer and exit code of `drain` and `undrain`, from a process of their own, against a live cluster."""
    day = LoopbackDay(2, machines=3, capacity=0, operator=OperatorSettings(rebalancing=Rebalancing()))
    config = tmp_path / "settings.toml"

    def command(*arguments: str) -> tuple[int, str, str]:
        words = [sys.executable, "-m", "badgerroute", arguments[0], "--config", str(config), *arguments[1:]]
        process = subprocess.Popen(words, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)
        assert day.run_until(lambda: process.poll() is not None, 20)
        out, err = process.communicate()
        return process.returncode, out, err

    def draining() -> list[str]:
        return [
            machine.name
            for controller, _ in day.controllers.values()
            for leader in controller.leaders.values()
            for machine in leader.shard.machines.values()
            if machine.drain_deadline is not None
        ]

    try:
        day.run(6)
        config.write_text(PLATFORM.replace("127.0.0.1:2", f"127.0.0.1:{day.world.ports['state-drover-0:2379']}"))
        name = next(iter(day.site.workers))
        code, out, err = command("drain", name, "--within", "30")
        assert (code, err) == (0, "") and out.startswith(f"{name}: draining, empty by ")
        assert day.run_until(lambda: draining() == [name], 5)
        code, again, err = command("drain", name)
        assert (code, err) == (0, "") and again == out.replace("draining", "already draining")
        code, out, err = command("drain", "host-none", name)
        assert code == 5 and err == "badgerroute: host-none: unknown machine\n" and name in out
        assert command("undrain", name) == (0, f"{name}: no longer draining\n", "")
        assert command("undrain", name) == (0, f"{name}: not draining\n", "")
        assert day.run_until(lambda: draining() == [], 5)
        day.store.outage(True)
        code, out, err = command("undrain", name)
        assert code == 3 and out == "" and err.count("\n") == 1 and "try again" in err
    finally:
        day.close()
