"""Statistics, tables and reports of the tools that measure rebalancing and half-open network cuts."""

import json
import re
from pathlib import Path

import pytest

from tools import connectivity_measurement as cut_measurement
from tools import connectivity_report as cut_report
from tools.connectivity_results import CutDay
from tools.connectivity_results import summarize as summarize_cuts
from tools.rebalancing_measurement import main, table
from tools.rebalancing_report import render
from tools.rebalancing_results import DayResult, Wait, summarize


def day_result(seed: int, on: bool, max_wait_ratio: float, problems: list[str] | None = None) -> DayResult:
    """Return a result with rebalancing on or off. `max_wait_ratio`: the highest of the teams' wait ratios."""
    waits = [Wait("blue", 1.0, 2.0), Wait("red", 3.0, 4.0)]
    return DayResult(
        seed, on, 6, {"blue": 0.9, "red": max_wait_ratio}, 50.0, 3 * on, 12.0, 2, 400, problems or [], waits
    )


RESULTS = [
    day_result(1, False, 3.0),
    day_result(1, True, 1.25),
    day_result(2, False, 5.0, ["ran_twice"]),
    day_result(2, True, 1.5),
]


def test_the_table_has_the_spread_over_the_seeds() -> None:
    lines = table(RESULTS).splitlines()
    assert lines[1].split() == ["off", "3.00", "to", "5.00,", "mean", "4.00", "3.0", "0", "1"]
    assert lines[2].split() == ["on", "1.25", "to", "1.50,", "mean", "1.38", "3.0", "6", "0"]


def test_the_report_is_one_page_with_its_plots_inside() -> None:
    page = render(RESULTS)
    assert page.count("<svg") == 2 and "<script" not in page
    assert not re.search(r'(src|href)="http', page), "the page must not load anything from other servers"
    rows = re.findall(r"<tr><td>(.*?)</tr>", page, re.DOTALL)
    assert len(rows) == len(RESULTS)
    assert [re.findall(r"[\d.]+|on|off", row)[:5] for row in rows][2] == ["2", "off", "0.90", "5.00", "0.00"]


@pytest.mark.parametrize(("values", "expected"), [([2.0], (2, 2, 2, 0)), ([1.0, 3.0], (1, 2, 3, 1))])
def test_spread(values: list[float], expected: tuple[float, ...]) -> None:
    spread = summarize(values)
    assert (spread.minimum, spread.mean, spread.maximum, spread.deviation) == expected


def test_a_short_measurement_from_end_to_end(tmp_path: Path, capsys: pytest.CaptureFixture) -> None:
    results_file = tmp_path / "results.json"
    assert main(["--seeds", "1", "--machines", "6", "--jobs", "1", "--json", str(results_file)]) == 0
    results = json.loads(results_file.read_text())
    assert [result["on"] for result in results] == [False, True] and all(result["problems"] == [] for result in results)
    assert len(capsys.readouterr().out.splitlines()) == 3


CUT_DAYS = [
    CutDay("flap", False, 1, 8, 9, 3, 4.5, 10, 100, 0, 60.0),
    CutDay("flap", False, 2, 10, 10, 5, 5.5, 30, 100, 0, 70.0, ["ran_twice"]),
    CutDay("flap", True, 1, 0, 0, 0, 0.0, 0, 100, 300, 50.0),
]


def test_cut_days_are_summed_up_by_kind() -> None:
    off, on = summarize_cuts(CUT_DAYS)
    assert (off.kind, off.relay, off.problems, on.relay, on.problems) == ("flap", False, 1, True, 0)
    assert str(off.metrics["hand_overs"]) == "9.0 (8 to 10)" and on.metrics["relayed"].mean == 300
    lines = cut_measurement.table([off, on]).splitlines()
    assert len(lines) == 3 and lines[1].startswith("flap | off | 9.0 (8 to 10)")


def test_the_cut_report_is_one_page_with_its_plots_inside() -> None:
    page = cut_report.render(CUT_DAYS)
    assert page.count("<svg") == 4 and "<script" not in page and "9.0 (8 to 10)" in page
    assert not re.search(r'(src|href)="http', page), "the page must not load anything from other servers"


def test_a_short_cut_measurement_from_end_to_end(tmp_path: Path, capsys: pytest.CaptureFixture) -> None:
    results_file = tmp_path / "results.json"
    kind = "workers lost for 40 s"
    assert cut_measurement.main(["--seeds", "1", "--kind", kind, "--json", str(results_file)]) == 0
    results = json.loads(results_file.read_text())
    assert [(result["kind"], result["relay"], result["problems"]) for result in results] == [
        (kind, False, []),
        (kind, True, []),
    ]
    assert len(capsys.readouterr().out.splitlines()) == 3
