"""Plots as inline SVG for HTML pages."""

from io import StringIO

import matplotlib

matplotlib.use("svg")

from matplotlib import pyplot  # noqa: E402  (the backend must be selected before pyplot is imported)

PAGE_STYLE = """body{font-family:sans-serif;max-width:64rem;margin:2rem auto;padding:0 1rem}
table{border-collapse:collapse}td,th{border:1px solid #999;padding:.3rem .6rem;text-align:right}
svg{max-width:100%;height:auto}"""


def svg(figure: pyplot.Figure) -> str:
    """Render a figure as an SVG element, and close the figure."""
    text = StringIO()
    figure.savefig(text, format="svg", bbox_inches="tight")
    pyplot.close(figure)
    document = text.getvalue()
    return document[document.index("<svg") :]
