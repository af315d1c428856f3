"""Commands that report on all nodes: burn rates, losses, slots and accounts."""

from collections.abc import Callable
from pathlib import Path
from typing import Annotated

import typer
from rattanfork_core.burn import BurnLine, burn_report
from rattanfork_core.rules import ObjectiveModel
from rattanfork_core.trace import count_losses, parse_lines

from rattanfork_cli.burn_html import render_burn_report
from rattanfork_cli.commands.report_accounts import report_accounts
from rattanfork_cli.commands.report_slots import report_slots
from rattanfork_cli.exits import BAD_INPUT, FAILED
from rattanfork_cli.http import call_admin_api
from rattanfork_cli.log_files import LogFiles, format_time_of_day, read_log_lines
from rattanfork_cli.options import AsJson, Node
from rattanfork_cli.output import fail, print_json, print_table
from rattanfork_cli.plots import write_plot

app = typer.Typer(no_args_is_help=True, help="Reports on all nodes.")
app.command("slots")(report_slots)
app.command("accounts")(report_accounts)


@app.command()
def burn(
    node: Node = "",
    metrics: Annotated[
        list[str] | None,
        typer.Option(help="Address of the metrics of a node; repeat for each node."),
    ] = None,
    target: Annotated[
        float,
        typer.Option(
            help="With --metrics: fraction of requests to succeed in time.",
            min=0.0,
            max=0.999999,
        ),
    ] = 0.99,
    as_json: AsJson = False,
    html: Annotated[
        Path | None, typer.Option(help="Write an HTML page with charts to this file.")
    ] = None,
) -> None:
    """Show the burn rates of the error budgets of service-level objectives.

    At a burn rate of 1 the budget is used up exactly at the end of the window.
    With --node, the objectives are those of the rules.  With --metrics, each
    route is an objective: requests of callers that succeed within its latency
    objective; the last column names the nodes that saw the others.

    Example: rattanfork report burn --html burn.html

    Example: rattanfork report burn --metrics 10.1.0.8:9464 --target 0.995
    """
    if metrics:
        lines, unknown = _burn_by_route(metrics, target)
    elif node:
        lines, unknown = _burn_by_rules(node)
    else:
        raise fail("--node or --metrics is needed", BAD_INPUT)
    if html is not None:
        try:
            html.write_text(render_burn_report(lines, unknown))
        except OSError as error:
            raise fail(f"--html {html}: {error.strerror}", BAD_INPUT) from None
    if as_json:
        print_json({"objectives": [_to_json(line) for line in lines], **unknown})
        return
    columns = ["service", "importance", "target", "requests"]
    columns += ["5m", "1h", "6h", "budget left", "used up in", "used by"]
    if metrics:
        columns[0] = "route"
    print_table(
        "Burn rate of objectives", columns, [_table_row(line) for line in lines]
    )
    for key, value in unknown.items():
        print(f"{key}: {value}")


@app.command()
def losses(
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
    """Count the requests that failed or missed their latency objective, by cause.

    Each lost request counts once, at the node that took it from its caller.  For
    late requests, the mean time per part of the path follows.  Log lines that
    nodes dropped under load are missing from the report; their number follows.

    Example: rattanfork report losses --every 5 --plot losses.png *.log
    """
    try:
        report = count_losses(parse_lines(read_log_lines(files)), every)
    except ValueError as error:
        raise fail(f"--every: {error}", BAD_INPUT) from None
    if plot is not None:
        write_plot(plot, _load_loss_plotter, report)
    if as_json:
        entries = [{n: getattr(x, n) for n in x.__slots__} for x in report.losses]
        totals = {
            n: getattr(report, n) for n in ("lost", "counted", "late", "left_out")
        }
        print_json({"losses": entries, **totals})
        return
    rows = [
        [format_time_of_day(x.begins), x.route, x.cause, x.place, x.count]
        for x in report.losses
    ]
    print_table(
        f"Lost requests: {report.lost}", ["from", "route", "cause", "at", "lost"], rows
    )
    for key, count in report.counted.items():
        print(f"counted by the nodes, {key}: {count}")
    for route, parts in report.late.items():
        times = ", ".join(f"{part} {seconds:.3f}" for part, seconds in parts.items())
        print(f"late on {route}, mean seconds: {times}")
    for kind, count in sorted(report.left_out.items()):
        print(f"lines left out, {kind}: {count}")


def _load_loss_plotter() -> Callable[..., None]:
    from rattanfork_cli.loss_plot import plot_losses

    return plot_losses


def _burn_by_rules(node: str) -> tuple[list[BurnLine], dict[str, object]]:
    answer = call_admin_api(node, "/burn")
    objectives = [ObjectiveModel(**entry) for entry in answer["objectives"]]
    lines = burn_report(objectives, [tuple(t) for t in answer["totals"]])
    return lines, _describe_coverage(answer["answered"], answer["members"])


def _burn_by_route(
    addresses: list[str], target: float
) -> tuple[list[BurnLine], dict[str, object]]:
    # Imported here to keep the other commands from loading the metrics parser.
    from rattanfork_cli.objective_metrics import fetch_objective_totals

    totals, unanswered = fetch_objective_totals(addresses)
    if len(unanswered) == len(addresses):
        raise fail(f"no metrics from {', '.join(unanswered)}; check --metrics", FAILED)
    routes = sorted({entry[0] for entry in totals})
    objectives = [ObjectiveModel(service=name, target=target) for name in routes]
    unknown = _describe_coverage(len(addresses) - len(unanswered), len(addresses))
    if unanswered:
        unknown["did not answer"] = ", ".join(unanswered)
    return burn_report(objectives, totals), unknown


def _describe_coverage(answered: int, asked: int) -> dict[str, object]:
    return {
        "nodes counted": f"{answered} of {asked}",
        "not known": (
            "requests counted by nodes that were replaced or did not answer, and "
            "requests that reached no node"
        ),
    }


def _table_row(line: BurnLine) -> list[object]:
    exhausted_in = (
        "-" if line.exhausted_in is None else f"{line.exhausted_in / 3600:.1f} h"
    )
    spenders = ", ".join(f"{rule or 'no rule'} {n}" for rule, n in line.spenders)
    return [
        line.service,
        line.importance,
        f"{line.target:.3%}",
        line.requests,
        *(f"{rate:.2f}" for rate in line.burn),
        f"{line.budget_left:.1%}",
        exhausted_in,
        spenders or "-",
    ]


def _to_json(line: BurnLine) -> dict[str, object]:
    return {name: getattr(line, name) for name in BurnLine.__slots__}
