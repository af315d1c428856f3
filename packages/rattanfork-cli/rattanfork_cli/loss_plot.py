"""Lost requests as a plot."""

from collections import Counter
from pathlib import Path

import matplotlib
from rattanfork_core.trace import LossReport

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402  the backend is chosen before

#: Causes with a colour of their own; the rest is drawn together.
_MOST_CAUSES = 8
_OTHER = "other"


def draw_losses(report: LossReport, path: Path) -> None:
    """Write a plot of lost requests over time, by cause, to a file.

    Raises
    ======

    ValueError
        If the file's ending names no kind of picture.
    """
    totals: Counter[str] = Counter()
    for loss in report.losses:
        totals[loss.cause] += loss.count
    shown = [cause for cause, _ in totals.most_common(_MOST_CAUSES)]
    begins = sorted({loss.begins for loss in report.losses})
    heights = {cause: Counter() for cause in [*shown, _OTHER]}
    for loss in report.losses:
        cause = loss.cause if loss.cause in heights else _OTHER
        heights[cause][loss.begins] += loss.count
    figure, axes = pyplot.subplots(figsize=(10, 4))
    first = begins[0] if begins else 0.0
    width = min((b - a for a, b in zip(begins, begins[1:], strict=False)), default=1.0)
    bottom = [0] * len(begins)
    for cause, counts in heights.items():
        bars = [counts[begin] for begin in begins]
        if any(bars):
            axes.bar(
                [b - first for b in begins],
                bars,
                width,
                bottom,
                align="edge",
                label=cause,
            )
            bottom = [b + h for b, h in zip(bottom, bars, strict=True)]
    axes.set_xlabel("seconds")
    axes.set_ylabel("lost requests")
    if totals:
        axes.legend()
    figure.savefig(path)
    pyplot.close(figure)
