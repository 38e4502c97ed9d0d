"""Measures the cost of partial network cuts: runs simulations with and without heartbeat relays, for several seeds.

`python -m tools.connectivity_measurement --seeds 5 --report report.html --json results.json`
"""

import argparse
import json
import sys
from collections.abc import Callable
from dataclasses import asdict
from pathlib import Path

from badgerroute.settings import Connectivity, OperatorSettings
from tests.standins.cuts import CutWatch, between, flap, from_store, from_workers, hold, workload
from tests.standins.day import HOSTS, SECOND, Day
from tools.connectivity_results import METRICS, CutDay, KindSummary, summarize

MACHINES = 12
RENTABLE_MACHINES = 2  # maximum number of machines that are rented in addition to MACHINES
COMPLETION_LIMIT_S = 300  # time limit for the jobs that are unfinished when the cut ends
FIRST_HOST, *OTHER_HOSTS = HOSTS


def _workers_flap(seconds: float, mode: str) -> Callable[[Day], None]:
    return lambda day: flap(day, from_workers(day, [FIRST_HOST], mode), seconds, int(56 / seconds))


def _workers_cut(seconds: float) -> Callable[[Day], None]:
    return lambda day: hold(day, from_workers(day, [FIRST_HOST], "hold"), seconds)


def _store_flap(seconds: float, mode: str) -> Callable[[Day], None]:
    return lambda day: flap(day, from_store(day, [FIRST_HOST], mode), seconds, int(35 / seconds))


def _opposite(mode: str) -> Callable[[Day], None]:
    def apply_cut(day: Day) -> None:
        cut, heal = from_workers(day, OTHER_HOSTS, mode)
        cut()
        hold(day, from_store(day, [FIRST_HOST], mode), 40)
        heal()

    return apply_cut


def _zone_cut(day: Day) -> None:
    inside = [FIRST_HOST, *(name for name, worker in day.site.workers.items() if worker.zone == "a")]
    outside = [
        endpoint for endpoint in (*HOSTS, *day.site.workers, "cloud", f"state-{FIRST_HOST}") if endpoint not in inside
    ]
    hold(day, between(day, inside, outside, "hold"), 30)


CUT_KINDS: dict[str, Callable[[Day], None]] = {
    "workers lost for 7 s in every 14, reset": _workers_flap(7, "reset"),
    "workers lost for 7 s in every 14, held": _workers_flap(7, "hold"),
    "workers lost for 3 s in every 6, held": _workers_flap(3, "hold"),
    "reports lost for 7 s in every 14, one way": _workers_flap(7, "one_way"),
    "workers lost for 40 s": _workers_cut(40),
    "workers lost for 80 s": _workers_cut(80),
    "state service refuses for 3 s in every 6": _store_flap(3, "refuse"),
    "state service lost for 7 s in every 14": _store_flap(7, "hold"),
    "opposite half-open cuts for 40 s, reset": _opposite("reset"),
    "opposite half-open cuts for 40 s, held": _opposite("hold"),
    "a zone cut off for 30 s": _zone_cut,
}


def simulate_day(kind: str, relay: bool, seed: int) -> CutDay:
    """Run one simulation (`Day`) with one kind of cut, and return its results."""
    operator = OperatorSettings(connectivity=Connectivity(relay=relay))
    day = Day(seed, machines=MACHINES, capacity=RENTABLE_MACHINES, operator=operator)
    workload(day)
    started_at = day.loop.now()
    watch = CutWatch(day)
    CUT_KINDS[kind](day)
    counts = watch.end()
    unfinished = day.finish(COMPLETION_LIMIT_S)
    return CutDay(
        kind=kind,
        relay=relay,
        seed=seed,
        hand_overs=counts.hand_overs,
        claims=counts.claims,
        killed_by_lease=len(counts.killed_by_lease),
        without_leader_s=counts.shard_seconds_without_leader,
        refused=counts.users_503,
        asked=counts.users_asked,
        relayed=counts.relayed,
        makespan_s=(day.loop.now() - started_at) / SECOND,
        problems=[*day.rules.broken, *day.history_problems(), *(f"unfinished: {ref}" for ref in unfinished)],
    )


def table(summaries: list[KindSummary]) -> str:
    """Format the metrics as a text table: mean, minimum and maximum over the seeds."""
    lines = [" | ".join(["cut", "relays", *METRICS.values(), "problems"])]
    for summary in summaries:
        metrics = [str(summary.metrics[name]) for name in METRICS]
        lines.append(" | ".join([summary.kind, "on" if summary.relay else "off", *metrics, str(summary.problems)]))
    return "\n".join(lines)


def main(arguments: list[str] | None = None) -> int:
    """Run the measurement. Return 1 if a simulation violated a safety rule or left a job unfinished, else 0."""
    parser = argparse.ArgumentParser(prog="connectivity_measurement")
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument(
        "--kind", action="append", choices=list(CUT_KINDS), help="measure only this kind of cut; may be repeated"
    )
    parser.add_argument("--json", type=Path, help="write the results to this file")
    parser.add_argument("--report", type=Path, help="write an HTML report to this file")
    options = parser.parse_args(arguments)
    seeds = range(options.first_seed, options.first_seed + options.seeds)
    days = [
        simulate_day(kind, relay, seed)
        for kind in options.kind or CUT_KINDS
        for relay in (False, True)
        for seed in seeds
    ]
    summaries = summarize(days)
    print(table(summaries))
    if options.json is not None:
        options.json.write_text(json.dumps([asdict(day) for day in days]))
    if options.report is not None:
        from tools.connectivity_report import render

        options.report.write_text(render(days))
    return int(any(day.problems for day in days))


if __name__ == "__main__":
    sys.exit(main())
