"""The command ``report slots``: use of slot time, from logs."""

from collections.abc import Callable
from dataclasses import asdict
from pathlib import Path
from typing import Annotated

import typer
from rattanfork_core.log_reports import (
    RequestResult,
    SlotTimeReport,
    measure_slot_time,
)
from rattanfork_core.trace import parse_lines

from rattanfork_cli.exits import BAD_INPUT
from rattanfork_cli.log_files import LogFiles, format_time_of_day, read_log_lines
from rattanfork_cli.options import AsJson
from rattanfork_cli.output import fail, print_json, print_long_table, print_table
from rattanfork_cli.plots import write_plot

_RESULTS = [result.value for result in RequestResult]


def report_slots(
    files: LogFiles = None,
    every: Annotated[
        float, typer.Option(help="Length of a time span in seconds.")
    ] = 1.0,
    as_json: AsJson = False,
    plot: Annotated[
        Path | None,
        typer.Option(help="Write a chart over time to this file; needs matplotlib."),
    ] = None,
) -> None:
    """Show which requests used the slots of each service, and the useful share.

    Slot time is estimated from the requests whose log lines are always in the
    sample, and scaled up.  The useful share is the slot time of requests answered
    completely and in time over all slot time; its bounds allow for log lines that
    nodes dropped under load.

    Example: rattanfork report slots --every 5 --plot slots.png *.log
    """
    try:
        report = measure_slot_time(parse_lines(read_log_lines(files)), every)
    except ValueError as error:
        raise fail(f"--every: {error}", BAD_INPUT) from None
    if plot is not None:
        write_plot(plot, _load_plotter, report, every)
    if as_json:
        print_json(_to_json(report))
        return
    _print_slots(report)
    _print_services(report)
    _print_requests(report)
    _print_sample(report)


def _load_plotter() -> Callable[..., None]:
    from rattanfork_cli.slot_plot import plot_slot_time

    return plot_slot_time


def _print_slots(report: SlotTimeReport) -> None:
    rows = [
        [
            format_time_of_day(slot.begins),
            slot.service,
            *(f"{slot.seconds[result]:.2f}" for result in _RESULTS),
            _format_share(slot.useful_share),
        ]
        for slot in report.slots
    ]
    columns = ["from", "service", *_RESULTS, "useful"]
    print_long_table("Slot time in seconds, by time span", columns, rows)


def _print_services(report: SlotTimeReport) -> None:
    rows = []
    for entry in report.services:
        low, high = entry.useful_bounds or (None, None)
        rows.append(
            [
                entry.service,
                *(f"{entry.seconds[result]:.1f}" for result in _RESULTS),
                _format_share(entry.useful_share),
                f"{_format_share(low)} to {_format_share(high)}",
                _format_ms(entry.queued_median_ms),
                _format_ms(entry.queued_p95_ms),
            ]
        )
    columns = ["service", *_RESULTS, "useful", "bounds", "queued ms", "95th"]
    print_table("Slot time in seconds, and queued time", columns, rows)


def _print_requests(report: SlotTimeReport) -> None:
    rows = [[r.route, r.result, r.reason, r.lines, r.sampled] for r in report.routes]
    columns = ["route", "result", "reason", "lines", "in the sample"]
    print_table("Requests of callers", columns, rows)
    runs = [
        [r.service, r.outcome, r.reason, r.status, r.lines] for r in report.bad_runs
    ]
    columns = ["service", "outcome", "reason", "status", "lines"]
    print_table("Runs that ended badly", columns, runs)


def _print_sample(report: SlotTimeReport) -> None:
    print(
        f"sample: {report.sampled_requests} requests, {report.sampled_runs} runs, "
        f"1/{1 / report.sampled_fraction:g} of all requests"
    )
    lost, sampled, expected = report.lost_lines
    print(
        f"lost requests in the sample: {sampled} of {lost}, {expected:.0f} expected; "
        "with fewer, the useful share is too high"
    )
    missing = report.missing
    for kind, count in sorted(missing.left_out.items()):
        print(f"lines left out, {kind}: {count}")
    print(f"lines left out of the sample: at most about {missing.sampled:.0f}")
    if missing.unplaced:
        print(f"of these, of unknown service: {missing.unplaced:.0f}")
    if report.malformed:
        print(f"lines with malformed fields: {report.malformed} of {report.lines}")


def _format_share(share: float | None) -> str:
    return "-" if share is None else f"{share:.1%}"


def _format_ms(ms: float | None) -> str:
    return "-" if ms is None else f"{ms:.1f}"


def _to_json(report: SlotTimeReport) -> dict[str, object]:
    lost, sampled, expected = report.lost_lines
    return {
        **asdict(report),
        "slots": [asdict(s) | {"useful_share": s.useful_share} for s in report.slots],
        "services": [
            asdict(s)
            | {"useful_share": s.useful_share, "useful_bounds": s.useful_bounds}
            for s in report.services
        ],
        "lost_lines": {"all": lost, "sampled": sampled, "expected": expected},
    }
