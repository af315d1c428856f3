"""Plot of lost requests over time, by cause."""

from collections import Counter
from pathlib import Path

import matplotlib
from rattanfork_core.trace import LossReport

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402  the backend is chosen before

#: Most causes with a colour of their own; the others are combined.
_MAX_CAUSES = 8
_OTHER = "other"


def plot_losses(report: LossReport, path: Path) -> None:
    """Write a stacked bar chart of lost requests per time span to a file.

    Raises
    ======

    ValueError
        If the file name extension is not a known image format.
    """
    totals: Counter[str] = Counter()
    for loss in report.losses:
        totals[loss.cause] += loss.count
    separate_causes = [cause for cause, _ in totals.most_common(_MAX_CAUSES)]
    span_starts = sorted({loss.begins for loss in report.losses})
    counts_by_cause = {cause: Counter() for cause in [*separate_causes, _OTHER]}
    for loss in report.losses:
        cause = loss.cause if loss.cause in counts_by_cause else _OTHER
        counts_by_cause[cause][loss.begins] += loss.count
    figure, axes = pyplot.subplots(figsize=(10, 4))
    first = span_starts[0] if span_starts else 0.0
    width = min(
        (b - a for a, b in zip(span_starts, span_starts[1:], strict=False)), default=1.0
    )
    bottom = [0] * len(span_starts)
    for cause, counts in counts_by_cause.items():
        bars = [counts[begin] for begin in span_starts]
        if any(bars):
            axes.bar(
                [b - first for b in span_starts],
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
