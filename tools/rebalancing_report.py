"""Renders a rebalancing measurement as an HTML report: a single file with inline plots and no scripts."""

import jinja2
from matplotlib import pyplot

from tools.plots import PAGE_STYLE, svg
from tools.rebalancing_results import DayResult, summarize

TEAM_COLOURS = {"blue": "tab:blue", "red": "tab:red", "green": "tab:green"}
MAX_RATIO = 2.0  # target maximum of a team's median wait divided by the fleet's median wait
TEMPLATE = jinja2.Template(
    """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Queue waits with and without rebalancing</title>
<style>{{ style }}</style></head><body>
<h1>Queue waits with and without rebalancing</h1>
<p>Simulated days with {{ machines }} machines of {{ cpus }} processors, three controllers, {{ seeds }} seeds. One team
triples its load after some time; two others submit an array from time to time.</p>
<table><tr><th>seed</th><th>rebalancing</th>{% for team in teams %}<th>{{ team }}</th>{% endfor %}
<th>worst</th><th>moves</th><th>moves' cost, CPU s</th><th>runs stopped</th><th>starts</th><th>makespan, s</th>
<th>problems</th></tr>
{% for day in days %}<tr><td>{{ day.seed }}</td><td>{{ "on" if day.on else "off" }}</td>
{% for team in teams %}<td>{{ "%.2f"|format(day.ratios.get(team, 0)) }}</td>{% endfor %}
<td>{{ "%.2f"|format(day.worst_ratio) }}</td><td>{{ day.moves }}</td><td>{{ "%.0f"|format(day.move_cost_cpu_s) }}</td>
<td>{{ day.runs_stopped }}</td><td>{{ day.starts }}</td><td>{{ "%.0f"|format(day.makespan_s) }}</td>
<td>{{ day.problems|length }}</td></tr>
{% endfor %}</table>
<p>Ratio of each team's median wait to the median wait of the whole fleet; the target is at most {{ allowed }}.
{% for name, spread in spreads %}{{ name }}: {{ "%.2f"|format(spread.minimum) }} to {{ "%.2f"|format(spread.maximum) }},
mean {{ "%.2f"|format(spread.mean) }}, deviation {{ "%.2f"|format(spread.deviation) }}. {% endfor %}</p>
<h2>Worst team, by seed</h2>{{ ratios_plot }}
<h2>Waits over time, first seed</h2>{{ waits_plot }}
</body></html>"""
)


def _ratios_plot(results: list[DayResult]) -> str:
    figure, axes = pyplot.subplots(figsize=(8, 3))
    for offset, on in ((-0.2, False), (0.2, True)):
        days = [day for day in results if day.on == on]
        label = "with rebalancing" if on else "without rebalancing"
        axes.bar([day.seed + offset for day in days], [day.worst_ratio for day in days], 0.38, label=label)
    axes.axhline(MAX_RATIO, color="black", linestyle="--", linewidth=1, label="target maximum")
    axes.set_xticks(sorted({day.seed for day in results}))
    axes.set_xlabel("seed")
    axes.set_ylabel("median wait of the worst team\n/ median wait of the fleet")
    axes.legend()
    return svg(figure)


def _waits_plot(results: list[DayResult]) -> str:
    first = min(day.seed for day in results)
    days = [day for day in results if day.seed == first]
    figure, axes = pyplot.subplots(1, len(days), figsize=(10, 3.5), sharey=True, squeeze=False)
    for plot, day in zip(axes[0], days, strict=True):
        for team, colour in TEAM_COLOURS.items():
            waits = [wait for wait in day.waits if wait.team == team]
            plot.scatter(
                [wait.submitted_s for wait in waits], [wait.wait_s for wait in waits], s=6, color=colour, label=team
            )
        plot.set_title("with rebalancing" if day.on else "without rebalancing")
        plot.set_xlabel("submission time, s")
    axes[0][0].set_ylabel("wait until start, s")
    axes[0][0].legend()
    return svg(figure)


def render(results: list[DayResult]) -> str:
    """Render the report as an HTML page."""
    spreads = [
        (name, summarize([day.worst_ratio for day in results if day.on == on]))
        for name, on in (("Without", False), ("With", True))
        if any(day.on == on for day in results)
    ]
    return TEMPLATE.render(
        style=PAGE_STYLE,
        machines=results[0].machines,
        cpus=4,
        seeds=len({day.seed for day in results}),
        teams=list(TEAM_COLOURS),
        days=results,
        spreads=spreads,
        allowed=MAX_RATIO,
        ratios_plot=_ratios_plot(results),
        waits_plot=_waits_plot(results),
    )
