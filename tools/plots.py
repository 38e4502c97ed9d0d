"""Plots as SVG inside an HTML page."""

from io import StringIO

import matplotlib

matplotlib.use("svg")

from matplotlib import pyplot  # noqa: E402  (the drawing back end must be chosen first)

PAGE_STYLE = """body{font-family:sans-serif;max-width:64rem;margin:2rem auto;padding:0 1rem}
table{border-collapse:collapse}td,th{border:1px solid #999;padding:.3rem .6rem;text-align:right}
svg{max-width:100%;height:auto}"""


def svg(figure: pyplot.Figure) -> str:
    """A figure as an SVG element; the figure is closed."""
    text = StringIO()
    figure.savefig(text, format="svg", bbox_inches="tight")
    pyplot.close(figure)
    drawn = text.getvalue()
    return drawn[drawn.index("<svg") :]
