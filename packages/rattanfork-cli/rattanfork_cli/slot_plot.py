"""Plot of the slot time of services over time, by result of the request."""

from itertools import zip_longest
from pathlib import Path

import matplotlib
from rattanfork_core.log_reports import RequestResult, SlotTime, SlotTimeReport

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402  the backend is chosen before

#: Most services with axes of their own: those with the most slot time.
_MAX_SERVICES = 6
_WIDTH_INCHES, _HEIGHT_INCHES_PER_SERVICE = 10.0, 3.0
_COLOURS = {
    RequestResult.IN_TIME: "tab:green",
    RequestResult.LATE: "tab:orange",
    RequestResult.FAILED: "tab:red",
    RequestResult.REFUSED: "tab:purple",
    RequestResult.UNKNOWN: "tab:gray",
}


def plot_slot_time(report: SlotTimeReport, span: float, path: Path) -> None:
    """Write a stacked bar chart of busy slots over time to a file.

    Each of the services with the most slot time has its own axes.

    Parameters
    ==========

    report : SlotTimeReport
        The report.
    span : float
        Length of its intervals in seconds.
    path : Path
        The file; its extension determines the image format.

    Raises
    ======

    ValueError
        If the file name extension is not a known image format.
    """
    largest = sorted(report.services, key=lambda s: -sum(s.seconds.values()))
    services = [s.service for s in largest[:_MAX_SERVICES]]
    height = _HEIGHT_INCHES_PER_SERVICE * max(1, len(services))
    figure, grid = pyplot.subplots(
        max(1, len(services)),
        sharex=True,
        squeeze=False,
        figsize=(_WIDTH_INCHES, height),
    )
    first = report.slots[0].begins if report.slots else 0.0
    for service, axes in zip(services, grid[:, 0], strict=False):
        slots = [slot for slot in report.slots if slot.service == service]
        begins, steps = _steps(slots, span)
        bottom = [0.0] * len(steps)
        for result in RequestResult:
            if not any(step.get(result.value) for step in steps):
                continue
            top = [
                low + step.get(result.value, 0.0) / span
                for low, step in zip(bottom, steps, strict=True)
            ]
            # Bars would take seconds to draw for each ten thousand intervals.
            axes.fill_between(
                [begin - first for begin in begins],
                bottom,
                top,
                step="post",
                label=result.value,
                color=_COLOURS[result],
                linewidth=0,
            )
            bottom = top
        axes.set_title(service, loc="left")
        axes.set_ylabel("busy slots")
        if steps:
            axes.legend(loc="upper right")
    grid[-1, 0].set_xlabel("seconds")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _steps(
    slots: list[SlotTime], span: float
) -> tuple[list[float], list[dict[str, float]]]:
    """Return the times at which the slot time changes, and the slot time from then.

    Intervals without slot time are not in the report, so the end of an interval that
    no other follows gets an empty step.
    """
    begins: list[float] = []
    steps: list[dict[str, float]] = []
    for slot, following in zip_longest(slots, slots[1:]):
        begins.append(slot.begins)
        steps.append(slot.seconds)
        end = slot.begins + span
        if following is None or following.begins > end + span / 2:
            begins.append(end)
            steps.append({})
    return begins, steps
