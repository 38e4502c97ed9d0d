"""What rebalancing changes: days in virtual time with and without it, over several seeds.

`python -m tools.rebalancing_measurement --seeds 8 --machines 6 --report report.html --json results.json`
"""

import argparse
import json
import sys
from dataclasses import asdict
from pathlib import Path
from statistics import median

from badgerroute.rebalancing.service import Rebalancer
from badgerroute.settings import OperatorSettings, Rebalancing, Team
from tests.standins.day import SECOND, Day
from tests.standins.history import wait_ratios
from tests.standins.loads import hot_team
from tools.rebalancing_results import DayResult, Wait, summarize

TEAMS = [Team("blue"), Team("red"), Team("green")]
CPUS_PER_MACHINE = 4.0
SETTLING_S = 5
LOAD_S = 64
PACE = 0.5
STATE_RATE = 2000.0  # so that the key-value store is not what binds
END_LIMIT_S = 300


def play(seed: int, on: bool, machines: int, per_turn: int) -> DayResult:
    """Play one day of a team that triples its load."""
    rebalancers: list[Rebalancer] = []
    operator = OperatorSettings(rebalancing=Rebalancing() if on else None)
    real_attach = Rebalancer.attach

    def attach(self: Rebalancer, *arguments: object) -> None:
        rebalancers.append(self)
        real_attach(self, *arguments)

    Rebalancer.attach = attach  # type: ignore[method-assign]
    try:
        day = Day(
            seed,
            machines=machines,
            capacity=0,
            kind_cpus=CPUS_PER_MACHINE,
            operator=operator,
            teams=TEAMS,
            rps=STATE_RATE,
            write_rps=STATE_RATE,
        )
    finally:
        Rebalancer.attach = real_attach  # type: ignore[method-assign]
    day.run(SETTLING_S)
    began = day.loop.now()
    hot_team(day, seconds=LOAD_S, pace=PACE, jobs=per_turn)
    unfinished = day.finish(END_LIMIT_S)
    history = day.rules.history
    teams = {ref: described["crew"] for ref, described in day.site.jobs.items()}
    ledgers = [shard.moves.ledger for one in rebalancers for shard in one._led_shards.values()]
    waits = []
    for task, runs in history.runs.items():
        ref = task.rpartition("/")[0]
        submitted = history.submitted[ref]
        waits.append(Wait(teams[ref], (submitted - began) / SECOND, (runs[0].began - submitted) / SECOND))
    return DayResult(
        seed=seed,
        on=on,
        machines=machines,
        ratios=wait_ratios(history.waits(teams)),
        makespan_s=(day.loop.now() - began) / SECOND,
        moves=sum(ledger.total_moves for ledger in ledgers),
        move_cost_cpu_s=sum(ledger.total_cost for ledger in ledgers),
        runs_stopped=len(history.stops()),
        starts=day.rules.starts,
        problems=[*day.rules.broken, *day.history_problems(), *(f"unfinished: {ref}" for ref in unfinished)],
        waits=waits,
    )


def table(results: list[DayResult]) -> str:
    """The figures as text."""
    lines = ["rebalancing  worst team's median wait / fleet's  fleet median s  moves  problems"]
    for on in (False, True):
        days = [day for day in results if day.on == on]
        if days:
            worst = summarize([day.worst_ratio for day in days])
            fleet = median(wait.wait_s for day in days for wait in day.waits)
            lines.append(
                f"{'on' if on else 'off':<12} {worst.least:.2f} to {worst.most:.2f}, mean {worst.mean:.2f}"
                f"  {fleet:.1f}  {sum(day.moves for day in days)}  {sum(len(day.problems) for day in days)}"
            )
    return "\n".join(lines)


def main(arguments: list[str] | None = None) -> int:
    """Run the measurement; 1 if any day broke a rule."""
    parser = argparse.ArgumentParser(prog="rebalancing_measurement")
    parser.add_argument("--seeds", type=int, default=8)
    parser.add_argument("--machines", type=int, default=6)
    parser.add_argument("--jobs", type=int, default=4, help="of the hot team in two seconds, before its load triples")
    parser.add_argument("--json", type=Path, help="write the results there")
    parser.add_argument("--report", type=Path, help="write an HTML report there")
    options = parser.parse_args(arguments)
    results = [
        play(seed, on, options.machines, options.jobs) for seed in range(1, options.seeds + 1) for on in (False, True)
    ]
    print(table(results))
    if options.json is not None:
        options.json.write_text(json.dumps([asdict(day) for day in results]))
    if options.report is not None:
        from tools.rebalancing_report import render

        options.report.write_text(render(results))
    return int(any(day.problems for day in results))


if __name__ == "__main__":
    sys.exit(main())
