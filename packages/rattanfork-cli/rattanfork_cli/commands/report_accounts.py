"""The command ``report accounts``: load of client accounts over time, from logs."""

from collections.abc import Callable
from dataclasses import asdict
from pathlib import Path
from typing import Annotated

import typer
from rattanfork_core.log_reports import (
    AccountLoad,
    AccountLoadReport,
    measure_account_load,
)
from rattanfork_core.trace import parse_lines

from rattanfork_cli.exits import BAD_INPUT
from rattanfork_cli.log_files import LogFiles, format_time_of_day, read_log_lines
from rattanfork_cli.options import AsJson
from rattanfork_cli.output import fail, print_json, print_long_table
from rattanfork_cli.plots import write_plot

#: Most services with a slot share in a row of the tables; JSON has all.
_MAX_SHARES = 3
_COLUMNS = ["account", "sent", "in-time", "late", "failed", "refused", "slot shares"]


def report_accounts(
    files: LogFiles = None,
    every: Annotated[
        float, typer.Option(help="Length of a time span in seconds.")
    ] = 10.0,
    as_json: AsJson = False,
    plot: Annotated[
        Path | None,
        typer.Option(help="Write a chart over time to this file; needs matplotlib."),
    ] = None,
) -> None:
    """Show the requests of client accounts over time, and their shares of the slots.

    Requests sent and in time are estimated from the sample of the log if nodes
    dropped lines under load; all others are counted.

    Example: rattanfork report accounts --every 5 --plot accounts.png *.log
    """
    try:
        report = measure_account_load(parse_lines(read_log_lines(files)), every)
    except ValueError as error:
        raise fail(f"--every: {error}", BAD_INPUT) from None
    if plot is not None:
        write_plot(plot, _load_plotter, report, every)
    if as_json:
        print_json(asdict(report))
        return
    print_long_table(
        "Requests and largest slot shares, by time span",
        ["from", *_COLUMNS],
        [[format_time_of_day(i.begins), *_row(i.load)] for i in report.intervals],
    )
    print_long_table("All", _COLUMNS, [_row(load) for load in report.accounts])
    _print_sample(report)


def _load_plotter() -> Callable[..., None]:
    from rattanfork_cli.account_plot import plot_account_load

    return plot_account_load


def _row(load: AccountLoad) -> list[object]:
    largest = sorted(load.slot_shares.items(), key=lambda item: -item[1])
    return [
        load.account,
        f"{load.sent:.0f}",
        f"{load.in_time:.0f}",
        load.late,
        load.failed,
        load.refused,
        ", ".join(f"{name} {share:.1%}" for name, share in largest[:_MAX_SHARES]),
    ]


def _print_sample(report: AccountLoadReport) -> None:
    source = "all lines" if report.exact else "the sample"
    print(f"requests sent: from {source}")
    print(f"sample: {report.sampled_requests} requests")
    for kind, count in sorted(report.missing.left_out.items()):
        print(f"lines left out, {kind}: {count}")
    print(f"lines left out of the sample: at most about {report.missing.sampled:.0f}")
    if report.malformed:
        print(f"lines with malformed fields: {report.malformed} of {report.lines}")
