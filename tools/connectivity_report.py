"""Renders a connectivity measurement as an HTML report: a single file with inline plots and no scripts."""

import jinja2
from matplotlib import pyplot

from tools.connectivity_results import METRICS, CutDay, KindSummary, summarize
from tools.plots import PAGE_STYLE, svg

PLOTTED_METRICS = ("hand_overs", "killed_by_lease", "without_leader_s", "refused")
TEMPLATE = jinja2.Template(
    """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Half-open cuts, with and without relays</title>
<style>{{ style }}</style></head><body>
<h1>Half-open cuts, with and without relays</h1>
<p>Simulated days with three controllers, {{ seeds }} seeds. Mean over the seeds, with minimum and maximum in
brackets.</p>
<table><tr><th>cut</th><th>relays</th>{% for title in titles %}<th>{{ title }}</th>{% endfor %}<th>problems</th></tr>
{% for summary in summaries %}<tr><td>{{ summary.kind }}</td><td>{{ "on" if summary.relay else "off" }}</td>
{% for name in names %}<td>{{ summary.metrics[name] }}</td>{% endfor %}<td>{{ summary.problems }}</td></tr>
{% endfor %}</table>
{% for title, plot in plots %}<h2>{{ title }}</h2>{{ plot }}
{% endfor %}</body></html>"""
)


def _plot(summaries: list[KindSummary], name: str) -> str:
    kinds = list(dict.fromkeys(summary.kind for summary in summaries))
    figure, axes = pyplot.subplots(figsize=(9, 0.5 + 0.45 * len(kinds)))
    for offset, relay, label in ((-0.2, False, "without relays"), (0.2, True, "with relays")):
        spread_by_kind = {summary.kind: summary.metrics[name] for summary in summaries if summary.relay == relay}
        rows = [row + offset for row, kind in enumerate(kinds) if kind in spread_by_kind]
        spreads = [spread_by_kind[kind] for kind in kinds if kind in spread_by_kind]
        errors = [
            [spread.mean - spread.minimum for spread in spreads],
            [spread.maximum - spread.mean for spread in spreads],
        ]
        axes.barh(rows, [spread.mean for spread in spreads], 0.38, xerr=errors, label=label)
    axes.set_yticks(range(len(kinds)), kinds)
    axes.invert_yaxis()
    axes.legend()
    return svg(figure)


def render(days: list[CutDay]) -> str:
    """Render the report as an HTML page."""
    summaries = summarize(days)
    return TEMPLATE.render(
        style=PAGE_STYLE,
        seeds=len({day.seed for day in days}),
        summaries=summaries,
        names=list(METRICS),
        titles=list(METRICS.values()),
        plots=[(METRICS[name], _plot(summaries, name)) for name in PLOTTED_METRICS],
    )
