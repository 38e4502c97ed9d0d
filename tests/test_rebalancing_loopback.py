"""Rebalancing on real sockets: three controllers, simulated workers, key-value store and cloud, all on loopback."""

import subprocess
import sys
from pathlib import Path

import pytest

from badgerroute.settings import OperatorSettings, Rebalancing, Team
from tests.standins.history import wait_ratios
from tests.standins.loads import hot_team
from tests.standins.loopback import LoopbackDay
from tests.test_edges import PLATFORM

MAX_RATIO = 2.0  # maximum of a team's median wait, divided by the median wait of all tasks
# These tests run in real time, so they must not run in parallel.
pytestmark = pytest.mark.xdist_group("loopback")
EQUALS = [Team("blue"), Team("red"), Team("green")]


@pytest.mark.parametrize("on", [True, False], ids=["with", "without"])
def test_no_team_waits_twice_as_long_as_the_fleet(on: bool) -> None:
    """With rebalancing, no team's wait ratio exceeds MAX_RATIO; without it, the same load exceeds the ratio."""
    operator = OperatorSettings(rebalancing=Rebalancing() if on else None)
    day = LoopbackDay(1, machines=6, capacity=0, cpus_per_machine=4.0, operator=operator, teams=EQUALS)
    try:
        day.run(6)
        hot_team(day, seconds=64, time_scale=0.5)
        assert day.finish(120) == []
        assert day.rules.broken == [] and day.history_problems() == []
        waits = day.rules.history.waits({ref: submitted["crew"] for ref, submitted in day.site.jobs.items()})
        ratios = wait_ratios(waits)
        assert (max(ratios.values()) <= MAX_RATIO) == on, ratios
    finally:
        day.close()


def test_drain_on_the_command_line(tmp_path: Path) -> None:
    """Run `drain` and `undrain` as separate processes against a live cluster, and check their output and exit codes."""
    day = LoopbackDay(2, machines=3, capacity=0, operator=OperatorSettings(rebalancing=Rebalancing()))
    config = tmp_path / "settings.toml"

    def command(*arguments: str) -> tuple[int, str, str]:
        words = [sys.executable, "-m", "badgerroute", arguments[0], "--config", str(config), *arguments[1:]]
        process = subprocess.Popen(words, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)
        assert day.run_until(lambda: process.poll() is not None, 20)
        output, errors = process.communicate()
        return process.returncode, output, errors

    def draining_machines() -> list[str]:
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
        code, output, errors = command("drain", name, "--within", "30")
        assert (code, errors) == (0, "") and output.startswith(f"{name}: draining, empty by ")
        assert day.run_until(lambda: draining_machines() == [name], 5)
        code, repeated_output, errors = command("drain", name)
        assert (code, errors) == (0, "") and repeated_output == output.replace("draining", "already draining")
        code, output, errors = command("drain", "host-none", name)
        assert code == 5 and errors == "badgerroute: host-none: unknown machine\n" and name in output
        assert command("undrain", name) == (0, f"{name}: no longer draining\n", "")
        assert command("undrain", name) == (0, f"{name}: not draining\n", "")
        assert day.run_until(lambda: draining_machines() == [], 5)
        day.store.outage(True)
        code, output, errors = command("undrain", name)
        assert code == 3 and output == "" and errors.count("\n") == 1 and "try again" in errors
    finally:
        day.close()
