"""Measures the effect of rebalancing: runs simulations with and without it, for several seeds.

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
WARM_UP_S = 5
LOAD_DURATION_S = 64  # before it is multiplied by TIME_SCALE
TIME_SCALE = 0.5  # factor for all durations in the load
STORE_REQUESTS_PER_S = 2000.0  # high enough that the key-value store is not the bottleneck
COMPLETION_LIMIT_S = 300  # time limit for the jobs that are unfinished when the load ends


def simulate_day(seed: int, rebalancing_on: bool, machines: int, jobs_per_burst: int) -> DayResult:
    """Run one simulation (`Day`) in which one team triples its load, and return its results."""
    rebalancers: list[Rebalancer] = []
    operator = OperatorSettings(rebalancing=Rebalancing() if rebalancing_on else None)
    original_attach = Rebalancer.attach

    def attach(self: Rebalancer, *arguments: object) -> None:
        rebalancers.append(self)
        original_attach(self, *arguments)

    Rebalancer.attach = attach  # type: ignore[method-assign]
    try:
        day = Day(
            seed,
            machines=machines,
            capacity=0,
            cpus_per_machine=CPUS_PER_MACHINE,
            operator=operator,
            teams=TEAMS,
            rps=STORE_REQUESTS_PER_S,
            write_rps=STORE_REQUESTS_PER_S,
        )
    finally:
        Rebalancer.attach = original_attach  # type: ignore[method-assign]
    day.run(WARM_UP_S)
    started_at = day.loop.now()
    hot_team(day, seconds=LOAD_DURATION_S, time_scale=TIME_SCALE, jobs=jobs_per_burst)
    unfinished = day.finish(COMPLETION_LIMIT_S)
    history = day.rules.history
    teams = {ref: described["crew"] for ref, described in day.site.jobs.items()}
    ledgers = [shard.moves.ledger for rebalancer in rebalancers for shard in rebalancer._led_shards.values()]
    waits = []
    for task, runs in history.runs.items():
        ref = task.rpartition("/")[0]
        submitted = history.submitted[ref]
        waits.append(Wait(teams[ref], (submitted - started_at) / SECOND, (runs[0].began - submitted) / SECOND))
    return DayResult(
        seed=seed,
        on=rebalancing_on,
        machines=machines,
        ratios=wait_ratios(history.waits(teams)),
        makespan_s=(day.loop.now() - started_at) / SECOND,
        moves=sum(ledger.total_moves for ledger in ledgers),
        move_cost_cpu_s=sum(ledger.total_cost for ledger in ledgers),
        runs_stopped=len(history.stops()),
        starts=day.rules.start_count,
        problems=[*day.rules.broken, *day.history_problems(), *(f"unfinished: {ref}" for ref in unfinished)],
        waits=waits,
    )


def table(results: list[DayResult]) -> str:
    """Format the metrics as a text table."""
    lines = ["rebalancing  worst team's median wait / fleet's  fleet median s  moves  problems"]
    for on in (False, True):
        days = [day for day in results if day.on == on]
        if days:
            ratio = summarize([day.worst_ratio for day in days])
            fleet_median_s = median(wait.wait_s for day in days for wait in day.waits)
            lines.append(
                f"{'on' if on else 'off':<12} {ratio.minimum:.2f} to {ratio.maximum:.2f}, mean {ratio.mean:.2f}"
                f"  {fleet_median_s:.1f}  {sum(day.moves for day in days)}  {sum(len(day.problems) for day in days)}"
            )
    return "\n".join(lines)


def main(arguments: list[str] | None = None) -> int:
    """Run the measurement. Return 1 if a simulation violated a safety rule or left a job unfinished, else 0."""
    parser = argparse.ArgumentParser(prog="rebalancing_measurement")
    parser.add_argument("--seeds", type=int, default=8)
    parser.add_argument("--machines", type=int, default=6)
    parser.add_argument(
        "--jobs", type=int, default=4, help="jobs that the hot team submits every two seconds before its load triples"
    )
    parser.add_argument("--json", type=Path, help="write the results to this file")
    parser.add_argument("--report", type=Path, help="write an HTML report to this file")
    options = parser.parse_args(arguments)
    results = [
        simulate_day(seed, on, options.machines, options.jobs)
        for seed in range(1, options.seeds + 1)
        for on in (False, True)
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
